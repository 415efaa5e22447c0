// Package queuepolicy decides which waiting jobs are served first while capacity is
// short, and which are refused. It has no I/O and reads no clock.
//
// docs/design/queue-order.md has the reasons for the rules.
package queuepolicy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// estimateSpread is the relative standard deviation of actual run times around
	// the expected ones.
	estimateSpread = 0.4
	// inTimeProbability is how likely a job has to meet its objective, if it started
	// now, to count as in time. A start that misses takes the capacity of another job;
	// a caller that is refused early can come back. Values from 0.5 to 0.85 served the
	// same work in time, and higher ones refused earlier.
	inTimeProbability = 0.8
	// minWaitShare is the share of its objective that a job may always wait. A short
	// objective can make it late before it has waited at all.
	minWaitShare = 0.125
	// shareWindow is the time constant of the offered and the served work.
	shareWindow = 2 * time.Second
	// classFloor is the share of its part of the capacity that a class keeps; the urgent
	// classes may take the rest. Its part is what it offers, up to a limit that is equal
	// for all classes, so that a burst of a class does not displace the others.
	classFloor = 0.9
	// wideFloor is how often the wide jobs of a class are started, relative to the class.
	// Callers need half as many in time, and a wide job that has started is late more
	// often. With 0.75, fewer than half were in time on targets that leave a remainder.
	wideFloor = 1.0
	// wideShare is the share of a class's jobs that count as wide, at least; jobs of the
	// same width are not told apart.
	wideShare = 0.1
	// fixedWorth is the part of a job's worth that does not depend on its work.
	fixedWorth = 0.3
	// wideTries is how often a group of wide jobs is offered, in jobs within the
	// window, before its floor is enforced.
	wideTries = 3
)

// Job is a job with tasks that wait for capacity.
type Job struct {
	ID        string
	Pool      string // jobs of a pool compete for the same capacity
	Class     string
	Priority  int // 0 comes first
	Width     int // largest number of tasks that run at the same time
	Age       time.Duration
	Objective time.Duration // from the submission
	Useful    time.Duration // from the submission; later answers are worth nothing
	Path      time.Duration // expected time from the next start to the end of the job
	Work      int64         // CPU time of the tasks that have not started: thousandths of a core times ms
	Spent     int64         // likewise, of those that have
	// Ready is the part of Work that may start now. Only this is ahead of other jobs.
	Ready   int64
	Started bool
	Stored  bool // is never refused
	// Restricted means that only some targets of the pool may run the job. The wait of
	// such a job cannot be predicted from the pool.
	Restricted bool
	// Tried means that no target had capacity for a task of the job.
	Tried bool
}

// Policy holds the shares of the classes.
type Policy struct{ pools map[string]*pool }

type pool struct {
	usage
	classes map[string]*class
	refused decayed // work refused lately; its callers come back
	held    decayed // upper envelope of the CPU of the running tasks

	limited float64 // limit of the classes' parts, as of limitAt
	limitAt time.Duration
}

type class struct {
	usage
	wide     usage
	widths   widths
	jobs     decayed // offered jobs
	tasks    decayed // sum of their widths
	wideJobs decayed // offered wide jobs
}

// usage is the work that was offered and served lately.
type usage struct{ offered, served decayed }

// ratio returns the served share of the offered work; 1 without offered work.
func (u *usage) ratio(now time.Duration) float64 {
	offered := u.offered.at(now)
	if offered <= 0 {
		return 1
	}
	return u.served.at(now) / offered
}

// decayed is a sum whose parts decay with the time constant shareWindow.
type decayed struct {
	value float64
	since time.Duration
}

func (d *decayed) at(now time.Duration) float64 {
	if d.value != 0 && now > d.since {
		d.value *= math.Exp(-float64(now-d.since) / float64(shareWindow))
	}
	d.since = now
	return d.value
}

func (d *decayed) add(now time.Duration, value float64) { d.value = d.at(now) + value }

// New returns an empty policy.
func New() *Policy { return &Policy{pools: map[string]*pool{}} }

func (p *Policy) pool(name string) *pool {
	found := p.pools[name]
	if found == nil {
		found = &pool{classes: map[string]*class{}}
		p.pools[name] = found
	}
	return found
}

func (p *pool) class(name string) *class {
	found := p.classes[name]
	if found == nil {
		found = &class{}
		p.classes[name] = found
	}
	return found
}

// Offered counts a new job.
func (p *Policy) Offered(now time.Duration, j *Job) {
	in := p.pool(j.Pool)
	c := in.class(j.Class)
	work := float64(j.Work + j.Spent)
	c.widths.add(j.Width)
	c.jobs.add(now, 1)
	c.tasks.add(now, float64(j.Width))
	in.offered.add(now, work)
	c.offered.add(now, work)
	if c.widths.isWide(j.Width) {
		c.wideJobs.add(now, 1)
		c.wide.offered.add(now, work)
	}
}

// Started counts the first start of a job.
func (p *Policy) Started(now time.Duration, j *Job) {
	in := p.pool(j.Pool)
	c := in.class(j.Class)
	work := float64(j.Work + j.Spent)
	in.served.add(now, work)
	c.served.add(now, work)
	if c.widths.isWide(j.Width) {
		c.wide.served.add(now, work)
	}
}

// band is the coarse order of waiting jobs.
type band int

const (
	bandStarted     band = iota // work spent is lost otherwise
	bandStartedLate             // likewise; callers treat an abort as a failure
	bandBelowFloor              // the class, or its wide jobs, have less than their floor
	bandStoredLate              // stored jobs beyond their objective, by arrival
	bandInTime
	bandLate // late but useful
)

// Rank is the place of a job in the order. It holds for a few tens of ms.
type Rank struct {
	band     band
	priority int
	worth    float64 // expected worth of a start now, per unit of work; of bandStoredLate the age
}

// Compare orders the job to serve first before the others.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.band, o.band), cmp.Compare(r.priority, o.priority), cmp.Compare(o.worth, r.worth))
}

// Rank returns the place of a job in the order.
func (p *Policy) Rank(now time.Duration, j *Job) Rank {
	in := p.pool(j.Pool)
	c := in.class(j.Class)
	r := Rank{band: bandInTime, priority: j.Priority, worth: c.worth(now, j)}
	switch late := j.late(0); {
	case j.Started && late:
		r.band = bandStartedLate
	case j.Started:
		r.band = bandStarted
	case late && !j.Stored:
		r.band = bandLate
	case p.belowFloor(now, in, c, j):
		r.band = bandBelowFloor
	case j.Stored && j.Age > j.Objective:
		// Under a lasting overload fresh jobs would always come first.
		return Rank{band: bandStoredLate, worth: j.Age.Seconds()}
	}
	return r
}

func (p *Policy) belowFloor(now time.Duration, in *pool, c *class, j *Job) bool {
	if c.served.at(now) < classFloor*min(c.offered.at(now), in.limit(now)) {
		return true
	}
	return c.widths.isWide(j.Width) && c.wideJobs.at(now) >= wideTries && c.wide.ratio(now) < wideFloor*c.ratio(now)
}

// limit returns the equal limit of the classes' parts: with each class at what it offers
// or at the limit, the parts add up to the served work.
func (p *pool) limit(now time.Duration) float64 {
	if p.limitAt == now && p.limited > 0 {
		return p.limited
	}
	offered := make([]float64, 0, len(p.classes))
	for _, c := range p.classes {
		offered = append(offered, c.offered.at(now))
	}
	slices.Sort(offered)
	left := p.served.at(now)
	p.limitAt, p.limited = now, math.Inf(1)
	for i, o := range offered {
		equal := left / float64(len(offered)-i)
		if o > equal {
			p.limited = equal
			break
		}
		left -= o
	}
	return p.limited
}

// worth returns the expected worth of starting a job now, per unit of work. A job's
// worth has a fixed part and one in proportion to its work, so that small jobs of a
// class are worth a little more for the capacity that they take. The size of a job is
// its width: by its estimated work, underestimated jobs came first, and those are late.
func (c *class) worth(now time.Duration, j *Job) float64 {
	probability := j.probability(0)
	if j.Stored {
		probability = 1
	}
	jobs := c.jobs.at(now)
	if jobs <= 0 || j.Width <= 0 {
		return probability
	}
	meanWidth := c.tasks.at(now) / jobs
	return probability * (fixedWorth*meanWidth/float64(j.Width) + 1 - fixedWorth)
}

// late reports whether a job that starts after a wait probably misses its objective,
// and has waited long enough for that to matter.
func (j *Job) late(wait time.Duration) bool {
	if j.Age+wait >= j.Objective || j.Useful > 0 && j.Age+wait+j.Path > j.Useful {
		return true
	}
	return float64(j.Age+wait) >= minWaitShare*float64(j.Objective) && j.probability(wait) < inTimeProbability
}

// probability returns how likely a job meets its objective if its tasks start after a
// wait. The tasks of a step have one estimate, so its error is common to all of them.
func (j *Job) probability(wait time.Duration) float64 {
	if j.Path <= 0 {
		return 1
	}
	left := float64(j.Objective - j.Age - wait)
	deviations := (left/float64(j.Path) - 1) / estimateSpread
	return 0.5 * math.Erfc(-deviations/math.Sqrt2)
}
