package queuepolicy

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Reasons of refusals.
const (
	// ReasonNoCapacity means that no capacity came free by the latest start that meets
	// the objective while others wait that can meet theirs, or by the latest useful start.
	ReasonNoCapacity = "no_capacity_in_time"
	// ReasonBacklog means that the work ahead takes longer than that.
	ReasonBacklog = "backlog_exceeds_objective"
)

const (
	// minRetry and maxRetrySpread bound the time after which a refused caller comes back.
	// Bursts last a few seconds.
	minRetry       = time.Second
	minRetrySpread = 500 * time.Millisecond
	maxRetrySpread = 3 * time.Second
)

// maxBacklog bounds the time of a backlog, so that sums with it are within a Duration.
const maxBacklog = time.Duration(math.MaxInt64 / 4)

// Capacity is the capacity of a pool as this home sees it. Free capacity is not part of
// it: a job that was tried fits none, and what is left on many targets adds up to much.
type Capacity struct {
	Ends []End // expected ends of the running tasks whose home is here, by time
}

// End is the expected end of a running task.
type End struct {
	After time.Duration // from now
	CPU   int64
}

// SortEnds puts the ends into the order that Capacity requires.
func SortEnds(ends []End) {
	slices.SortFunc(ends, func(a, b End) int { return int(a.After - b.After) })
}

// Held returns the CPU that the home's running tasks have.
func (c *Capacity) Held() int64 {
	var sum int64
	for i := range c.Ends {
		sum += c.Ends[i].CPU
	}
	return sum
}

// FreedWithin returns the CPU that comes free by the expected ends.
func (c *Capacity) FreedWithin(wait time.Duration) int64 {
	var sum int64
	for i := range c.Ends {
		if c.Ends[i].After > wait {
			break
		}
		sum += c.Ends[i].CPU
	}
	return sum
}

// Slack returns how long the last task of a job may still wait for its start by the
// expected run times.
func (j *Job) Slack() time.Duration { return max(j.Objective-j.Age-j.Path, 0) }

// Refusal is a job to refuse.
type Refusal struct {
	Index      int // in the waiting jobs
	Reason     string
	RetryAfter time.Duration
}

// poolState is a pool's state during one call of Refuse.
type poolState struct {
	held  float64 // this home's part of the capacity, as CPU
	ahead float64 // work before the present job
	total float64 // work of all waiting jobs
	// inTime is the number of waiting jobs without a start that can meet their
	// objective; only they keep a late one from the capacity.
	inTime int
}

// Refuse returns the jobs to refuse now. The waiting jobs are in the order of their
// ranks; a job that has not been tried is left for the next call.
func (p *Policy) Refuse(now time.Duration, waiting []*Job, capacity map[string]*Capacity) []Refusal {
	states := p.poolStates(now, waiting, capacity)
	var refusals []Refusal
	for i, j := range waiting {
		s := states[j.Pool]
		reason := s.reason(j)
		if reason == "" {
			if !j.Restricted {
				s.ahead += float64(j.Ready)
			}
			continue
		}
		in := p.pool(j.Pool)
		in.refused.add(now, float64(j.Work))
		refusals = append(refusals, Refusal{
			Index: i, Reason: reason, RetryAfter: RetryAfter(j.ID, s.wait(s.total+in.refused.at(now))),
		})
	}
	return refusals
}

func (p *Policy) poolStates(now time.Duration, waiting []*Job, capacity map[string]*Capacity) map[string]*poolState {
	states := map[string]*poolState{}
	for _, j := range waiting {
		s := states[j.Pool]
		if s == nil {
			s = &poolState{}
			states[j.Pool] = s
			if c := capacity[j.Pool]; c != nil {
				s.held = p.pool(j.Pool).hold(now, float64(c.Held()))
			}
		}
		s.total += float64(j.Ready)
		if !j.Started && j.Ready > 0 && !j.late(0) {
			s.inTime++
		}
	}
	return states
}

// hold returns this home's part of the capacity: the CPU of its running tasks, or what
// it had within the last seconds. Just after a lull the running tasks are too few.
func (p *pool) hold(now time.Duration, running float64) float64 {
	if lately := p.held.at(now); running < lately {
		return lately
	}
	p.held = decayed{running, now}
	return running
}

// wait returns how long the home's part of the capacity takes for an amount of work.
// A home with k cores in use completes k core-seconds a second, whatever the lengths
// of its tasks.
func (s *poolState) wait(work float64) time.Duration {
	if s.held <= 0 {
		return maxBacklog
	}
	return time.Duration(min(work/s.held*float64(time.Millisecond), float64(maxBacklog)))
}

// tooLate reports whether a job that starts now ends after its last useful moment by the
// expected run times.
func (j *Job) tooLate() bool {
	if j.Useful <= 0 {
		return j.Age >= j.Objective
	}
	return j.Age+j.Path > j.Useful
}

// reason returns why a job is refused, or "".
func (s *poolState) reason(j *Job) string {
	switch {
	case j.Started || j.Stored || !j.Tried:
		return ""
	case j.tooLate():
		return ReasonNoCapacity
	case j.late(0):
		if s.inTime > 0 {
			return ReasonNoCapacity
		}
		return ""
	case !j.Restricted && s.held > 0 && j.late(s.wait(s.ahead)):
		return ReasonBacklog
	}
	return ""
}

// RetryAfter returns when a refused caller may come back: after the time that the
// backlog takes, spread by the job's ID, so that callers do not return at one moment.
func RetryAfter(id string, backlog time.Duration) time.Duration {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	// The low bits of FNV-1a of IDs that differ in the last byte only differ little.
	mixed := hash.Sum32() * 2654435769
	spread := min(max(backlog, minRetrySpread), maxRetrySpread)
	return minRetry + time.Duration(float64(spread)*float64(mixed)/(1<<32))
}
