package settings

import "strings"

// scannedLine is a line of a file that opens a section or sets a key.
type scannedLine struct {
	line    int // from 1
	section string
	key     string // empty for a line that opens a section
}

// scan lists the sections and keys of a file with their lines. It finds lines
// only; values are read by the INI library. Lines that are neither blank,
// comment, section nor key, and values of several lines, are problems.
func scan(file string, content string) ([]scannedLine, Problems) {
	var lines []scannedLine
	var problems Problems
	section := ""
	content = strings.TrimPrefix(content, "\ufeff")
	for i, text := range strings.Split(content, "\n") {
		entry, message := scanLine(strings.TrimSpace(text), section)
		if message != "" {
			problems = append(problems, Problem{File: file, Line: i + 1, Message: message})
			continue
		}
		if entry == nil {
			continue
		}
		entry.line = i + 1
		section = entry.section
		lines = append(lines, *entry)
	}
	return lines, problems
}

// scanLine returns the entry of a trimmed line, nil if it has none, or why the
// line is invalid.
func scanLine(text, section string) (*scannedLine, string) {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return nil, ""
	}
	if text[0] == '[' {
		return scanSection(text)
	}
	key, value, found := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		return nil, "the line is not a section, a comment or key = value"
	case key == "" || strings.ContainsAny(key, "\"'`#;"):
		return nil, "the line has no plain key before the equals sign"
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		return nil, "a value must be on one line, without backquotes or triple quotes"
	}
	return &scannedLine{section: section, key: key}, ""
}

func scanSection(text string) (*scannedLine, string) {
	end := strings.LastIndexByte(text, ']')
	if end < 0 {
		return nil, "the section has no closing bracket"
	}
	name := text[1:end]
	rest := strings.TrimSpace(text[end+1:])
	if name == "" || name != strings.TrimSpace(name) {
		return nil, "the section has no plain name"
	}
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		return nil, "only a comment may follow a section on its line"
	}
	return &scannedLine{section: name}, ""
}
