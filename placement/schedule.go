package placement

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// retryAfter is the retry delay for a refused caller; bursts last a few seconds.
	retryAfter = time.Second
	// startTimeoutShare is the share of its objective that a job waits for its
	// first start before it is refused.
	startTimeoutShare = 0.25
)

// candidate is a target that may run a task.
type candidate struct {
	target *target // owned here, or nil
	peer   *peer
	remote *AvailableTarget // at the peer
	score  float64
}

// schedule places waiting tasks as long as there is capacity for them.
func (c *Core) schedule() {
	if !c.scheduleDue {
		return
	}
	c.scheduleDue = false
	c.sortQueue()
	c.costOrder.beginPass()
	requests := map[string][]Placement{}
	for _, j := range c.queue {
		c.place(j, requests)
	}
	c.placeTrials(requests)
	c.refuseEvacuated()
	c.queue = slices.DeleteFunc(c.queue, func(j *job) bool {
		j.queued = j.queued && j.hasWaiting()
		return !j.queued
	})
	for _, name := range sortedKeys(requests) {
		c.emit(RequestPlacements{Peer: name, Placements: requests[name]})
	}
}

func (c *Core) sortQueue() {
	if c.costOrder != nil {
		slices.SortStableFunc(c.queue, func(a, b *job) int {
			return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(a.submittedAt, b.submittedAt))
		})
		return
	}
	slices.SortStableFunc(c.queue, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.submittedAt, b.submittedAt))
	})
}

func (j *job) hasWaiting() bool {
	if j.ending {
		return false
	}
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.state == waiting {
				return true
			}
		}
	}
	return false
}

// place places the waiting tasks of a job that fit on a target.
func (c *Core) place(j *job, requests map[string][]Placement) {
	if j.ending || j.Stored && !c.homeLeaseValid() {
		return
	}
	var placed []string
	j.tried = true
	for step := range j.tasks {
		if !j.stepReady(step) || !c.mayStart(j, step) {
			continue
		}
		for _, t := range j.tasks[step] {
			if t.state != waiting || c.now < t.notBefore {
				continue
			}
			if t.mayBeDone {
				c.giveUpLastRun(t)
				continue
			}
			if !c.mayShareTarget(t) {
				continue // placeTrials
			}
			if !c.hasRunNumber(t) {
				continue
			}
			if !c.placeTask(j, t, requests) {
				if t.suspected() {
					continue // others may run beside a suspect
				}
				break
			}
			placed = append(placed, t.location())
		}
	}
	c.recordOwed(j)
	if len(placed) > 0 {
		c.logDecision(Decision{
			Event: "job_placed", Job: j.ID, Reason: strings.Join(placed, " "),
			Age: c.now - j.submittedAt, Value: int64(j.remaining - j.inFlight),
		})
	}
}

// location returns where a task is placed, as step.index:target or step.index:target@peer.
func (t *task) location() string {
	name := strconv.Itoa(t.step) + "." + strconv.Itoa(t.index) + ":" + t.target
	if t.peer != "" {
		name += "@" + t.peer
	}
	return name
}

// stepReady reports whether all steps that a step depends on are done.
func (j *job) stepReady(step int) bool {
	for _, earlier := range j.Steps[step].After {
		for _, t := range j.tasks[earlier] {
			if t.state != done {
				return false
			}
		}
	}
	return true
}

func (c *Core) placeTask(j *job, t *task, requests map[string][]Placement) bool {
	step := &j.Steps[t.step]
	if c.costOrder.isFull(j, step) {
		return false
	}
	best, ok := c.bestCandidate(j, t, step)
	if ok && c.waitsForFaster(t, step, &best) {
		return false
	}
	if !ok {
		c.costOrder.recordFull(j, t, step)
		return false
	}
	c.placeOn(&best, t, false, requests)
	return true
}

// placeOn starts a task on a target, or requests this of its owner.
func (c *Core) placeOn(best *candidate, t *task, alone bool, requests map[string][]Placement) {
	j, step := t.job, &t.job.Steps[t.step]
	c.costOrder.capacityTaken()
	c.lastRef++
	t.ref, t.runs, t.state, t.placedAt = c.lastRef, t.runs+1, starting, c.now
	t.trial = alone
	t.startedAt, t.waitLimit = 0, 0
	c.placements[t.ref] = t
	j.inFlight++
	if !j.started {
		j.started = true
		c.jobStarted(j)
	}
	if j.Stored {
		c.storedStarts.add(c.now, step.cpuSeconds())
	}
	if best.target != nil {
		t.target = best.target.ID
		c.startRun(best.target, &run{
			key: runKey{t.name(), t.runs}, ref: t.ref, queue: j.Queue,
			need: step.Need, expected: step.Expected, stored: j.Stored, exclusive: alone, suspect: t.suspected(),
			offRack: !onRack(best.target.Labels, step.Rack),
		}, j.Spec)
		return
	}
	best.remote.Free = best.remote.Free.Sub(step.Need)
	best.remote.Idle = false
	t.peer, t.target = best.peer.name, best.remote.Target
	t.speedClass, t.offRack = sentClass(best.remote), !onRack(best.remote.Labels, step.Rack)
	requests[t.peer] = append(requests[t.peer], Placement{
		Ref: t.ref, Task: t.name(), Run: t.runs, Queue: j.Queue, Service: j.Service, Spec: j.Spec,
		Need: step.Need, Expected: step.Expected, Requirement: step.Requirement, Rack: step.Rack,
		Target: t.target, Avoid: t.avoid, Stored: j.Stored, Alone: alone, Suspect: t.suspected(), PerTarget: step.PerTarget,
	})
}

// bestCandidate returns the best target for a task: near its data, healthy, owned
// here, and with the least capacity left over.
func (c *Core) bestCandidate(j *job, t *task, step *Step) (candidate, bool) {
	var best candidate
	var speeds speedCosts
	found := false
	for _, owned := range c.targets {
		if !step.Need.Fits(owned.free()) || owned.Service != j.Service ||
			!matches(owned.Labels, step.Requirement) || !owned.usable(c.now) || c.atPerTargetLimit(t, step, owned.ID) ||
			owned.atStepLimit(t.name(), step.PerTarget) || t.suspected() && owned.hasSuspect() || t.refusedBy(owned.ID, c.now) {
			continue
		}
		option := candidate{target: owned, score: c.score(t, step, owned.ID, owned.Labels, owned.free())}
		if owned.health.suspect(c.now) {
			option.score += suspectCost
		}
		option.score += owned.coldCost(c.now, step.Expected)
		option.score += speeds.of(c, t, step, owned.speed.class)
		if !found || option.better(&best) {
			best, found = option, true
		}
	}
	for _, p := range c.peers {
		if p.silent || step.PerTarget > 0 && !c.checksStepLimits[p.name] {
			continue
		}
		for i := range p.targets {
			remote := &p.targets[i]
			// The cheapest check that excludes most targets comes first.
			if !step.Need.Fits(remote.Free) || remote.Service != j.Service ||
				!matches(remote.Labels, step.Requirement) || c.atPerTargetLimit(t, step, remote.Target) ||
				t.suspected() && remote.HasSuspect || t.refusedBy(remote.Target, c.now) {
				continue
			}
			option := candidate{peer: p, remote: remote, score: remoteCost + c.score(t, step, remote.Target, remote.Labels, remote.Free)}
			if remote.Suspect {
				option.score += suspectCost
			}
			option.score += remote.coldCost()
			option.score += speeds.of(c, t, step, c.remoteClass(p, remote))
			if !found || option.better(&best) {
				best, found = option, true
			}
		}
	}
	return best, found
}

const (
	avoidCost     = 100.0 // the task has failed there
	suspectCost   = 10.0
	otherRackCost = 2.0 // away from the task's data
	remoteCost    = 1.0 // owned by another coordinator; more than the fit
)

// score is lower for better targets. The last part, below 1, prefers targets
// that are left with little free CPU time.
func (c *Core) score(t *task, step *Step, id string, labels []string, free Resources) float64 {
	score := 0.0
	if id == t.avoid {
		score += avoidCost
	}
	if !onRack(labels, step.Rack) {
		score += otherRackCost
	}
	left := float64(free.CPUMillis - step.Need.CPUMillis)
	return score + left/(left+float64(step.Need.CPUMillis)+1)
}

func (a *candidate) better(b *candidate) bool {
	if a.score != b.score {
		return a.score < b.score
	}
	return a.id() < b.id()
}

func (a *candidate) id() string {
	if a.target != nil {
		return a.target.ID
	}
	return a.remote.Target
}

// atPerTargetLimit reports whether this home has placed as many tasks of the step on a
// target as it may. It does not see the runs of earlier homes there, and learns late where
// a task is that has to be alone, so the owner checks the limit again (atStepLimit).
func (c *Core) atPerTargetLimit(t *task, step *Step, id string) bool {
	if step.PerTarget == 0 {
		return false
	}
	count := 0
	for _, other := range t.job.tasks[t.step] {
		if (other.state == starting || other.state == running) && other.target == id {
			count++
		}
	}
	return count >= step.PerTarget
}

// abortFactor times its objective is a job's maximum age.
const abortFactor = 3

// expireQueue refuses jobs that have waited too long for their first start, and
// aborts jobs whose waiting tasks found no capacity before the maximum age.
func (c *Core) expireQueue() {
	for _, j := range slices.Clone(c.queue) {
		objective, age := j.objective(), c.now-j.submittedAt
		switch {
		case j.ending, j.Stored:
		case !j.started && c.costOrder != nil: // applyCostOrder
		case j.refusable() && age >= c.refusalAge(j):
			c.answerJob(j, NotRun, "no room", retryAfter)
			c.endJob(j)
		case j.started && age >= abortFactor*objective:
			c.answerJob(j, Aborted, "too late", 0)
			c.endJob(j)
		}
	}
	if c.costOrder != nil {
		c.applyCostOrder()
	}
}

// refusalAge returns the age from which a job that no target has started is refused. The
// cost order decides on jobs without any order itself; one whose starts were all
// rejected is kept until it can no longer end in time.
func (c *Core) refusalAge(j *job) time.Duration {
	if c.costOrder != nil {
		return j.objective()
	}
	return j.StartTimeout()
}

func (c *Core) dequeue(j *job) {
	if j.queued {
		j.queued = false
		c.queue = slices.DeleteFunc(c.queue, func(other *job) bool { return other == j })
	}
}
