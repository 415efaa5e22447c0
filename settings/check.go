package settings

import (
	"fmt"

	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

// CheckSystem checks a configuration that does not come from a folder, such as
// the body of a request, against the same table. Its error is of type Problems.
func CheckSystem(config structs.SystemConfig) error {
	m := newMergedSettings(&systemSchema, "")
	for name, class := range config.Classes {
		m.checkEntry("class", name, class.Name)
	}
	for name, tenant := range config.Tenants {
		m.checkEntry("tenant", name, tenant.Name)
	}
	for _, value := range operatorapi.Values(config) {
		spec, _ := m.schema.section(value.Section)
		if spec == nil {
			continue // reported by checkEntry
		}
		key := spec.key(value.Key)
		if message := key.Check(value.Text); message != "" {
			m.report("", 0, QualifiedKey{Section: value.Section, Key: value.Key}.String(), message, key.Allowed())
		}
	}
	m.checkSystem(config)
	return m.problems.asError()
}

// checkEntry reports an invalid name, and an entry whose own name differs from
// its key in the map.
func (m *mergedSettings) checkEntry(sectionType, name, own string) {
	title := QualifiedKey{Section: sectionType + "." + name}.String()
	if !validName(name) {
		m.report("", 0, title, fmt.Sprintf("bad name %q", name), nameAllowed)
	}
	if own != name {
		m.report("", 0, title, fmt.Sprintf("the name of the entry is %q", own), name)
	}
}
