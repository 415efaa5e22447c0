package placement

import "time"

// Options are the fixed parameters of a Core.
type Options struct {
	// Name is this coordinator's name on the links.
	Name string
	// Home is this process's name in the log, as a home of stored jobs.
	Home string
	// Lease is the longest lease that a target grants.
	Lease time.Duration
	// StopTime is how long a target takes at most to stop a run.
	StopTime time.Duration
	// UnixMS is the time of day at the start of the core, the origin of the
	// fencing tokens.
	UnixMS int64
}

const (
	// orderTimeout bounds a start or a stop. An answer takes a network round
	// trip, at most 3 ms between data centres, and the target's own pauses.
	orderTimeout = 200 * time.Millisecond
	// lookWait is how long a target holds a look until a run ends. It leaves
	// more than half of a lease for repeating an unanswered look.
	lookWait = 400 * time.Millisecond
	// extendingLooks is how many unanswered looks in a row still extend the
	// lease. After them the target's runs end by themselves.
	extendingLooks = 2
	// lostLooks is how many unanswered looks in a row it takes to give a target
	// up; its next heartbeat brings it back.
	lostLooks = 4
	// clockRate bounds how much slower a target's clock may run, 2%, with 1% to spare.
	clockRate = 1.03
	// reportTimeout is how long an idle target gets work after its last
	// heartbeat: two heartbeats of 1.5 s and the time of a retry.
	reportTimeout = 4500 * time.Millisecond
	// ejectFailures is how many failed runs of different jobs in a row take a
	// target out of service; one alone may be the task's fault.
	ejectFailures = 2
	// ejectTime is the first pause of a target that fails; it doubles.
	ejectTime    = time.Second
	maxEjectTime = 8 * time.Second
	// unwellTime is the pause of a target that says that it does not work now.
	unwellTime = 500 * time.Millisecond
	// stallTime is how long a run may stand still before it is stopped and runs
	// elsewhere; a run that takes longer may stand still for half its expected time.
	stallTime = 300 * time.Millisecond
	// stallPause is how long a target gets no starts after a run has stood still.
	stallPause = time.Second
	// slowFactor times its expected time makes a run slow. Estimates are off by
	// a half at most times.
	slowFactor = 3
	// suspectTime is how long a target with one failed run comes last.
	suspectTime = 2 * time.Second
	// recallDelay is how long a new process waits for links to the others, which
	// tell it the targets that they own, before it takes remembered ones over.
	recallDelay = 300 * time.Millisecond
	// TickInterval is how often deadlines of waiting jobs are checked.
	TickInterval = 20 * time.Millisecond
)
