package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// mergedSettings is the result of reading the files of a folder in order.
type mergedSettings struct {
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

func newMergedSettings(schema *Schema, folder string) *mergedSettings {
	return &mergedSettings{schema: schema, folder: folder, values: map[QualifiedKey]string{}, origins: Origins{}, reportedKeys: map[string]bool{}}
}

// add merges one file; its keys override those of earlier files.
func (m *mergedSettings) add(file string, content []byte) {
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

func (m *mergedSettings) addLines(file string, lines []scannedLine, parsed *ini.File) {
	firstLines := map[QualifiedKey]int{}
	for _, line := range lines {
		qualified := QualifiedKey{Section: line.section, Key: line.key}
		if line.key == "" {
			m.openSection(file, line)
			continue
		}
		if first, ok := firstLines[qualified]; ok {
			m.report(file, line.line, qualified.String(), fmt.Sprintf("the key is set twice in this file, first in line %d", first), "")
			continue
		}
		firstLines[qualified] = line.line
		section, err := parsed.GetSection(line.section)
		if err != nil || !section.HasKey(line.key) {
			m.report(file, line.line, qualified.String(), "the line is ambiguous; write a plain key = value", "")
			continue
		}
		m.set(file, line, section.Key(line.key).Value())
	}
}

func (m *mergedSettings) openSection(file string, line scannedLine) {
	qualified := QualifiedKey{Section: line.section}
	spec, entryName := m.schema.section(line.section)
	if spec == nil {
		m.report(file, line.line, qualified.String(), "unknown section", strings.Join(m.schema.titles(), ", "))
		return
	}
	if spec.Named && !validName(entryName) {
		m.report(file, line.line, qualified.String(), fmt.Sprintf("bad name %q", entryName), nameAllowed)
		return
	}
	if _, ok := m.origins[qualified]; !ok {
		m.sections = append(m.sections, line.section)
		m.origins[qualified] = Origin{Position: Position{File: file, Line: line.line}}
	}
}

func (m *mergedSettings) set(file string, line scannedLine, value string) {
	qualified := QualifiedKey{Section: line.section, Key: line.key}
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
		m.report(file, line.line, qualified.String(), "unknown key", strings.Join(spec.keyNames(), ", "))
		return
	}
	if message := key.Check(value); message != "" {
		m.report(file, line.line, qualified.String(), message, key.Allowed())
		return
	}
	origin := Origin{Position: Position{File: file, Line: line.line}}
	if previous, ok := m.origins[qualified]; ok {
		origin.Overridden = append(previous.Overridden, previous.Position)
	}
	m.values[qualified] = value
	m.origins[qualified] = origin
}

// reportUnscanned reports keys that the INI library finds and the scan does
// not, so that no key is dropped if the two disagree.
func (m *mergedSettings) reportUnscanned(file string, lines []scannedLine, parsed *ini.File) {
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
			qualified := QualifiedKey{Section: sectionName, Key: key.Name()}
			if !scanned[qualified] {
				m.report(file, 0, qualified.String(), "the line of the key is ambiguous; write a plain key = value", "")
			}
		}
	}
}

// complete adds defaults and reports missing keys of all unnamed sections and
// of the named sections that occur.
func (m *mergedSettings) complete() {
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

func (m *mergedSettings) completeSection(spec *SectionSpec, section string) {
	for i := range spec.Keys {
		key := &spec.Keys[i]
		qualified := QualifiedKey{Section: section, Key: key.Name}
		if _, ok := m.values[qualified]; ok {
			continue
		}
		m.values[qualified] = key.Default
		if _, ok := m.origins[qualified]; !ok {
			m.origins[qualified] = Origin{}
		}
		if key.Required && !m.reported(qualified) {
			opened := m.origins[QualifiedKey{Section: section}]
			m.report(opened.File, opened.Line, qualified.String(), "the key is required and not set", key.Allowed())
		}
	}
}

// reported reports whether a key already has a problem.
func (m *mergedSettings) reported(key QualifiedKey) bool { return m.reportedKeys[key.String()] }

func (m *mergedSettings) report(file string, line int, key, message, allowed string) {
	if file == "" {
		file = m.folder
	}
	m.reportedKeys[key] = true
	m.problems = append(m.problems, Problem{File: file, Line: line, Key: key, Message: message, Allowed: allowed})
}
