package membership

import (
	"math/bits"
	"time"
)

// Options configures a Core.
type Options struct {
	Instance string
	// Incarnation is higher at each start of the instance, for example the
	// start time in milliseconds.
	Incarnation uint64
	// Seed makes the order of probes differ between instances.
	Seed uint64
}

const (
	// ProbeInterval is how often an instance probes one member.
	ProbeInterval = 500 * time.Millisecond
	// ackTimeout is how long a direct probe may take before others are asked
	// to probe the member.
	ackTimeout = 200 * time.Millisecond
	// indirectProbes is how many members are asked.
	indirectProbes = 3

	// suspicionPerDoubling times the logarithm of the number of members is how
	// long a suspicion lasts, so that a refutation has time to spread.
	suspicionPerDoubling = 600 * time.Millisecond
	// suspectPings is how many members tell a suspected one.
	suspectPings = 3
	// deadRetention is how long dead members are remembered, so that old
	// messages do not bring them back.
	deadRetention = 10 * time.Minute
	// deadProbeInterval is how often one dead member is probed, so that the two
	// sides of a partition find each other again.
	deadProbeInterval = 5 * time.Second

	// updatesPerMessage bounds the changes that a message carries, and
	// pagePerMessage the further members that are repeated in turn to repair
	// what the changes missed.
	updatesPerMessage = 6
	repeatsPerMessage = 2
	// sendsPerDoubling times the logarithm of the number of members is how
	// often an instance passes a change on.
	sendsPerDoubling = 3
	// leaveMessages is how many members are told of a graceful leave.
	leaveMessages = 8
	// maxUrgent bounds the members that are probed next because their link broke.
	maxUrgent = 32

	// MaxClockOffset is the largest accepted difference to the median clock of
	// the peers. A report ends below clockOffsetCleared.
	MaxClockOffset     = 500 * time.Millisecond
	clockOffsetCleared = 400 * time.Millisecond
	// clockSamples is how many peers' latest clock readings are compared.
	clockSamples = 15
	// minClockSamples is how many peers are compared at least, if there are as
	// many, so that the first answer after a start does not decide.
	minClockSamples = 3
	// clockSampleAge is how long a reading counts.
	clockSampleAge = 30 * time.Second
)

// doublings returns the logarithm of the number of members, at least 1.
func doublings(members int) int { return max(1, bits.Len(uint(members))) }
