package settings

import "strings"

// Schema declares the sections that may occur in one kind of folder.
type Schema struct {
	Name     string
	Doc      string
	Sections []SectionSpec
}

// section returns the declaration for the name of a section and the part
// after the dot, or nil if there is no such section.
func (d *Schema) section(name string) (*SectionSpec, string) {
	kind, instance, dotted := strings.Cut(name, ".")
	for i := range d.Sections {
		s := &d.Sections[i]
		if s.Kind == kind && s.Named == dotted {
			return s, instance
		}
	}
	return nil, ""
}

// titles returns the headings of all sections.
func (d *Schema) titles() []string {
	titles := make([]string, len(d.Sections))
	for i := range d.Sections {
		titles[i] = d.Sections[i].Title()
	}
	return titles
}
