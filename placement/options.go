package placement

import "time"

// Options are the fixed parameters of a Core.
type Options struct {
	// Name is this coordinator's name on the links.
	Name string
	// Home names this process in the log as a home of stored jobs.
	Home string
	// Lease is the longest lease that a target grants.
	Lease time.Duration
	// StopTime is the longest time that a target takes to stop a run.
	StopTime time.Duration
	// FirstRef precedes the refs of this process's placements. Reports for an earlier
	// process may still arrive, so it is random, with its low bits zero.
	FirstRef uint64
	// Cold decides when a cold target is warm; the zero value ignores that targets are.
	Cold ColdRule
	// UnixMS is the wall-clock time at the start of the core, in Unix ms; the
	// fencing tokens are based on it.
	UnixMS int64
	// TargetSpeeds makes placements depend on the learned speeds of targets.
	TargetSpeeds bool
	// QueueOrder is the order in which waiting jobs get capacity.
	QueueOrder QueueOrder
}

const (
	// orderTimeout bounds a start or a stop. A response takes a network round
	// trip, at most 3 ms between data centres, and the target's own pauses.
	orderTimeout = 200 * time.Millisecond
	// pollWait is how long a target holds a poll until a run ends. It leaves
	// more than half of a lease for repeating a failed poll.
	pollWait = 400 * time.Millisecond
	// extendingPolls is how many failed polls in a row still extend the lease.
	// After them the target's runs end with the lease.
	extendingPolls = 2
	// maxFailedPolls is how many failed polls in a row it takes to drop a target;
	// its next heartbeat brings it back.
	maxFailedPolls = 4
	// clockRate bounds the clock drift: a target's clock may run 2% slower, plus a
	// margin of 1%.
	clockRate = 1.03
	// placementTimeout is how long another coordinator may take to answer a placement
	// before it gets no more. It covers the start at the target.
	placementTimeout = orderTimeout
	// heartbeatTimeout is how long an idle target gets work after its last
	// heartbeat: two heartbeat intervals of 1.5 s and the time of a retry.
	heartbeatTimeout = 4500 * time.Millisecond
	// ejectFailures is how many failed runs of different jobs in a row eject a
	// target; a single one may be the task's fault.
	ejectFailures = 2
	// ejectDuration is the length of a target's first ejection; it doubles each time.
	ejectDuration    = time.Second
	maxEjectDuration = 8 * time.Second
	// unavailablePause is how long an unavailable target gets no starts.
	unavailablePause = 500 * time.Millisecond
	// stallTimeout is how long a run may make no progress before it is stopped and
	// runs elsewhere; a longer run may stall for half its expected time.
	stallTimeout = 300 * time.Millisecond
	// stallPause is how long a target gets no starts after a run has stalled.
	stallPause = time.Second
	// slowFactor times its expected time makes a run slow. Estimates are usually
	// off by a half.
	slowFactor = 3
	// suspectDuration is how long a target with a failed or slow run is considered last.
	suspectDuration = 2 * time.Second
	// restoreDelay is how long a new process waits for links to the others, which
	// send it the targets that they own, before it takes over restored targets.
	restoreDelay = 300 * time.Millisecond
	// TickInterval is how often deadlines of waiting jobs are checked.
	TickInterval = 20 * time.Millisecond
)
