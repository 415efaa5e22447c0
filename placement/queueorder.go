package placement

import (
	"slices"
	"time"

	"hawthornshore.example/placement/queuepolicy"
)

// QueueOrder is the order in which waiting jobs get capacity.
type QueueOrder string

// Orders of waiting jobs.
const (
	// PriorityOrder serves jobs by priority and arrival, and refuses those that have
	// waited for a share of their objective. It is the default.
	PriorityOrder QueueOrder = "priority"
	// CostOrder delays and refuses the jobs whose loss costs callers least.
	CostOrder QueueOrder = "cost"
)

// costOrder applies the queue policy to a core.
type costOrder struct {
	policy *queuepolicy.Policy
	// capacity of each service, as of the last tick.
	capacity map[string]*queuepolicy.Capacity
	pass     schedulingPass
	// fitsSome tells which needs fit a target, as of the last tick.
	fitsSome map[placementNeed]bool
}

// schedulingPass is the state of one scheduling pass.
type schedulingPass struct {
	// full has the least need of each kind that found no target. During a pass
	// capacity only decreases.
	full map[placementKind]Resources
	// fits has how many tasks of a kind have capacity, at most fitsLimit.
	fits map[fitsKey]fitsCount
	// owed is the CPU that tasks of started jobs still wait for, by service.
	owed map[string]int64
}

type placementKind struct{ service, requirement string }

type placementNeed struct {
	placementKind
	need Resources
}

type fitsKey struct {
	placementNeed
	perTarget int
}

// fitsCount is a count of the tasks that have capacity; it stopped at the limit.
type fitsCount struct{ count, limit int }

func newCostOrder(o QueueOrder) *costOrder {
	if o != CostOrder {
		return nil
	}
	return &costOrder{
		policy: queuepolicy.New(), capacity: map[string]*queuepolicy.Capacity{}, fitsSome: map[placementNeed]bool{},
		pass: schedulingPass{full: map[placementKind]Resources{}, fits: map[fitsKey]fitsCount{}, owed: map[string]int64{}},
	}
}

// expectedTime returns the expected run time of a task of a step: the caller's estimate.
// With the learned run times of queues, which are drawn to their means, jobs were
// refused that could have ended in time.
func (c *Core) expectedTime(_ *job, step *Step) time.Duration { return step.Expected }

// policyJob describes a job to the queue policy.
func (c *Core) policyJob(j *job) queuepolicy.Job {
	objective := j.objective()
	p := queuepolicy.Job{
		ID: j.ID, Pool: j.Service, Class: j.Queue, Priority: j.Priority,
		Age: c.now - j.submittedAt, Objective: objective, Useful: abortFactor * objective,
		Started: j.started, Stored: j.Stored, Tried: j.tried && !j.ending,
	}
	if j.Budget > 0 {
		p.Useful = min(p.Useful, j.Budget)
	}
	var buffer [8]time.Duration
	ends := append(buffer[:0], make([]time.Duration, len(j.Steps))...)
	for i := range j.Steps {
		step := &j.Steps[i]
		expected := c.expectedTime(j, step)
		p.Width = max(p.Width, step.Count)
		p.Restricted = p.Restricted || step.Requirement != ""
		waits, ready := 0, 0
		for _, t := range j.tasks[i] {
			if t.state == waiting {
				waits++
			}
			if c.mayStartNow(t) {
				ready++
			}
		}
		work := taskWork(step.Need.CPUMillis, expected)
		p.Work += int64(waits) * work
		p.Ready += int64(ready) * work
		p.Spent += int64(step.Count-waits) * work
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if waits > 0 {
			ends[i] += expected
		}
		p.Path = max(p.Path, ends[i])
	}
	return p
}

// maxTaskWork bounds the work of a task, so that the sum over the tasks of a job does not
// overflow. It is more than 3,000 cores for a day.
const maxTaskWork = 1 << 48

// taskWork returns the work of a task: thousandths of a core times ms.
func taskWork(cpuMillis int64, expected time.Duration) int64 {
	ms := expected.Milliseconds()
	if ms > 0 && cpuMillis > maxTaskWork/ms {
		return maxTaskWork
	}
	return cpuMillis * ms
}

// mayStartNow reports whether a waiting task would be started if it had capacity. Tasks
// of later steps count: they follow within the job's time.
func (c *Core) mayStartNow(t *task) bool {
	return t.state == waiting && c.now >= t.notBefore && !t.mayBeDone && !t.convicted &&
		!t.job.ending && (!t.job.Stored || c.homeLeaseValid())
}

// fitsSomeTarget reports whether a task of a step fits a target of its service. Of other
// homes' targets only the free capacity is known.
func (c *Core) fitsSomeTarget(j *job, step *Step) bool {
	key := placementNeed{placementKind{j.Service, step.Requirement}, step.Need}
	fits, known := c.costOrder.fitsSome[key]
	if !known {
		fits = c.findFitting(j, step)
		c.costOrder.fitsSome[key] = fits
	}
	return fits
}

func (c *Core) findFitting(j *job, step *Step) bool {
	for _, t := range c.targets {
		if t.Service == j.Service && step.Need.Fits(t.Capacity) && matches(t.Labels, step.Requirement) {
			return true
		}
	}
	for _, p := range c.peers {
		for i := range p.targets {
			if remote := &p.targets[i]; remote.Service == j.Service && step.Need.Fits(remote.Free) && matches(remote.Labels, step.Requirement) {
				return true
			}
		}
	}
	return false
}

// offerJob counts a new job and gives it a place in the order.
func (c *Core) offerJob(j *job) {
	if c.costOrder == nil {
		return
	}
	p := c.policyJob(j)
	if !j.offered {
		j.offered = true
		c.costOrder.policy.Offered(c.now, &p)
	}
	j.rank = c.costOrder.policy.Rank(c.now, &p)
}

// jobStarted counts the first start of a job.
func (c *Core) jobStarted(j *job) {
	if c.costOrder != nil {
		p := c.policyJob(j)
		c.costOrder.policy.Started(c.now, &p)
		j.rank = c.costOrder.policy.Rank(c.now, &p)
	}
}

// applyCostOrder ranks the waiting jobs anew and refuses those that the policy gives up.
func (c *Core) applyCostOrder() {
	c.readCapacity()
	order := c.costOrder
	clear(order.fitsSome)
	for _, j := range c.queue {
		j.view = c.policyJob(j)
		for i := range j.Steps {
			if !c.fitsSomeTarget(j, &j.Steps[i]) {
				j.view.Ready = 0 // no target can run the job
			}
		}
		j.rank = order.policy.Rank(c.now, &j.view)
	}
	c.sortQueue()
	queue := slices.Clone(c.queue)
	waiting := make([]*queuepolicy.Job, len(queue))
	for i, j := range queue {
		waiting[i] = &j.view
	}
	for _, refusal := range order.policy.Refuse(c.now, waiting, order.capacity) {
		j := queue[refusal.Index]
		c.answerJob(j, NotRun, refusal.Reason, refusal.RetryAfter)
		c.endJob(j)
	}
	c.refuseWithoutTargets(queue)
}

// refuseWithoutTargets refuses jobs that have waited for their start timeout while no
// target of their service may get starts. Other coordinators may have some.
func (c *Core) refuseWithoutTargets(queue []*job) {
	usable := map[string]bool{}
	for _, j := range queue {
		if j.ending || j.started || j.Stored || c.now-j.submittedAt < j.StartTimeout() {
			continue
		}
		found, known := usable[j.Service]
		if !known {
			found = c.hasUsableTarget(j.Service)
			usable[j.Service] = found
		}
		if !found {
			c.answerJob(j, NotRun, queuepolicy.ReasonNoCapacity, queuepolicy.RetryAfter(j.ID, 0))
			c.endJob(j)
		}
	}
}

func (c *Core) hasUsableTarget(service string) bool {
	for _, t := range c.targets {
		if t.Service == service && t.usable(c.now) {
			return true
		}
	}
	for _, p := range c.peers {
		if !p.silent && slices.ContainsFunc(p.targets, func(t AvailableTarget) bool { return t.Service == service }) {
			return true
		}
	}
	return false
}

// readCapacity sets the capacity of each service: the expected ends of the tasks whose
// home is here.
func (c *Core) readCapacity() {
	clear(c.costOrder.capacity)
	of := func(service string) *queuepolicy.Capacity {
		found := c.costOrder.capacity[service]
		if found == nil {
			found = &queuepolicy.Capacity{}
			c.costOrder.capacity[service] = found
		}
		return found
	}
	for _, t := range c.placements {
		step := &t.job.Steps[t.step]
		capacity := of(t.job.Service)
		capacity.Ends = append(capacity.Ends, queuepolicy.End{After: max(t.placedAt+c.expectedTime(t.job, step)-c.now, 0), CPU: step.Need.CPUMillis})
	}
	for _, capacity := range c.costOrder.capacity {
		queuepolicy.SortEnds(capacity.Ends)
	}
}

// beginPass starts a scheduling pass.
func (o *costOrder) beginPass() {
	if o != nil {
		clear(o.pass.full)
		clear(o.pass.fits)
		clear(o.pass.owed)
	}
}

// isFull reports whether a smaller task of the same kind has found no target in this pass.
func (o *costOrder) isFull(j *job, step *Step) bool {
	if o == nil {
		return false
	}
	least, known := o.pass.full[placementKind{j.Service, step.Requirement}]
	return known && least.Fits(step.Need)
}

// recordFull records that no target has capacity for a task.
func (o *costOrder) recordFull(j *job, t *task, step *Step) {
	if o == nil || t.suspected() || step.PerTarget > 0 || len(j.refusals) > 0 {
		return // the task may be kept from a target that has capacity
	}
	kind := placementKind{j.Service, step.Requirement}
	if least, known := o.pass.full[kind]; !known || step.Need.Fits(least) {
		o.pass.full[kind] = step.Need
	}
}

// mayStart reports whether a job whose first task would start now gets enough of its step
// in time: half of the step has capacity now, or the rest has capacity that comes free by
// the expected ends and is not owed to jobs that have started. A requirement and a limit
// for each target make this unpredictable from the CPU alone. So do other homes' tasks,
// whose ends are unknown: if this home's tasks hold less than the missing part, the job
// starts as in the priority order. Stored jobs have no time limit.
func (c *Core) mayStart(j *job, index int) bool {
	step := &j.Steps[index]
	count, need := len(j.tasks[index]), step.Need.CPUMillis
	if c.costOrder == nil || j.started || j.Stored || count <= 1 || need <= 0 || step.Requirement != "" || step.PerTarget > 0 {
		return true
	}
	if c.costOrder.isFull(j, step) {
		return false
	}
	capacity := c.costOrder.capacity[j.Service]
	if capacity == nil {
		return true
	}
	fits := c.countFits(j, step, count)
	missing := int64(count - fits)
	if 2*fits >= count || capacity.Held()/need < missing {
		return true
	}
	p := c.policyJob(j)
	freed := capacity.FreedWithin(p.Slack()) - c.costOrder.pass.owed[j.Service]
	return freed/need >= missing
}

// countFits returns how many tasks of a step have capacity now, at most limit. Counts are
// kept until a task is placed.
func (c *Core) countFits(j *job, step *Step, limit int) int {
	key := fitsKey{placementNeed{placementKind{j.Service, step.Requirement}, step.Need}, step.PerTarget}
	known, found := c.costOrder.pass.fits[key]
	if !found || known.count >= known.limit && known.limit < limit {
		known = fitsCount{c.countFitsOf(key, limit), limit}
		c.costOrder.pass.fits[key] = known
	}
	return min(known.count, limit)
}

func (c *Core) countFitsOf(key fitsKey, limit int) int {
	count := 0
	add := func(free Resources) {
		for on := 0; count < limit && key.need.Fits(free) && (key.perTarget == 0 || on < key.perTarget); on++ {
			free = free.Sub(key.need)
			count++
		}
	}
	for _, t := range c.targets {
		// Most targets are full, and Fits costs least.
		if free := t.free(); count < limit && key.need.Fits(free) && t.Service == key.service && matches(t.Labels, key.requirement) && t.usable(c.now) {
			add(free)
		}
	}
	for _, p := range c.peers {
		if p.silent {
			continue
		}
		for i := range p.targets {
			if remote := &p.targets[i]; count < limit && key.need.Fits(remote.Free) && remote.Service == key.service && matches(remote.Labels, key.requirement) {
				add(remote.Free)
			}
		}
	}
	return count
}

// capacityTaken discards the counts of tasks that have capacity.
func (o *costOrder) capacityTaken() {
	if o != nil {
		clear(o.pass.fits)
	}
}

// recordOwed records what the ready tasks of a started job still wait for.
func (c *Core) recordOwed(j *job) {
	if c.costOrder == nil || !j.started {
		return
	}
	for step := range j.tasks {
		if !j.stepReady(step) {
			continue
		}
		for _, t := range j.tasks[step] {
			if c.mayStartNow(t) {
				c.costOrder.pass.owed[j.Service] += j.Steps[step].Need.CPUMillis
			}
		}
	}
}
