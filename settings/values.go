package settings

import (
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// sectionValues reads checked values of one section. Invalid values read as
// zero; the folder is rejected in that case.
type sectionValues struct {
	merged  *merged
	section string
}

func (m *merged) section(name string) sectionValues {
	return sectionValues{merged: m, section: name}
}

// names returns the sections of a named kind, without the kind, in the order
// of their first occurrence.
func (m *merged) names(kind string) []string {
	var names []string
	for _, section := range m.sections {
		if name, ok := strings.CutPrefix(section, kind+"."); ok {
			names = append(names, name)
		}
	}
	return names
}

func (s sectionValues) text(key string) string {
	return s.merged.values[QualifiedKey{Section: s.section, Key: key}]
}

func (s sectionValues) numeric(kind Kind, key string) float64 {
	v, err := kind.parseNumeric(s.text(key))
	if err != nil {
		return 0
	}
	return v
}

func (s sectionValues) integer(key string) int { return int(s.numeric(KindInteger, key)) }

func (s sectionValues) number(key string) float64 { return s.numeric(KindNumber, key) }

func (s sectionValues) duration(key string) time.Duration {
	return time.Duration(s.numeric(KindDuration, key))
}

func (s sectionValues) size(key string) int64 { return int64(s.numeric(KindSize, key)) }

func (s sectionValues) bool(key string) bool {
	v, err := strconv.ParseBool(s.text(key))
	return err == nil && v
}

// path returns a path; a relative one is joined to the folder of the settings.
func (s sectionValues) path(key string) string {
	p := s.text(key)
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(s.merged.folder, p)
}

// report adds a problem at the position where the key was set.
func (s sectionValues) report(key, message, allowed string) {
	name := QualifiedKey{Section: s.section, Key: key}
	origin := s.merged.origins[name]
	if origin.File == "" {
		origin = s.merged.origins[QualifiedKey{Section: s.section}]
	}
	s.merged.report(origin.File, origin.Line, name.String(), message, allowed)
}
