package placement

import "time"

const (
	// startRateWindow is the time over which the rate of started work is measured.
	startRateWindow = time.Second
	// backlogAgeFactor times its objective is the age from which a waiting job no
	// longer counts as backlog: no target may be able to run it.
	backlogAgeFactor = 10
)

// StartSlack returns how long the job may wait for its first start and still end
// within its objective, by the caller's estimates.
func (j *Job) StartSlack() time.Duration { return max(j.objective()-j.criticalPath(), 0) }

// cpuSeconds returns the estimated CPU time of a task of the step.
func (s *Step) cpuSeconds() float64 {
	return float64(s.Need.CPUMillis) / 1000 * s.Expected.Seconds()
}

// StoredBacklog describes the stored jobs that have not started here.
type StoredBacklog struct {
	Work   map[int]float64 // estimated CPU time by priority, in core-seconds
	Rate   float64         // estimated CPU time of the started tasks, in core-seconds per second
	Oldest time.Duration
}

// startRate measures the work of the tasks that are started.
type startRate struct {
	since   time.Duration // beginning of the present window
	current float64       // core-seconds in it
	last    float64       // rate in the window before
}

func (r *startRate) add(now time.Duration, cpuSeconds float64) {
	r.advance(now)
	r.current += cpuSeconds
}

// advance begins a new window when the present one is over.
func (r *startRate) advance(now time.Duration) {
	length := now - r.since
	if length < startRateWindow {
		return
	}
	r.last = r.current / length.Seconds()
	r.since, r.current = now, 0
}

// perSecond returns the rate in the last window and the present one.
func (r *startRate) perSecond(now time.Duration) float64 {
	r.advance(now)
	length := startRateWindow + now - r.since
	return (r.last*startRateWindow.Seconds() + r.current) / length.Seconds()
}

// StoredBacklog returns the backlog of stored jobs at this home: the tasks of jobs that
// have not begun and that could start now. Tasks that wait for a new home's take-over
// or for the log are left out, as they would only make admission refuse jobs that have
// free targets.
func (c *Core) StoredBacklog() StoredBacklog {
	b := StoredBacklog{Work: map[int]float64{}, Rate: c.storedStarts.perSecond(c.now)}
	if !c.homeLeaseValid() {
		return b
	}
	for _, j := range c.queue {
		age := c.now - j.submittedAt
		if !j.Stored || j.begun || j.ending || age > backlogAgeFactor*j.objective() {
			continue
		}
		work := c.startableWork(j)
		if work > 0 {
			b.Oldest = max(b.Oldest, age)
			b.Work[j.Priority] += work
		}
	}
	return b
}

// startableWork returns the estimated CPU time, in core-seconds, of the tasks of a job
// that wait for capacity alone.
func (c *Core) startableWork(j *job) float64 {
	work := 0.0
	for step := range j.tasks {
		if !j.stepReady(step) {
			continue
		}
		for _, t := range j.tasks[step] {
			if t.state == waiting && c.now >= t.notBefore && !t.mayBeDone && !t.suspected() {
				work += j.Steps[step].cpuSeconds()
			}
		}
	}
	return work
}
