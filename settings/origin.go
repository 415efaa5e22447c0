package settings

// Origin says where an effective value was set.
type Origin struct {
	Position
	// Overridden lists the places of earlier files whose value is not in
	// force, oldest first.
	Overridden []Position `json:"overridden,omitempty"`
}
