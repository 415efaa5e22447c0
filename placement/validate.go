package placement

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

// maxNameBytes bounds an ID, a service, a data centre and a label.
const maxNameBytes = 128

// ValidateTargetID checks the ID of a target. It is a string field of messages
// between coordinators, which cannot hold invalid UTF-8.
func ValidateTargetID(id string) error {
	if id == "" {
		return errors.NotValidf("empty target ID")
	}
	return validateName("target ID", id)
}

func validateName(field, value string) error {
	switch {
	case len(value) > maxNameBytes:
		return errors.NotValidf("%s of %d bytes", field, len(value))
	case !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl):
		return errors.NotValidf("%s %q", field, value)
	}
	return nil
}
