package emulator

import (
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"hawthornshore.example/structs"
)

// Options configure a Target.
type Options struct {
	ID          string
	Incarnation string // empty: generated
	Worker      string
	Rack        string
	DataCentre  string
	Slots       int
	Classes     []string // empty: all classes
	Cores       float64  // per slot
	MB          int64    // per slot

	// Listen is the host:port to serve on; port 0 chooses a free one.
	Listen string
	// Advertise is the address to announce if it differs from the listen address,
	// for example that of a proxy.
	Advertise string
	// Entries are the host:port addresses of entry instances.
	Entries []string
	// StartRecord is the file to which every start is appended before its task
	// runs. Empty: none.
	StartRecord string

	// RunTime is the distribution for tasks whose payload has no run time.
	RunTime RunTime
	// Seed makes the run times reproducible.
	Seed uint64
	// Faults are the initial faults; SetFaults replaces them.
	Faults Faults

	Log zerolog.Logger
}

// Faults are the faults that a target injects.
type Faults struct {
	// FailAll makes every task fail at the end of its run time.
	FailAll bool
	// Slowdown multiplies run times; 0 means 1.
	Slowdown float64
	// AcceptWhileLeaving makes a leaving target start tasks, so that its start
	// record shows the starts sent to it after it announced the state leaving.
	AcceptWhileLeaving bool
	// Linger is how long a leaving target keeps serving after its last attempt
	// ended.
	Linger time.Duration
}

// validate checks the options and sets defaults.
func (o *Options) validate() error {
	if o.ID == "" || len(o.ID) > structs.MaxNameLength {
		return errors.NotValidf("target ID %q", o.ID)
	}
	if o.Slots < 1 {
		return errors.NotValidf("%d slots", o.Slots)
	}
	if o.Faults.Slowdown < 0 {
		return errors.NotValidf("slowdown factor %g", o.Faults.Slowdown)
	}
	if o.Incarnation == "" {
		o.Incarnation = uuid.NewString()
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.RunTime == nil {
		o.RunTime = Fixed(defaultRunTime)
	}
	return nil
}

// defaultRunTime applies if neither the payload nor the options set a run time.
const defaultRunTime = 100 * time.Millisecond
