package settings

import "strings"

// Schema declares the sections that may occur in one kind of folder.
type Schema struct {
	Name     string
	Doc      string
	Sections []SectionSpec
}

// section returns the declaration of a section and the part of its name after
// the dot, or nil if there is no such section.
func (s *Schema) section(name string) (*SectionSpec, string) {
	sectionType, entryName, named := strings.Cut(name, ".")
	for i := range s.Sections {
		spec := &s.Sections[i]
		if spec.Type == sectionType && spec.Named == named {
			return spec, entryName
		}
	}
	return nil, ""
}

// titles returns the headings of all sections.
func (s *Schema) titles() []string {
	titles := make([]string, len(s.Sections))
	for i := range s.Sections {
		titles[i] = s.Sections[i].Title()
	}
	return titles
}
