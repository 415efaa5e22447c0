package settings

import "strconv"

// Place is a line of a file.
type Place struct {
	File string `json:"file"` // path of the file; empty for a default
	Line int    `json:"line"` // from 1; 0 for a default
}

// String returns "file:line" or "default".
func (p Place) String() string {
	if p.File == "" {
		return "default"
	}
	return p.File + ":" + strconv.Itoa(p.Line)
}
