package settings

// Origin is the position at which an effective value was set.
type Origin struct {
	Position
	// Overridden lists the positions in earlier files whose value was
	// overridden, oldest first.
	Overridden []Position `json:"overridden,omitempty"`
}
