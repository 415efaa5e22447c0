package settings

import (
	"fmt"
	"maps"
	"slices"

	"hawthornshore.example/structs"
)

// maxShareSum bounds the sum of the protected shares of all classes, in
// percent.
const maxShareSum = 100

// LoadSystem reads the system configuration from a folder. Its version is 0:
// versions are assigned when a configuration is applied. The error for an
// invalid folder is of type Problems.
func LoadSystem(dir string) (structs.SystemConfig, Origins, error) {
	m := loadFolder(&systemSchema, dir)
	config := structs.SystemConfig{Classes: map[string]structs.Class{}, Tenants: map[string]structs.Tenant{}}
	for _, name := range m.namesInSections("class") {
		s := m.section("class." + name)
		config.Classes[name] = structs.Class{
			Name:         name,
			Rank:         s.integer("rank"),
			SharePercent: s.float("share_percent"),
			MaxQueue:     s.integer("max_queue"),
		}
	}
	for _, name := range m.namesInSections("tenant") {
		s := m.section("tenant." + name)
		config.Tenants[name] = structs.Tenant{
			Name:       name,
			Weight:     s.float("weight"),
			QuotaSlots: s.integer("quota_slots"),
		}
	}
	if len(m.origins) > 0 {
		m.checkSystem(config)
	}
	if err := m.problems.asError(); err != nil {
		return structs.SystemConfig{}, nil, err
	}
	return config, m.origins, nil
}

// checkSystem reports problems that concern several keys.
func (m *mergedSettings) checkSystem(config structs.SystemConfig) {
	if len(config.Classes) == 0 {
		m.report(m.folder, 0, "", "no class is declared, so every job would be refused", "at least one section [class.NAME]")
	}
	if len(config.Tenants) == 0 {
		m.report(m.folder, 0, "", "no tenant is declared, so every job would be refused", "at least one section [tenant.NAME]")
	}
	sum := 0.0
	for _, class := range config.Classes {
		sum += class.SharePercent
	}
	if sum <= maxShareSum {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(config.Classes)) {
		if share := config.Classes[name].SharePercent; share > 0 {
			m.section("class."+name).report("share_percent", fmt.Sprintf("value %g is one of the shares that add up to %g percent", share, sum), "at most 100 over all classes")
		}
	}
}
