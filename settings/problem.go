package settings

import (
	"strconv"
	"strings"
)

// Problem is one fault of a folder of settings.
type Problem struct {
	File    string `json:"file,omitempty"` // path of the file, or of the folder
	Line    int    `json:"line,omitempty"` // from 1; 0 if the fault has no line
	Key     string `json:"key,omitempty"`  // "[section] key", or "[section]"
	Message string `json:"message"`
	Allowed string `json:"allowed,omitempty"` // the allowed values, in words
}

// String returns "file:line: [section] key: message (allowed: values)".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		b.WriteString(":" + strconv.Itoa(p.Line))
	}
	if p.Key != "" {
		b.WriteString(": " + p.Key)
	}
	b.WriteString(": " + p.Message)
	if p.Allowed != "" {
		b.WriteString(" (allowed: " + p.Allowed + ")")
	}
	return b.String()
}
