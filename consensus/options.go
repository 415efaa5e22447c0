package consensus

import "time"

// Options are the fixed parameters of a Core.
type Options struct {
	// ID is the member ID of this instance.
	ID string
	// ElectionTimeout is how long a follower waits for a leader before it asks
	// for pre-votes, and how long a leader acts without a quorum. Elections
	// are spread over one to two times this duration.
	ElectionTimeout time.Duration
	// HeartbeatInterval is how often a leader sends to each member.
	HeartbeatInterval time.Duration
	// SnapshotEntries is the number of applied entries after which the core
	// asks for a snapshot.
	SnapshotEntries uint64
	// SnapshotBytes is the size of applied entries, in bytes, after which the
	// core asks for a snapshot although there are fewer than SnapshotEntries.
	// A configuration is proposed as a whole, so that a day's changes would
	// not fit into the daemon's memory.
	SnapshotBytes int
	// TrailingEntries is how many entries before a snapshot stay in memory for
	// followers that lag a little, as long as they take less than a quarter of
	// SnapshotBytes.
	TrailingEntries uint64
	// MaxBatchBytes bounds the entries of one AppendRequest, in bytes. A
	// larger single entry is sent alone.
	MaxBatchBytes int
	// MaxInFlight bounds the entries sent to a member and not yet acknowledged.
	MaxInFlight uint64
	// MaxUncommitted bounds the proposals that a leader holds uncommitted;
	// further ones are refused with ErrOverloaded.
	MaxUncommitted uint64
	// Seed feeds the spread of election timeouts.
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
