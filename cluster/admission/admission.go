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
		return math.MaxInt64
	}
	return time.Duration(min(ahead/b.Rate*float64(time.Second), math.MaxInt64/2))
}

// Verdict is the decision on a job. The job has not been accepted if Reason is set.
type Verdict struct {
	Reason     string
	RetryAfter time.Duration
}

// Gate decides on the jobs of one coordinator. It is not safe for concurrent use.
type Gate struct {
	inFlight  map[uint64]time.Duration // time of the proposal by number
	last      uint64
	lastProbe time.Duration
}

// NewGate returns a gate without commands in flight.
func NewGate() *Gate {
	return &Gate{inFlight: map[uint64]time.Duration{}, lastProbe: math.MinInt64 / 2}
}

// Decide returns whether a job is to be proposed to the log.
func (g *Gate) Decide(now time.Duration, job Job, backlog *Backlog) Verdict {
	if age := g.oldest(now); age > logTimeout {
		if now-g.lastProbe < probeInterval {
			return Verdict{Reason: "log does not respond", RetryAfter: spread(job.ID, minRetry, 2*minRetry)}
		}
		g.lastProbe = now
	}
	delay := backlog.Delay(job.Priority)
	if delay <= max(job.Slack, minDelay) {
		return Verdict{}
	}
	from := min(max(delay/2, minRetry), maxRetry/2)
	return Verdict{Reason: "too many jobs wait", RetryAfter: spread(job.ID, from, min(max(delay, 2*from), maxRetry))}
}

// Begin records a proposal and returns its number.
func (g *Gate) Begin(now time.Duration) uint64 {
	g.last++
	g.inFlight[g.last] = now
	return g.last
}

// End records that the log has answered a proposal, or that it is given up.
func (g *Gate) End(number uint64) { delete(g.inFlight, number) }

// oldest returns the age of the oldest proposal in flight.
func (g *Gate) oldest(now time.Duration) time.Duration {
	var age time.Duration
	for _, since := range g.inFlight {
		age = max(age, now-since)
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
