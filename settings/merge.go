package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// merged is the result of reading the files of a folder in order.
type merged struct {
	document *Schema
	folder   string
	values   map[QualifiedKey]string // only keys that a file sets
	origins  Origins
	sections []string // in the order of their first mention
	problems Problems
	faulty   map[string]bool // keys that have a problem, as in Problem.Key
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

func newMerged(document *Schema, folder string) *merged {
	return &merged{document: document, folder: folder, values: map[QualifiedKey]string{}, origins: Origins{}, faulty: map[string]bool{}}
}

// add merges one file over the files before it.
func (m *merged) add(file string, content []byte) {
	lines, problems := scan(file, string(content))
	m.problems = append(m.problems, problems...)
	parsed, err := ini.LoadSources(loadOptions, content)
	if err != nil {
		if len(problems) == 0 {
			m.problem(file, 0, "", fmt.Sprintf("cannot be parsed: %v", err), "")
		}
		return
	}
	m.addLines(file, lines, parsed)
	if len(problems) == 0 {
		m.compare(file, lines, parsed)
	}
}

func (m *merged) addLines(file string, lines []scannedLine, parsed *ini.File) {
	first := map[QualifiedKey]int{}
	for _, line := range lines {
		name := QualifiedKey{Section: line.section, Key: line.key}
		if line.key == "" {
			m.openSection(file, line)
			continue
		}
		if before, ok := first[name]; ok {
			m.problem(file, line.line, name.String(), fmt.Sprintf("the key is set twice in this file, first in line %d", before), "")
			continue
		}
		first[name] = line.line
		section, err := parsed.GetSection(line.section)
		if err != nil || !section.HasKey(line.key) {
			m.problem(file, line.line, name.String(), "the line is read in two ways; write a plain key = value", "")
			continue
		}
		m.set(file, line, section.Key(line.key).Value())
	}
}

func (m *merged) openSection(file string, line scannedLine) {
	name := QualifiedKey{Section: line.section}
	spec, instance := m.document.section(line.section)
	if spec == nil {
		m.problem(file, line.line, name.String(), "unknown section", strings.Join(m.document.titles(), ", "))
		return
	}
	if spec.Named && !validName(instance) {
		m.problem(file, line.line, name.String(), fmt.Sprintf("bad name %q", instance), nameAllowed)
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
		m.problem(file, line.line, line.key, "the key is outside of any section", strings.Join(m.document.titles(), ", "))
		return
	}
	spec, _ := m.document.section(line.section)
	if spec == nil {
		return // reported where the section is opened
	}
	key := spec.key(line.key)
	if key == nil {
		m.problem(file, line.line, name.String(), "unknown key", strings.Join(spec.keyNames(), ", "))
		return
	}
	if message := key.Check(value); message != "" {
		m.problem(file, line.line, name.String(), message, key.Allowed())
		return
	}
	origin := Origin{Position: Position{File: file, Line: line.line}}
	if before, ok := m.origins[name]; ok {
		origin.Overridden = append(before.Overridden, before.Position)
	}
	m.values[name] = value
	m.origins[name] = origin
}

// compare reports keys that the library reads and the scan does not, so that
// no key is dropped if the two ever disagree.
func (m *merged) compare(file string, lines []scannedLine, parsed *ini.File) {
	seen := map[QualifiedKey]bool{}
	for _, line := range lines {
		seen[QualifiedKey{Section: line.section, Key: line.key}] = true
	}
	for _, section := range parsed.Sections() {
		sectionName := section.Name()
		if sectionName == ini.DefaultSection && !seen[QualifiedKey{Section: ini.DefaultSection}] {
			sectionName = ""
		}
		for _, key := range section.Keys() {
			name := QualifiedKey{Section: sectionName, Key: key.Name()}
			if !seen[name] {
				m.problem(file, 0, name.String(), "the key is read in two ways; write a plain key = value", "")
			}
		}
	}
}

// finish adds defaults and reports missing keys of the sections in force.
func (m *merged) finish() {
	for i := range m.document.Sections {
		spec := &m.document.Sections[i]
		if !spec.Named {
			m.finishSection(spec, spec.Kind)
		}
	}
	for _, section := range m.sections {
		if spec, _ := m.document.section(section); spec.Named {
			m.finishSection(spec, section)
		}
	}
}

func (m *merged) finishSection(spec *SectionSpec, section string) {
	for i := range spec.Keys {
		key := &spec.Keys[i]
		name := QualifiedKey{Section: section, Key: key.Name}
		if _, ok := m.values[name]; ok {
			continue
		}
		m.values[name] = key.Default
		if _, attempted := m.origins[name]; !attempted {
			m.origins[name] = Origin{}
		}
		if key.Required && !m.reported(name) {
			at := m.origins[QualifiedKey{Section: section}]
			m.problem(at.File, at.Line, name.String(), "the key is required and not set", key.Allowed())
		}
	}
}

// reported tells whether a key has a problem already.
func (m *merged) reported(name QualifiedKey) bool { return m.faulty[name.String()] }

func (m *merged) problem(file string, line int, key, message, allowed string) {
	if file == "" {
		file = m.folder
	}
	m.faulty[key] = true
	m.problems = append(m.problems, Problem{File: file, Line: line, Key: key, Message: message, Allowed: allowed})
}
