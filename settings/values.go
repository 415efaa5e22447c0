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
	settings *mergedSettings
	section  string
}

func (m *mergedSettings) section(name string) sectionValues {
	return sectionValues{settings: m, section: name}
}

// namesInSections returns the NAME of each section [sectionType.NAME], in the
// order of first occurrence.
func (m *mergedSettings) namesInSections(sectionType string) []string {
	var names []string
	for _, section := range m.sections {
		if name, ok := strings.CutPrefix(section, sectionType+"."); ok {
			names = append(names, name)
		}
	}
	return names
}

func (s sectionValues) text(key string) string {
	return s.settings.values[QualifiedKey{Section: s.section, Key: key}]
}

func (s sectionValues) parse(kind Kind, key string) float64 {
	v, err := kind.parseNumeric(s.text(key))
	if err != nil {
		return 0
	}
	return v
}

func (s sectionValues) integer(key string) int { return int(s.parse(KindInteger, key)) }

func (s sectionValues) float(key string) float64 { return s.parse(KindNumber, key) }

func (s sectionValues) duration(key string) time.Duration {
	return time.Duration(s.parse(KindDuration, key))
}

func (s sectionValues) bytes(key string) int64 { return int64(s.parse(KindSize, key)) }

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
	return filepath.Join(s.settings.folder, p)
}

// report adds a problem at the position where the key was set, or at that of the
// section if no file sets it.
func (s sectionValues) report(key, message, allowed string) {
	qualified := QualifiedKey{Section: s.section, Key: key}
	origin := s.settings.origins[qualified]
	if origin.File == "" {
		origin = s.settings.origins[QualifiedKey{Section: s.section}]
	}
	s.settings.report(origin.File, origin.Line, qualified.String(), message, allowed)
}
