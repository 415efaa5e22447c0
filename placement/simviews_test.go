package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornshore.example/placement"
)

// viewInterval is availabilityInterval of cluster/loop.go.
const viewInterval = 10 * time.Millisecond

// simViews sends the available targets as package cluster does: at most every
// viewInterval, and only what has changed. It counts starts, rejections and messages
// after a second of load.
type simViews struct {
	earlier bool // the updates are those of the earlier version
	owners  map[*simCoordinator]*simOwner

	from                       time.Duration
	starts, remote, rejections int
	requests, reports, updates int
	submittedAt                map[string]time.Duration
	ages                       []time.Duration // of completed jobs
}

// simOwner is what a coordinator has sent of its available targets.
type simOwner struct {
	changed  bool
	complete bool
	last     time.Duration
	sent     map[string]placement.AvailableTarget
}

// newViewSimulation returns a simulation of 6 coordinators with 58 targets each, on
// links of 0.5 to 1.4 ms.
func newViewSimulation(seed uint64, earlier bool) *simulation {
	s := newSimulation(seed, 6, 348)
	s.longestRun, s.progress = 900*time.Millisecond, true
	s.views = &simViews{
		earlier: earlier, owners: map[*simCoordinator]*simOwner{}, from: s.now + time.Second,
		submittedAt: map[string]time.Duration{},
	}
	for _, c := range s.coordinators {
		s.views.owners[c] = &simOwner{sent: map[string]placement.AvailableTarget{}}
		for _, to := range s.coordinators {
			s.delays[c.name+">"+to.name] = time.Duration(500+s.random.IntN(900)) * time.Microsecond
		}
	}
	for i, t := range s.targets {
		t.runner.Description.Capacity.CPUMillis = []int64{14000, 24000, 32000, 48000, 64000}[i/6%5]
	}
	return s
}

// viewLoad submits jobs of 2 to 8 tasks that need a part of all capacity. A share of
// the jobs comes to the first coordinator, the others to all of them evenly.
func (s *simulation) viewLoad(part, first float64, until time.Duration) {
	const meanNeed, meanRun, meanTasks = 4600, 0.46, 5
	var capacity int64
	for _, t := range s.targets {
		capacity += t.runner.Description.Capacity.CPUMillis
	}
	rate := part * float64(capacity) / meanNeed / meanRun / meanTasks
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2)) // the same load whatever the placements
	var submit func()
	submit = func() {
		c := s.coordinators[random.IntN(len(s.coordinators))]
		if random.Float64() < first {
			c = s.coordinators[0]
		}
		s.lastRef++
		caller := placement.Caller{Gateway: "g" + c.name, Ref: s.lastRef}
		job := s.newJob()
		job.Steps[0].Count = 2 + random.IntN(7)
		job.Steps[0].Expected = 450 * time.Millisecond
		job.Steps[0].Need.CPUMillis = []int64{2000, 3000, 4000, 6000, 8000}[random.IntN(5)]
		s.jobs[job.ID], s.unanswered[caller], s.views.submittedAt[job.ID] = job, job.ID, s.now
		s.step(c, placement.Submit{Caller: caller, Job: job})
		if s.now < until {
			s.after(time.Duration(random.ExpFloat64()*float64(time.Second)/rate), submit)
		}
	}
	s.after(500*time.Millisecond, submit)
}

// runUnchecked runs the simulation without the check after each event, which takes most
// of the time with many targets.
func (s *simulation) runUnchecked(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(*timedEvent)
		s.now = next.at
		next.do()
	}
	s.now = until
}

// observe counts an effect. It reports whether the effect is about the available
// targets, which publish sends later.
func (v *simViews) observe(s *simulation, c *simCoordinator, effect placement.Effect) bool {
	if v == nil {
		return false
	}
	switch e := effect.(type) {
	case placement.AvailabilityChanged:
		v.owners[c].changed = true
		return true
	case placement.AvailabilityCorrected:
		if _, known := v.owners[c].sent[e.Target]; known {
			v.owners[c].sent[e.Target] = placement.AvailableTarget{}
		}
		return true
	}
	if s.now < v.from {
		return false
	}
	switch e := effect.(type) {
	case placement.StartOrder:
		v.starts++
	case placement.RequestPlacements:
		v.requests++
		v.remote += len(e.Placements)
	case placement.SendReports:
		v.reports++
		for _, r := range e.Reports {
			if r.Kind == placement.RunRejected && r.Reason == placement.ReasonNoRoom {
				v.rejections++
			}
		}
	case placement.AnswerJob:
		if e.Outcome == placement.Completed {
			v.ages = append(v.ages, s.now-v.submittedAt[e.JobID])
		}
	}
	return false
}

// publish sends the changes of a coordinator's available targets once they are due.
func (v *simViews) publish(s *simulation, c *simCoordinator) {
	if v == nil || !v.owners[c].changed || s.now-v.owners[c].last < viewInterval {
		return
	}
	owner := v.owners[c]
	owner.changed, owner.last = false, s.now
	update := placement.PeerAvailability{Peer: c.name, Partial: owner.complete}
	current := map[string]bool{}
	for _, t := range c.core.AvailableTargets() {
		old, known := owner.sent[t.Target]
		current[t.Target], owner.sent[t.Target] = true, t
		if !known || old.Address != t.Address || old.Free != t.Free || old.Suspect != t.Suspect || old.Idle != t.Idle {
			update.Targets = append(update.Targets, t)
		}
	}
	for id := range owner.sent {
		if !current[id] {
			delete(owner.sent, id)
			update.Removed = append(update.Removed, id)
		}
	}
	if len(update.Targets) == 0 && len(update.Removed) == 0 {
		return
	}
	owner.complete = true
	for _, peer := range s.coordinators {
		if peer == c {
			continue
		}
		u := update
		u.Targets = slices.Clone(update.Targets)
		if !v.earlier {
			included := c.core.IncludedRef(peer.name)
			u.IncludedRef, u.Demand = &included, c.core.Demand()
		}
		if s.now >= v.from {
			v.updates++
		}
		s.send(c, peer.name, u)
	}
}

// add adds the counts of another simulation.
func (v *simViews) add(o *simViews) {
	v.starts += o.starts
	v.remote += o.remote
	v.rejections += o.rejections
	v.requests += o.requests
	v.reports += o.reports
	v.updates += o.updates
	v.ages = append(v.ages, o.ages...)
}

// rejected returns the rejections for lack of capacity in percent of the starts.
func (v *simViews) rejected() float64 { return 100 * float64(v.rejections) / float64(v.starts) }

func (v *simViews) messages() int { return v.requests + v.reports + v.updates }

// age returns the age at which a share of the jobs has been completed.
func (v *simViews) age(share float64) time.Duration {
	slices.Sort(v.ages)
	return v.ages[int(share*float64(len(v.ages)-1))]
}

func (v *simViews) String() string {
	return fmt.Sprintf("%d starts, %d placements at others, %d rejected (%.2f%%), messages: %d requests, %d reports, %d updates; %d jobs, p50 %v, p99 %v",
		v.starts, v.remote, v.rejections, v.rejected(), v.requests, v.reports, v.updates, len(v.ages), v.age(0.5), v.age(0.99))
}
