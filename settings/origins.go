package settings

// QualifiedKey identifies a value of a folder by its section and key.
type QualifiedKey struct {
	Section string // "instance" or "class.urgent"
	Key     string // empty for the section itself
}

// String returns "[section] key" or "[section]".
func (k QualifiedKey) String() string {
	if k.Key == "" {
		return "[" + k.Section + "]"
	}
	return "[" + k.Section + "] " + k.Key
}

// Origins holds the origin of every effective value, defaults included, and of
// every section that a file opens.
type Origins map[QualifiedKey]Origin

// Of returns the origin of a key. A key that no file sets is a default.
func (o Origins) Of(section, key string) Origin {
	return o[QualifiedKey{Section: section, Key: key}]
}
