package settings

// Origin says where an effective value was set.
type Origin struct {
	Place
	// Overridden lists the places of earlier files whose value is not in
	// force, oldest first.
	Overridden []Place `json:"overridden,omitempty"`
}
