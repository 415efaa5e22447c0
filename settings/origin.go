package settings

import "strconv"

// Origin says where an effective value was set.
type Origin struct {
	File string `json:"file"` // path of the file; empty for a default
	Line int    `json:"line"` // from 1; 0 for a default
	// Overridden lists the places of earlier files whose value is not in
	// force, oldest first.
	Overridden []Origin `json:"overridden,omitempty"`
}

// String returns "file:line" or "default".
func (o Origin) String() string {
	if o.File == "" {
		return "default"
	}
	return o.File + ":" + strconv.Itoa(o.Line)
}
