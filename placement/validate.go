package placement

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

const (
	// maxNameBytes bounds an ID, a service, a data centre and a label.
	maxNameBytes = 128
	maxLabels    = 64
	// MaxUnixMS bounds points in time and clocks, in ms: the end of the year 9999.
	MaxUnixMS = 253_402_300_799_999
	// maxSequence is out of reach for a target that counts its heartbeats from 0.
	maxSequence = 1 << 40
	// maxCold bounds the time that a target is cold.
	maxCold = 24 * time.Hour
	// maxTasks bounds the tasks of a job, which coordinators hold in memory.
	maxTasks = 50_000
	// MaxExpected bounds the estimated run time of a task, so that the sum over the
	// steps of a job does not overflow.
	MaxExpected = 24 * time.Hour
)

// maxCapacity is far above that of any machine, and small enough that sums over all
// targets do not overflow.
var maxCapacity = Resources{CPUMillis: 100_000_000, MemoryMB: 1 << 40, GPUs: 100_000}

// Validate checks that the fields are within their bounds. A description that is
// not valid is that of no target.
func (d *Description) Validate() error {
	if err := ValidateTargetID(d.ID); err != nil {
		return errors.Trace(err)
	}
	if err := validateAddress(d.Address); err != nil {
		return errors.Annotate(err, "address")
	}
	switch {
	case d.Service == "":
		return errors.NotValidf("empty service")
	case len(d.Labels) > maxLabels:
		return errors.NotValidf("%d labels", len(d.Labels))
	case !(Resources{}).Fits(d.Capacity) || !d.Capacity.Fits(maxCapacity):
		return errors.NotValidf("capacity %+v", d.Capacity)
	case d.BootUnixMS < 0 || d.BootUnixMS > MaxUnixMS:
		return errors.NotValidf("start at %d ms", d.BootUnixMS)
	case d.ClockMS < 0 || d.ClockMS > MaxUnixMS:
		return errors.NotValidf("clock at %d ms", d.ClockMS)
	case d.Cold < 0 || d.Cold > maxCold:
		return errors.NotValidf("cold for %s", d.Cold)
	case d.Sequence > maxSequence:
		return errors.NotValidf("sequence %d", d.Sequence)
	}
	for _, label := range d.Labels {
		if err := validateName("label", label); err != nil {
			return errors.Trace(err)
		}
	}
	if err := validateName("data centre", d.DataCentre); err != nil {
		return errors.Trace(err)
	}
	return validateName("service", d.Service)
}

// validateAddress accepts an IP address of one host with a port.
func validateAddress(address string) error {
	if len(address) > maxNameBytes {
		return errors.NotValidf("%d bytes", len(address))
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Trace(err)
	}
	if ip := parsed.Addr(); ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" || parsed.Port() == 0 {
		return errors.NotValidf("%s", address)
	}
	return nil
}

// ValidateTargetID checks the ID of a target. It is a string field of messages
// between coordinators, which cannot hold invalid UTF-8.
func ValidateTargetID(id string) error {
	if id == "" {
		return errors.NotValidf("empty target ID")
	}
	return validateName("target ID", id)
}

// Validate checks that a job has tasks, and that its numbers are within their bounds.
func (j *Job) Validate() error {
	tasks := 0
	for i := range j.Steps {
		step := &j.Steps[i]
		switch {
		case step.Count < 1 || step.Count > maxTasks-tasks:
			return errors.NotValidf("step %d: count %d", i, step.Count)
		case !(Resources{}).Fits(step.Need):
			return errors.NotValidf("step %d: resources %+v", i, step.Need)
		case step.Expected < 0 || step.Expected > MaxExpected:
			return errors.NotValidf("step %d: expected time %s", i, step.Expected)
		}
		for _, earlier := range step.After {
			if earlier < 0 || earlier >= i {
				return errors.NotValidf("step %d: after %d", i, earlier)
			}
		}
		tasks += step.Count
	}
	if tasks == 0 {
		return errors.NotValidf("job without steps")
	}
	return nil
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
