package membership

import (
	"math/bits"
	"time"
)

// Options configures a Core.
type Options struct {
	Instance string
	// Incarnation increases with each start of the instance; the start time in
	// milliseconds will do.
	Incarnation uint64
	// Seed of the random probe order, which should differ between instances.
	Seed uint64
}

const (
	// ProbeInterval is how often an instance probes one member.
	ProbeInterval = 500 * time.Millisecond
	// ackTimeout is how long a direct probe may take before the member is probed
	// through others.
	ackTimeout = 200 * time.Millisecond
	// indirectProbes is the number of members that an indirect probe goes through.
	indirectProbes = 3

	// suspicionPerDoubling times the logarithm of the number of members is how
	// long a suspicion lasts, so that a refutation has time to spread.
	suspicionPerDoubling = 600 * time.Millisecond
	// suspectPings is the mean number of members that ping a suspected one.
	suspectPings = 3
	// removedRetention is how long members that died or left are kept, so that
	// old messages do not add them again.
	removedRetention = 10 * time.Minute
	// deadProbeInterval is how often one dead member is probed, so that the two
	// sides of a partition merge again.
	deadProbeInterval = 5 * time.Second

	// updatesPerMessage limits the changes in a message, and repeatsPerMessage
	// the further members that are repeated in turn, in case their changes were
	// lost.
	updatesPerMessage = 6
	repeatsPerMessage = 2
	// sendsPerDoubling times the logarithm of the number of members is how
	// often an instance sends a change.
	sendsPerDoubling = 3
	// leaveMessages is the greatest number of members that a graceful leave is
	// announced to.
	leaveMessages = 8
	// maxUrgent limits the members that are probed next because their link broke.
	maxUrgent = 32

	// MaxClockOffset is the largest accepted offset from the median clock of the
	// peers. Skew is reported as ended below clockOffsetCleared.
	MaxClockOffset     = 500 * time.Millisecond
	clockOffsetCleared = 400 * time.Millisecond
	// clockSamples is the number of peers whose latest readings are compared.
	clockSamples = 15
	// minClockSamples is the least number of peers compared, if there are as
	// many, so that the first answer after a start is not decisive alone.
	minClockSamples = 3
	// clockSampleAge is how long a reading is used.
	clockSampleAge = 30 * time.Second
)

// doublings returns the logarithm of the number of members, at least 1.
func doublings(members int) int { return max(1, bits.Len(uint(members))) }
