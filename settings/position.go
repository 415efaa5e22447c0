package settings

import "strconv"

// Position is a line of a file.
type Position struct {
	File string `json:"file"` // path of the file; empty for a default
	Line int    `json:"line"` // from 1; 0 for a default
}

// String returns "file:line" or "default".
func (p Position) String() string {
	if p.File == "" {
		return "default"
	}
	return p.File + ":" + strconv.Itoa(p.Line)
}
