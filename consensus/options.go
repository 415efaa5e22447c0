package consensus

import "time"

// Options are the fixed parameters of a Core.
type Options struct {
	// ID is the member ID of this instance.
	ID string
	// ElectionTimeout is how long a follower waits for the leader before it
	// starts a pre-vote, and how long a leader stays one without contact to a
	// quorum. A follower's wait is random, between one and two times this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// SnapshotEntries is the number of applied entries after which the core
	// requests a snapshot.
	SnapshotEntries uint64
	// SnapshotBytes is the size of applied entries, in bytes, after which the
	// core requests a snapshot even if there are fewer than SnapshotEntries.
	// A configuration is proposed as a whole, so a day's changes would not fit
	// into the daemon's memory.
	SnapshotBytes int
	// TrailingEntries is how many entries before a snapshot stay in memory for
	// slightly lagging followers, as long as they take less than a quarter of
	// SnapshotBytes.
	TrailingEntries uint64
	// MaxBatchBytes bounds the entries of one AppendRequest, in bytes. A
	// larger single entry is sent alone.
	MaxBatchBytes int
	// MaxInFlight bounds the unacknowledged entries sent to a member.
	MaxInFlight uint64
	// MaxUncommitted bounds the uncommitted entries of a leader; further
	// proposals are refused with ErrOverloaded.
	MaxUncommitted uint64
	// EagerApply applies entries once they are committed and durable here, before
	// the commit index is durable. A restarted instance may then lack, until it
	// hears from a leader, entries that it had applied; CommitSynced reports up to
	// which index it does not. Waiting for the commit index costs another sync.
	EagerApply bool
	// Seed seeds the randomization of election timeouts.
	Seed uint64
}

// WithDefaults returns the options with zero fields replaced by defaults.
func (o Options) WithDefaults() Options {
	setDefault(&o.ElectionTimeout, time.Second)
	setDefault(&o.HeartbeatInterval, o.ElectionTimeout/5)
	setDefault(&o.SnapshotEntries, 4096)
	setDefault(&o.SnapshotBytes, 4<<20)
	setDefault(&o.TrailingEntries, 256)
	setDefault(&o.MaxBatchBytes, 256<<10)
	setDefault(&o.MaxInFlight, 4096)
	setDefault(&o.MaxUncommitted, 8192)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
