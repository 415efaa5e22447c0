package settings

// SectionSpec declares a section. A named section is written [Type.NAME] and
// may occur with several names, an unnamed one [Type].
type SectionSpec struct {
	Type  string // "tls", or "class" in [class.NAME]
	Named bool
	Doc   string // one or two sentences
	Keys  []KeySpec
}

// Title returns the section's heading: "[tls]" or "[class.NAME]".
func (s *SectionSpec) Title() string {
	if s.Named {
		return "[" + s.Type + ".NAME]"
	}
	return "[" + s.Type + "]"
}

func (s *SectionSpec) key(name string) *KeySpec {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

func (s *SectionSpec) keyNames() []string {
	names := make([]string, len(s.Keys))
	for i := range s.Keys {
		names[i] = s.Keys[i].Name
	}
	return names
}
