package settings

import (
	"strconv"
	"strings"
)

// Problem is one error in a folder of settings.
type Problem struct {
	File    string `json:"file,omitempty"` // path of the file, or of the folder
	Line    int    `json:"line,omitempty"` // from 1; 0 if the problem has no line
	Key     string `json:"key,omitempty"`  // "[section] key", or "[section]"
	Message string `json:"message"`
	Allowed string `json:"allowed,omitempty"` // the allowed values, in words
}

// String returns "file:line: [section] key: message (allowed: values)", without
// the parts that the problem does not have.
func (p Problem) String() string {
	position := p.File
	if p.Line > 0 {
		position += ":" + strconv.Itoa(p.Line)
	}
	var parts []string
	for _, part := range []string{position, p.Key, p.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	text := strings.Join(parts, ": ")
	if p.Allowed != "" {
		text += " (allowed: " + p.Allowed + ")"
	}
	return text
}
