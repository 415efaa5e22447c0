package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"

	"hawthornshore.example/structs"
)

// Kind is the type of a key's values.
type Kind int

// Kinds of values.
const (
	KindName     Kind = iota // name of an instance, data centre, class or tenant
	KindAddress              // IP address and port
	KindPath                 // path of a file or folder
	KindChoice               // one of KeySpec.Choices
	KindBool                 // true or false
	KindInteger              // whole number
	KindNumber               // decimal number
	KindDuration             // time with a unit
	KindSize                 // bytes with a unit
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)

// nameAllowed describes the names that validName accepts.
var nameAllowed = fmt.Sprintf("1 to %d letters, digits, '-' and '_', beginning with a letter or digit", structs.MaxNameLength)

func validName(s string) bool {
	return len(s) <= structs.MaxNameLength && namePattern.MatchString(s)
}

// String returns the kind in words.
func (k Kind) String() string {
	return [...]string{"name", "address", "path", "choice", "bool", "integer", "number", "duration", "size"}[k]
}

// parseNumeric returns the value of a numeric kind in its base unit:
// nanoseconds for durations, bytes for sizes.
func (k Kind) parseNumeric(text string) (float64, error) {
	switch k {
	case KindInteger:
		n, err := strconv.ParseInt(text, 10, 64)
		return float64(n), err
	case KindNumber:
		return strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	case KindDuration:
		d, err := time.ParseDuration(text)
		return float64(d), err
	case KindSize:
		if text == "" || !strings.ContainsAny(text[len(text)-1:], "bB") {
			return 0, fmt.Errorf("a size needs a unit")
		}
		n, err := humanize.ParseBytes(text)
		return float64(n), err
	}
	return 0, fmt.Errorf("not a numeric kind: %s", k)
}

func (k Kind) numeric() bool { return k >= KindInteger }

// Check returns why a value is invalid, or "".
func (s *KeySpec) Check(text string) string {
	if text == "" && s.Default == "" && !s.Required {
		return ""
	}
	if s.Kind.numeric() {
		return s.checkNumeric(text)
	}
	ok := true
	switch s.Kind {
	case KindName:
		ok = validName(text)
	case KindAddress:
		address, err := netip.ParseAddrPort(text)
		ok = err == nil && float64(address.Port()) >= s.Min
	case KindPath:
		ok = text != "" && !strings.ContainsRune(text, 0)
	case KindChoice:
		ok = slices.Contains(s.Choices, text)
	case KindBool:
		ok = text == "true" || text == "false"
	}
	if !ok {
		return fmt.Sprintf("bad value %q", text)
	}
	return ""
}

func (s *KeySpec) checkNumeric(text string) string {
	v, err := s.Kind.parseNumeric(text)
	if err != nil {
		return fmt.Sprintf("bad value %q", text)
	}
	// The negated form rejects NaN as well.
	if !(v >= s.Min && v <= s.Max) {
		return fmt.Sprintf("value %q is out of range", text)
	}
	return ""
}
