package operatorapi

import (
	"maps"
	"slices"
	"strconv"

	"hawthornshore.example/structs"
)

// Change is a difference of one value between two configurations.
type Change struct {
	Section string `json:"section"` // "class.NAME" or "tenant.NAME"
	Key     string `json:"key"`
	Before  string `json:"before"` // empty if the section did not exist
	After   string `json:"after"`  // empty if the section no longer exists
}

// String returns "[section] key: before -> after", with "none" for a side on
// which the section does not exist.
func (c Change) String() string {
	return "[" + c.Section + "] " + c.Key + ": " + orNone(c.Before) + " -> " + orNone(c.After)
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// Value is one value of a configuration in text form.
type Value struct {
	Section string `json:"section"` // "class.NAME" or "tenant.NAME"
	Key     string `json:"key"`
	Text    string `json:"text"`
}

// Values lists the values of a configuration: classes, then tenants, each
// ordered by name.
func Values(config structs.SystemConfig) []Value {
	var values []Value
	for _, name := range slices.Sorted(maps.Keys(config.Classes)) {
		class := config.Classes[name]
		section := "class." + name
		values = append(values,
			Value{section, "rank", strconv.Itoa(class.Rank)},
			Value{section, "share_percent", formatNumber(class.SharePercent)},
			Value{section, "max_queue", strconv.Itoa(class.MaxQueue)})
	}
	for _, name := range slices.Sorted(maps.Keys(config.Tenants)) {
		tenant := config.Tenants[name]
		section := "tenant." + name
		values = append(values,
			Value{section, "weight", formatNumber(tenant.Weight)},
			Value{section, "quota_slots", strconv.Itoa(tenant.QuotaSlots)})
	}
	return values
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// Diff returns the changes that lead from one configuration to another. It
// ignores their versions.
func Diff(before, after structs.SystemConfig) []Change {
	oldTexts := textByKey(Values(before))
	var changes []Change
	for _, value := range Values(after) {
		key := Value{Section: value.Section, Key: value.Key}
		if oldTexts[key] != value.Text {
			changes = append(changes, Change{Section: value.Section, Key: value.Key, Before: oldTexts[key], After: value.Text})
		}
		delete(oldTexts, key)
	}
	for _, value := range Values(before) {
		if text, removed := oldTexts[Value{Section: value.Section, Key: value.Key}]; removed {
			changes = append(changes, Change{Section: value.Section, Key: value.Key, Before: text})
		}
	}
	return changes
}

// textByKey maps the section and key of each value to its text.
func textByKey(values []Value) map[Value]string {
	texts := make(map[Value]string, len(values))
	for _, value := range values {
		texts[Value{Section: value.Section, Key: value.Key}] = value.Text
	}
	return texts
}
