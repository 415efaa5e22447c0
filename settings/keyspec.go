package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// KeySpec declares one key of a section.
type KeySpec struct {
	Name     string
	Kind     Kind
	Default  string // text form; empty if there is none
	Required bool
	// Min and Max bound numeric kinds, in the base unit (nanoseconds, bytes).
	// For addresses Min is the lowest port.
	Min, Max float64
	Choices  []string
	Unit     string // unit of an integer or a number, in words
	Doc      string // one sentence
}

// UnitText returns the unit in words, or "" if the key has none.
func (s *KeySpec) UnitText() string {
	switch s.Kind {
	case KindDuration:
		return "duration with unit (ms, s, m, h)"
	case KindSize:
		return "size with unit (kB, MB, GB, KiB, MiB, GiB)"
	case KindAddress:
		return "IP:port"
	}
	return s.Unit
}

// Allowed returns the allowed values in words.
func (s *KeySpec) Allowed() string {
	switch s.Kind {
	case KindName:
		return nameAllowed
	case KindAddress:
		return fmt.Sprintf("IP:port such as 127.0.0.1:7000, port %.0f to 65535", s.Min)
	case KindPath:
		return "path of a file or folder; a relative path starts at the folder of the settings"
	case KindChoice:
		return strings.Join(s.Choices, ", ")
	case KindBool:
		return "true, false"
	case KindInteger, KindNumber:
		return s.formatBound(s.Min) + " to " + s.formatBound(s.Max)
	}
	return s.formatBound(s.Min) + " to " + s.formatBound(s.Max) + ", with unit"
}

func (s *KeySpec) formatBound(v float64) string {
	switch s.Kind {
	case KindDuration:
		return shortDuration(time.Duration(v))
	case KindSize:
		return strings.ReplaceAll(humanize.SIWithDigits(v, 0, "B"), " ", "")
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// shortDuration formats a duration without its zero parts: "10m", not "10m0s".
func shortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
