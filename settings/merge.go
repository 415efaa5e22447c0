package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// merged is the result of reading the files of a folder in order.
type merged struct {
	schema       *Schema
	folder       string
	values       map[QualifiedKey]string // only keys that a file sets
	origins      Origins
	sections     []string // in the order of their first occurrence
	problems     Problems
	reportedKeys map[string]bool // keys that have a problem, as in Problem.Key
}

// loadOptions make the library read every line as one plain assignment, which
// is what scan assumes.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SkipUnrecognizableLines:  true, // scan reports them
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00", // sections inherit nothing from each other
}

func newMerged(schema *Schema, folder string) *merged {
	return &merged{schema: schema, folder: folder, values: map[QualifiedKey]string{}, origins: Origins{}, reportedKeys: map[string]bool{}}
}

// add merges one file; its keys override those of earlier files.
func (m *merged) add(file string, content []byte) {
	lines, problems := scan(file, string(content))
	m.problems = append(m.problems, problems...)
	parsed, err := ini.LoadSources(loadOptions, content)
	if err != nil {
		if len(problems) == 0 {
			m.report(file, 0, "", fmt.Sprintf("cannot be parsed: %v", err), "")
		}
		return
	}
	m.addLines(file, lines, parsed)
	if len(problems) == 0 {
		m.reportUnscanned(file, lines, parsed)
	}
}

func (m *merged) addLines(file string, lines []scannedLine, parsed *ini.File) {
	firstLines := map[QualifiedKey]int{}
	for _, line := range lines {
		name := QualifiedKey{Section: line.section, Key: line.key}
		if line.key == "" {
			m.openSection(file, line)
			continue
		}
		if first, ok := firstLines[name]; ok {
			m.report(file, line.line, name.String(), fmt.Sprintf("the key is set twice in this file, first in line %d", first), "")
			continue
		}
		firstLines[name] = line.line
		section, err := parsed.GetSection(line.section)
		if err != nil || !section.HasKey(line.key) {
			m.report(file, line.line, name.String(), "the line is ambiguous; write a plain key = value", "")
			continue
		}
		m.set(file, line, section.Key(line.key).Value())
	}
}

func (m *merged) openSection(file string, line scannedLine) {
	name := QualifiedKey{Section: line.section}
	spec, instance := m.schema.section(line.section)
	if spec == nil {
		m.report(file, line.line, name.String(), "unknown section", strings.Join(m.schema.titles(), ", "))
		return
	}
	if spec.Named && !validName(instance) {
		m.report(file, line.line, name.String(), fmt.Sprintf("bad name %q", instance), nameAllowed)
		return
	}
	if _, ok := m.origins[name]; !ok {
		m.sections = append(m.sections, line.section)
		m.origins[name] = Origin{Position: Position{File: file, Line: line.line}}
	}
}

func (m *merged) set(file string, line scannedLine, value string) {
	name := QualifiedKey{Section: line.section, Key: line.key}
	if line.section == "" {
		m.report(file, line.line, line.key, "the key is outside of any section", strings.Join(m.schema.titles(), ", "))
		return
	}
	spec, _ := m.schema.section(line.section)
	if spec == nil {
		return // reported where the section is opened
	}
	key := spec.key(line.key)
	if key == nil {
		m.report(file, line.line, name.String(), "unknown key", strings.Join(spec.keyNames(), ", "))
		return
	}
	if message := key.Check(value); message != "" {
		m.report(file, line.line, name.String(), message, key.Allowed())
		return
	}
	origin := Origin{Position: Position{File: file, Line: line.line}}
	if previous, ok := m.origins[name]; ok {
		origin.Overridden = append(previous.Overridden, previous.Position)
	}
	m.values[name] = value
	m.origins[name] = origin
}

// reportUnscanned reports keys that the INI library finds and the scan does
// not, so that no key is dropped if the two disagree.
func (m *merged) reportUnscanned(file string, lines []scannedLine, parsed *ini.File) {
	scanned := map[QualifiedKey]bool{}
	for _, line := range lines {
		scanned[QualifiedKey{Section: line.section, Key: line.key}] = true
	}
	for _, section := range parsed.Sections() {
		sectionName := section.Name()
		if sectionName == ini.DefaultSection && !scanned[QualifiedKey{Section: ini.DefaultSection}] {
			sectionName = ""
		}
		for _, key := range section.Keys() {
			name := QualifiedKey{Section: sectionName, Key: key.Name()}
			if !scanned[name] {
				m.report(file, 0, name.String(), "the line of the key is ambiguous; write a plain key = value", "")
			}
		}
	}
}

// complete adds defaults and reports missing keys of all unnamed sections and
// of the named sections that occur.
func (m *merged) complete() {
	for i := range m.schema.Sections {
		spec := &m.schema.Sections[i]
		if !spec.Named {
			m.completeSection(spec, spec.Type)
		}
	}
	for _, section := range m.sections {
		if spec, _ := m.schema.section(section); spec.Named {
			m.completeSection(spec, section)
		}
	}
}

func (m *merged) completeSection(spec *SectionSpec, section string) {
	for i := range spec.Keys {
		key := &spec.Keys[i]
		name := QualifiedKey{Section: section, Key: key.Name}
		if _, ok := m.values[name]; ok {
			continue
		}
		m.values[name] = key.Default
		if _, ok := m.origins[name]; !ok {
			m.origins[name] = Origin{}
		}
		if key.Required && !m.reported(name) {
			opened := m.origins[QualifiedKey{Section: section}]
			m.report(opened.File, opened.Line, name.String(), "the key is required and not set", key.Allowed())
		}
	}
}

// reported reports whether a key already has a problem.
func (m *merged) reported(name QualifiedKey) bool { return m.reportedKeys[name.String()] }

func (m *merged) report(file string, line int, key, message, allowed string) {
	if file == "" {
		file = m.folder
	}
	m.reportedKeys[key] = true
	m.problems = append(m.problems, Problem{File: file, Line: line, Key: key, Message: message, Allowed: allowed})
}
