package claims

import (
	"time"

	"hawthornshore.example/structs"
)

// Core stores the claims and answers of the job IDs that an instance owns or
// backs up. The invariants are:
//
//   - Admit is emitted at most once for a job ID, and only while the lease is
//     valid, the partition is ready and the ID is above every horizon.
//   - Release is emitted at most once, after Admit, and never after the job has
//     an answer.
//   - A dropped record's ID is below the floor, so that it is not admitted again.
//   - Each request is in requests until its one Reply.
type Core struct {
	opts Options
	now  time.Duration // since opts.Start
	wall int64         // Unix milliseconds

	epoch      uint64
	members    []string
	partitions [structs.Partitions]partition
	lease      LeaseChanged
	skewed     bool

	records       map[structs.JobID]*record
	requests      map[RequestID]structs.JobID
	awaitingLease []structs.JobID // IDs of records in this state, and some that have left it
	timers        timers
	floor         int64 // Unix milliseconds; IDs up to this time may have been dropped
	futureRecords int   // records with future set
	answerBytes   int
	withResults   []structs.JobID // IDs of records with results, the oldest first
	transfers     []transfer
	transferAt    time.Duration

	openJobs      int // own jobs without an answer
	draining      bool
	outgoing      *outgoingHandOver // the hand-over in progress or completed
	deferred      map[structs.JobID][]Submit
	deferredCount int
	matchedSeals  map[int]matchedSeal // hand-overs received, by partition

	effects []Effect
}

// partition is this instance's view of one partition of the job IDs.
type partition struct {
	owner, backup string
	// ready is set if this instance may admit jobs of the partition: it has
	// owned it without interruption since it took it over.
	ready bool
	// horizon is in Unix milliseconds. IDs before it may have been admitted
	// elsewhere.
	horizon int64
	// seal is set while the partition is being taken over from a draining owner
	// that has transferred all its records.
	seal *matchedSeal
}

// New returns a core without members and without a lease.
func New(opts Options) *Core {
	if opts.MaxRecords == 0 {
		opts.MaxRecords = defaultMaxRecords
	}
	if opts.MaxAnswerBytes == 0 {
		opts.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	return &Core{
		opts:         opts,
		records:      make(map[structs.JobID]*record),
		requests:     make(map[RequestID]structs.JobID),
		deferred:     make(map[structs.JobID][]Submit),
		matchedSeals: make(map[int]matchedSeal),
	}
}

// Step processes one event. Timers that are due at now fire before it, and those that
// it sets to now or earlier after it.
func (c *Core) Step(now time.Time, ev Event) {
	c.advance(now)
	c.fireTimers()
	switch e := ev.(type) {
	case Submit:
		c.submit(e)
	case Query:
		c.query(e)
	case Cancel:
		c.cancel(e)
	case Abandon:
		c.abandon(e.Request)
	case JobAdmitted:
		c.admitted(e.JobID)
	case JobFinished:
		c.jobFinished(e.Answer)
	case CopyAcked:
		c.copyAcked(e)
	case CopyReceived:
		c.copyReceived(e)
	case MembersChanged:
		c.membersChanged(e)
	case LeaseChanged:
		c.leaseChanged(e)
	case ClockSkewChanged:
		c.clockChanged(e.Skewed)
	case PeerRestarted:
		c.peerRestarted(e.Peer)
	case Drain:
		c.draining = true
	case HandOverReceived:
		c.handOverReceived(e)
	case HandOverAcked:
		c.handOverAcked(e)
	case Tick:
	}
	c.handOver()
	c.fireTimers()
}

// Ready returns the effects since the last call, in order.
func (c *Core) Ready() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

// NextWake returns when the next Tick is due, or false if none is.
func (c *Core) NextWake() (time.Time, bool) {
	at, ok := time.Duration(0), false
	if len(c.timers) > 0 {
		at, ok = c.timers[0].at, true
	}
	if len(c.transfers) > 0 && (!ok || c.transferAt < at) {
		at, ok = c.transferAt, true
	}
	if out := c.outgoing; out != nil && len(out.unacked) > 0 && len(c.transfers) == 0 && c.leaseHeld() && (!ok || out.resendAt < at) {
		at, ok = out.resendAt, true
	}
	return c.opts.Start.Add(at), ok
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// advance sets the core's time. Timers run on the difference to the start,
// which is monotonic where the clock has a monotonic reading. IDs are compared
// with the wall clock, which may be corrected.
func (c *Core) advance(now time.Time) {
	c.now = max(c.now, now.Sub(c.opts.Start))
	c.wall = now.UnixMilli()
}

func (c *Core) fireTimers() {
	for {
		id, ok := c.timers.due(c.now)
		if !ok {
			break
		}
		if r := c.records[id]; r != nil {
			c.fireRecord(r)
		}
		c.expireDeferred(id)
	}
	if len(c.transfers) > 0 && c.transferAt <= c.now {
		c.sendTransferBatch()
	}
}

// fireRecord runs the expired timers of one record.
func (c *Core) fireRecord(r *record) {
	if c.deadlinePassed(r) {
		c.handleDeadline(r)
	}
	if r.state == copying && r.copyDue <= c.now {
		c.emit(CopyTimedOut{JobID: r.id, Peer: r.copyPeer})
		c.claimCopied(r)
	}
	if r.expires <= c.now {
		c.drop(r)
	}
}

// coreTime converts a wall clock time in Unix milliseconds to the core's time.
func (c *Core) coreTime(unixMS int64) time.Duration {
	ahead := min(unixMS-c.wall, maxAheadMS)
	return c.now + time.Duration(ahead)*time.Millisecond
}

// maxAheadMS keeps times in the far future from overflowing a time.Duration.
const maxAheadMS = int64(100 * 365 * 24 * time.Hour / time.Millisecond)

// leaseHeld reports whether this instance may act as an owner at all.
func (c *Core) leaseHeld() bool {
	l := &c.lease
	if !l.Held || l.Epoch != 0 && l.Epoch != c.epoch {
		return false
	}
	if l.Until.IsZero() {
		return true
	}
	return c.now < l.Until.Sub(c.opts.Start) && c.wall < l.Until.UnixMilli()
}

// isActiveOwner reports whether this instance may act as the owner of a partition.
func (c *Core) isActiveOwner(p *partition) bool {
	return p.owner == c.opts.Instance && p.ready && c.leaseHeld()
}
