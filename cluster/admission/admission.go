// Package admission decides which stored jobs a coordinator accepts: as many as the
// log and the home can take. It has no I/O and reads no clock.
//
// A stored job has no deadline, so that without a limit the queue of an overload
// outlasts it: jobs that arrive after it wait behind those that are late already. A
// job that is refused at once may be submitted again later or elsewhere.
package admission

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// minDelay is the wait that is accepted for any job; the delay of shorter waits
	// cannot be told from the time between two scheduling passes.
	minDelay = 100 * time.Millisecond
	// logTimeout is how long the oldest command in flight may take before further
	// jobs are refused. An entry usually takes 20 ms, and an election a second.
	logTimeout = 250 * time.Millisecond
	// probeInterval is how often a job is proposed while the log does not respond.
	probeInterval = 100 * time.Millisecond
	// unknownLifetime is how long a job whose proposal has no known outcome may still
	// be in the log without being applied here: two time limits of a proposal, one of
	// them at the leader, and the lag of a coordinator.
	unknownLifetime = 15 * time.Second
	// minRetry and maxRetry bound the delay after which a refused caller returns.
	// The unit of the callers' interface is a second.
	minRetry = time.Second
	maxRetry = 5 * time.Second
)

// Job is what admission has to know of a job.
type Job struct {
	ID       string
	Priority int           // 0 comes first
	Slack    time.Duration // objective less the estimated run time
}

// Backlog describes the stored jobs that wait for their first start at a home.
type Backlog struct {
	Work map[int]float64 // CPU time of the waiting tasks by priority, in core-seconds
	Rate float64         // CPU time started lately, in core-seconds per second
	// Oldest is how long the first of the jobs that wait has waited. Jobs that have
	// waited far beyond their use are not counted: no target may be able to run them.
	Oldest time.Duration
}

// Delay returns how long a new job of a priority has to wait for its first start.
func (b *Backlog) Delay(priority int) time.Duration {
	ahead := 0.0
	for p, work := range b.Work {
		if p <= priority {
			ahead += work
		}
	}
	switch {
	case ahead == 0 || b.Oldest < minDelay:
		return 0
	case b.Rate <= 0:
		// Nothing has started lately, which tells nothing about the capacity.
		return b.Oldest
	}
	return time.Duration(min(ahead/b.Rate*float64(time.Second), math.MaxInt64/2))
}

// Verdict is the decision on a job. The job has not been accepted if Reason is set.
type Verdict struct {
	Reason     string
	RetryAfter time.Duration
	Elsewhere  bool // another coordinator may accept the job at once
}

// Gate decides on the jobs of one coordinator. It is not safe for concurrent use.
type Gate struct {
	inFlight  map[uint64]proposal
	last      uint64
	lastProbe time.Duration
	// unknown is when a proposal of a job ended without a known outcome, by job ID. The
	// job may be in the log, so that it must not be refused.
	unknown map[string]time.Duration
}

type proposal struct {
	job string
	at  time.Duration
}

// NewGate returns a gate without proposals in flight.
func NewGate() *Gate {
	return &Gate{inFlight: map[uint64]proposal{}, unknown: map[string]time.Duration{}, lastProbe: math.MinInt64 / 2}
}

// Decide returns whether a job is to be proposed to the log.
func (g *Gate) Decide(now time.Duration, job Job, backlog *Backlog) Verdict {
	if g.mayBeStored(now, job.ID) {
		return Verdict{} // accepting it again changes nothing
	}
	silent := g.oldest(now) > logTimeout
	if silent && now-g.lastProbe < probeInterval {
		return Verdict{Reason: "log does not respond", RetryAfter: spread(job.ID, minRetry, 2*minRetry), Elsewhere: true}
	}
	delay := backlog.Delay(job.Priority)
	if delay <= max(job.Slack, minDelay) {
		if silent {
			g.lastProbe = now
		}
		return Verdict{}
	}
	from := min(max(delay/2, minRetry), maxRetry/2)
	return Verdict{Reason: "too many jobs wait", RetryAfter: spread(job.ID, from, min(max(delay, 2*from), maxRetry))}
}

// mayBeStored reports whether an earlier proposal of the job is in flight or has ended
// without a known outcome.
func (g *Gate) mayBeStored(now time.Duration, id string) bool {
	if since, ok := g.unknown[id]; ok && now-since <= unknownLifetime {
		return true
	}
	for _, p := range g.inFlight {
		if p.job == id {
			return true
		}
	}
	return false
}

// Begin records a proposal and returns its number.
func (g *Gate) Begin(now time.Duration, id string) uint64 {
	g.last++
	g.inFlight[g.last] = proposal{job: id, at: now}
	return g.last
}

// End records that a proposal has ended, and whether its outcome is known.
func (g *Gate) End(now time.Duration, number uint64, known bool) {
	p := g.inFlight[number]
	delete(g.inFlight, number)
	if known {
		delete(g.unknown, p.job)
		return
	}
	for id, since := range g.unknown {
		if now-since > unknownLifetime {
			delete(g.unknown, id)
		}
	}
	g.unknown[p.job] = now
}

// oldest returns the age of the oldest proposal in flight.
func (g *Gate) oldest(now time.Duration) time.Duration {
	var age time.Duration
	for _, p := range g.inFlight {
		age = max(age, now-p.at)
	}
	return age
}

// spread returns a time between two bounds that depends on the job's ID, so that the
// callers of an overload do not return at the same moment.
func spread(id string, from, to time.Duration) time.Duration {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	mixed := uint32(hash.Sum64() * 0x9e3779b97f4a7c15 >> 32) // similar IDs differ in the low bits only
	return from + time.Duration(float64(to-from)*float64(mixed)/math.MaxUint32)
}
