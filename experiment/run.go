package experiment

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_800_000_000, 0)

// run is the state of one run of a scenario.
type run struct {
	eventLoop
	scenario      *Scenario
	rng           *rand.Rand
	instances     map[string]*instance
	instanceList  []*instance
	targets       map[string]*modelTarget
	targetList    []*modelTarget
	jobs          map[structs.JobID]*trackedJob
	inFlight      []*trackedJob
	result        *Result
	lastJobNumber uint64
}

// trackedJob is a submitted job with its state.
type trackedJob struct {
	*arrival
	owner         *instance
	callerLatency time.Duration // one way, between the caller and the owner
	taskStarts    []uint8       // attempts that targets started, per task
	answered      bool
	measured      bool
}

// Run executes a scenario in virtual time. It is deterministic: the same scenario
// gives the same result.
func Run(s *Scenario) *Result {
	r := &run{
		scenario:  s,
		rng:       rand.New(rand.NewPCG(s.Seed, 100)),
		instances: make(map[string]*instance),
		targets:   make(map[string]*modelTarget),
		jobs:      make(map[structs.JobID]*trackedJob),
		result:    newResult(s),
	}
	r.now = epoch
	r.addInstances()
	r.addTargets()
	r.exchangeCapacity()
	for class := range s.Workload.Classes {
		r.scheduleArrivals(class, s.Load*s.Workload.Classes[class].LoadShare, 0, nil)
	}
	for i := range s.Faults {
		r.scheduleFault(&s.Faults[i])
	}
	r.runUntil(epoch.Add(s.Warmup + s.Measure + drainTime))
	r.result.recordUnanswered(r)
	return r.result
}

func (r *run) linkLatency() time.Duration { return r.scenario.Workload.LinkLatency }

func (r *run) addInstances() {
	for number := range r.scenario.Workload.Instances {
		i := &instance{name: fmt.Sprintf("i%d", number), run: r}
		i.core = dispatch.New(dispatch.Options{
			Instance: i.name, DataCentre: "dc1", Seed: r.scenario.Seed + uint64(number), Policy: r.scenario.Policy,
		})
		r.instances[i.name] = i
		r.instanceList = append(r.instanceList, i)
		i.step(dispatch.ConfigChanged{Config: r.scenario.Workload.Config()})
		i.step(dispatch.LeaseChanged{Held: true})
	}
}

func (r *run) addTargets() {
	for i := range r.scenario.Workload.Targets {
		t := &modelTarget{id: fmt.Sprintf("w%02d", i), slots: r.scenario.Workload.Slots, slowdown: 1}
		t.restart()
		t.manager = r.managerOf(t.id)
		r.targets[t.id] = t
		r.targetList = append(r.targetList, t)
		r.announce(t)
	}
}

// managerOf selects the target's slot manager by rendezvous hashing.
func (r *run) managerOf(id string) *instance {
	var best *instance
	var highest uint64
	for _, i := range r.instanceList {
		h := fnv.New64a()
		_, _ = h.Write([]byte(i.name + "/" + id)) // never fails
		// FNV mixes its last bytes weakly into the high bits, so mix the sum again.
		sum := h.Sum64() * 0x9e3779b97f4a7c15
		sum ^= sum >> 32
		sum *= 0x9e3779b97f4a7c15
		if best == nil || sum > highest {
			best, highest = i, sum
		}
	}
	return best
}

// announce sends a target's announcement periodically while the target is up.
func (r *run) announce(t *modelTarget) {
	if t.up() {
		t.manager.step(dispatch.TargetAnnounced{Announcement: t.announcement()})
	}
	r.scheduleAfter(structs.TargetHeartbeatInterval, func() { r.announce(t) })
}

// exchangeCapacity exchanges the free capacity at every link heartbeat.
func (r *run) exchangeCapacity() {
	for _, from := range r.instanceList {
		o := from.core.Capacity()
		for _, to := range r.instanceList {
			if to != from {
				from.send(to.name, dispatch.PeerCapacityUpdated{
					Peer: from.name, Free: o.Free, Total: o.Total, MaxCores: o.MaxCores, MaxMB: o.MaxMB,
					Targets: o.Targets, Ejected: o.Ejected,
				})
			}
		}
	}
	r.scheduleAfter(structs.LinkHeartbeatInterval, r.exchangeCapacity)
}

// scheduleArrivals sends jobs of a class at a mean rate that uses the given share
// of the fleet's slots, independent of the answers. A fault limits the time.
func (r *run) scheduleArrivals(class int, share float64, from time.Duration, f *Fault) {
	w := &r.scenario.Workload
	stream := uint64(class)
	end := r.scenario.Warmup + r.scenario.Measure
	if f != nil {
		stream += 50
		if f.Length > 0 {
			end = f.At + f.Length
		}
	}
	rng := rand.New(rand.NewPCG(r.scenario.Seed, stream))
	meanGap := float64(w.meanJobSlotTime(class)) / (share * float64(w.slots()))
	var next func()
	next = func() {
		if r.now.Sub(epoch) >= end {
			return
		}
		r.lastJobNumber++
		a := w.newArrival(rng, class, r.now, r.lastJobNumber)
		a.overload = f != nil
		r.submit(a)
		r.scheduleAfter(time.Duration(rng.ExpFloat64()*meanGap), next)
	}
	r.scheduleAt(epoch.Add(from).Add(time.Duration(rng.ExpFloat64()*meanGap)), next)
}

// submit sends a job to a random instance, which forwards it to a random owner.
func (r *run) submit(a *arrival) {
	w := &r.scenario.Workload
	j := &trackedJob{arrival: a, taskStarts: make([]uint8, len(a.runTimes)), callerLatency: w.CallerLatency}
	// Receiver and owner are derived from the send time, so that runs with and
	// without a fault give the jobs the same owners.
	rng := rand.New(rand.NewPCG(r.scenario.Seed, uint64(a.sent.UnixNano())))
	j.owner = r.instanceList[rng.IntN(len(r.instanceList))]
	if r.instanceList[rng.IntN(len(r.instanceList))] != j.owner {
		j.callerLatency += w.LinkLatency
	}
	since := a.sent.Sub(epoch)
	j.measured = since >= r.scenario.Warmup && since < r.scenario.Warmup+r.scenario.Measure
	r.jobs[a.job.ID] = j
	r.inFlight = append(r.inFlight, j)
	r.scheduleAfter(j.callerLatency, func() { j.owner.step(dispatch.AdmitJob{Job: a.job}) })
	if a.resubmitDelay = r.resubmitDelay(since); a.resubmitDelay > 0 {
		r.scheduleAfter(j.callerLatency+a.resubmitDelay, func() {
			// Resubmissions of finished jobs are answered by the claim table.
			if !j.answered {
				j.owner.step(dispatch.AdmitJob{Job: a.job})
			}
		})
	}
}

// resubmitDelay returns the delay until the caller resubmits a job; 0: never.
func (r *run) resubmitDelay(since time.Duration) time.Duration {
	const callerTimeout = 100 * time.Millisecond
	for i := range r.scenario.Faults {
		f := &r.scenario.Faults[i]
		if f.Kind == FaultResubmit && f.covers(since) && r.rng.Float64() < f.Factor {
			return callerTimeout
		}
	}
	return 0
}

// deliverAnswer delivers the answer of a job to its caller.
func (r *run) deliverAnswer(a *structs.Answer) {
	j := r.jobs[a.JobID]
	if j.answered {
		r.result.Violations = append(r.result.Violations, "duplicate answer for "+a.JobID.String())
		return
	}
	j.answered = true
	if a.Outcome == structs.OutcomeNotRun && j.hasStarts() {
		r.result.Violations = append(r.result.Violations, "not-run answer for started job "+a.JobID.String())
	}
	r.result.record(j, a, r.now.Add(j.callerLatency).Sub(j.sent))
}

func (j *trackedJob) hasStarts() bool {
	for _, n := range j.taskStarts {
		if n > 0 {
			return true
		}
	}
	return false
}

// countStart counts a start that a target executed.
func (r *run) countStart(j *trackedJob, id structs.AttemptID) {
	r.result.Messages.Begun++
	j.taskStarts[id.Task]++
	if j.taskStarts[id.Task] > 1 {
		r.result.Violations = append(r.result.Violations, "duplicate start of "+id.String())
	}
}

// cancelAttempt stops a running attempt; the target reports it as failed.
func (r *run) cancelAttempt(id structs.AttemptID, ref structs.TargetRef) {
	t := r.targets[ref.TargetID]
	state := t.attempts[id]
	if !t.up() || state == nil || state.ended || t.incarnation() != ref.Incarnation {
		return
	}
	state.ended, state.failed = true, true
	t.running--
	owner := r.jobs[id.Job].owner
	r.scheduleAfter(r.linkLatency(), func() { owner.reportEnd(id, state) })
}
