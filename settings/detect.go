package settings

import "gopkg.in/ini.v1"

// DetectSchema returns the schema of a folder: daemon settings if any of its
// files has a section of them, otherwise the system configuration.
// Files that cannot be read or parsed are skipped; loading reports them.
func DetectSchema(dir string) *Schema {
	files, _, err := Files(dir)
	if err != nil {
		return &systemSchema
	}
	for _, file := range files {
		content, err := readFile(file)
		if err != nil {
			continue
		}
		parsed, err := ini.LoadSources(loadOptions, content)
		if err != nil {
			continue
		}
		for _, name := range parsed.SectionStrings() {
			if spec, _ := daemonSchema.section(name); spec != nil {
				return &daemonSchema
			}
		}
	}
	return &systemSchema
}
