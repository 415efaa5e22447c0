package experiment

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// epoch is the virtual time at which every run begins.
var epoch = time.Unix(1_800_000_000, 0)

// run is one run of a scenario.
type run struct {
	timeline
	scenario *Scenario
	rng      *rand.Rand
	nodes    map[string]*node
	order    []*node
	targets  map[string]*modelTarget
	fleet    []*modelTarget
	arrivals map[structs.JobID]*tracked
	inFlight []*tracked
	result   *Result
	low      uint64
}

// tracked is a job that was sent, with what became of it.
type tracked struct {
	*arrival
	owner    *node
	travel   time.Duration // one way, between the caller and the owner
	begun    []uint8       // attempts that targets began, per task
	answered bool
	measured bool
}

// Run carries out a scenario in virtual time. The same scenario always gives
// the same result.
func Run(s *Scenario) *Result {
	r := &run{
		scenario: s,
		rng:      rand.New(rand.NewPCG(s.Seed, 100)),
		nodes:    make(map[string]*node),
		targets:  make(map[string]*modelTarget),
		arrivals: make(map[structs.JobID]*tracked),
		result:   newResult(s),
	}
	r.now = epoch
	r.addNodes()
	r.addTargets()
	r.advertise()
	for class := range s.Workload.Classes {
		r.offer(class, s.Load*s.Workload.Classes[class].LoadShare, 0, nil)
	}
	for i := range s.Faults {
		r.plan(&s.Faults[i])
	}
	r.runUntil(epoch.Add(s.Warmup + s.Measure + drainTime))
	r.result.finish(r)
	return r.result
}

func (r *run) link() time.Duration { return r.scenario.Workload.LinkLatency }

func (r *run) addNodes() {
	for i := range r.scenario.Workload.Instances {
		n := &node{name: fmt.Sprintf("i%d", i), run: r}
		n.core = dispatch.New(dispatch.Options{
			Instance: n.name, DataCentre: "dc1", Seed: r.scenario.Seed + uint64(i), Policy: r.scenario.Policy,
		})
		r.nodes[n.name] = n
		r.order = append(r.order, n)
		n.step(dispatch.ConfigChanged{Config: r.scenario.Workload.Config()})
		n.step(dispatch.LeaseChanged{Held: true})
	}
}

func (r *run) addTargets() {
	for i := range r.scenario.Workload.Targets {
		t := &modelTarget{id: fmt.Sprintf("w%02d", i), slots: r.scenario.Workload.Slots, slowness: 1}
		t.restart()
		t.manager = r.managerOf(t.id)
		r.targets[t.id] = t
		r.fleet = append(r.fleet, t)
		r.announce(t)
	}
}

// managerOf selects the target's slot manager by rendezvous hashing.
func (r *run) managerOf(id string) *node {
	var best *node
	var highest uint64
	for _, n := range r.order {
		h := fnv.New64a()
		_, _ = h.Write([]byte(n.name + "/" + id)) // a hash does not fail
		// FNV mixes its last bytes weakly into the high bits.
		sum := h.Sum64() * 0x9e3779b97f4a7c15
		sum ^= sum >> 32
		sum *= 0x9e3779b97f4a7c15
		if best == nil || sum > highest {
			best, highest = n, sum
		}
	}
	return best
}

// announce repeats a target's announcement as long as it is up.
func (r *run) announce(t *modelTarget) {
	if t.up() {
		t.manager.step(dispatch.TargetAnnounced{Announcement: t.announcement()})
	}
	r.after(structs.TargetHeartbeatInterval, func() { r.announce(t) })
}

// advertise exchanges the free slots with every heartbeat of the links.
func (r *run) advertise() {
	for _, from := range r.order {
		o := from.core.Capacity()
		for _, to := range r.order {
			if to != from {
				from.send(to.name, dispatch.PeerCapacityUpdated{
					Peer: from.name, Free: o.Free, Total: o.Total, MaxCores: o.MaxCores, MaxMB: o.MaxMB,
					Targets: o.Targets, Ejected: o.Ejected,
				})
			}
		}
	}
	r.after(structs.LinkHeartbeatInterval, r.advertise)
}

// offer sends jobs of a class at a mean rate that amounts to the given part of
// the fleet's slots, independent of the answers. A fault limits the time.
func (r *run) offer(class int, part float64, from time.Duration, f *Fault) {
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
	gap := float64(w.jobCost(class)) / (part * float64(w.slots()))
	var next func()
	next = func() {
		if r.now.Sub(epoch) >= end {
			return
		}
		r.low++
		a := w.draw(rng, class, r.now, r.low)
		a.flood = f != nil
		r.submit(a)
		r.after(time.Duration(rng.ExpFloat64()*gap), next)
	}
	r.at(epoch.Add(from).Add(time.Duration(rng.ExpFloat64()*gap)), next)
}

// submit sends a job to a random instance, which forwards it to a random owner.
func (r *run) submit(a *arrival) {
	w := &r.scenario.Workload
	t := &tracked{arrival: a, begun: make([]uint8, len(a.runs)), travel: w.ClientLatency}
	// Receiver and owner come from the ID so that runs with and without a
	// fault give the jobs the same owners.
	pick := rand.New(rand.NewPCG(r.scenario.Seed, uint64(a.sent.UnixNano())))
	t.owner = r.order[pick.IntN(len(r.order))]
	if r.order[pick.IntN(len(r.order))] != t.owner {
		t.travel += w.LinkLatency
	}
	since := a.sent.Sub(epoch)
	t.measured = since >= r.scenario.Warmup && since < r.scenario.Warmup+r.scenario.Measure
	r.arrivals[a.job.ID] = t
	r.inFlight = append(r.inFlight, t)
	r.after(t.travel, func() { t.owner.step(dispatch.AdmitJob{Job: a.job}) })
	if a.resend = r.resendAfter(since); a.resend > 0 {
		r.after(t.travel+a.resend, func() {
			// The claim table answers resubmissions of finished jobs.
			if !t.answered {
				t.owner.step(dispatch.AdmitJob{Job: a.job})
			}
		})
	}
}

// resendAfter returns when the caller sends a job again, 0 for never.
func (r *run) resendAfter(since time.Duration) time.Duration {
	const patience = 100 * time.Millisecond
	for i := range r.scenario.Faults {
		f := &r.scenario.Faults[i]
		if f.Kind == FaultResubmit && f.covers(since) && r.rng.Float64() < f.Factor {
			return patience
		}
	}
	return 0
}

// finished delivers the answer of a job to its caller.
func (r *run) finished(a *structs.Answer) {
	t := r.arrivals[a.JobID]
	if t.answered {
		r.result.Violations = append(r.result.Violations, "second answer for "+a.JobID.String())
		return
	}
	t.answered = true
	if a.Outcome == structs.OutcomeNotRun && t.anyBegun() {
		r.result.Violations = append(r.result.Violations, "false not-run for "+a.JobID.String())
	}
	r.result.record(t, a, r.now.Add(t.travel).Sub(t.sent))
}

func (t *tracked) anyBegun() bool {
	for _, n := range t.begun {
		if n > 0 {
			return true
		}
	}
	return false
}

// recordStart counts a start that a target began.
func (r *run) recordStart(t *tracked, id structs.AttemptID) {
	r.result.Messages.Begun++
	t.begun[id.Task]++
	if t.begun[id.Task] > 1 {
		r.result.Violations = append(r.result.Violations, "second start of "+id.String())
	}
}

// cancelAttempt stops a running attempt; the target reports it as failed.
func (r *run) cancelAttempt(id structs.AttemptID, ref structs.TargetRef) {
	t := r.targets[ref.TargetID]
	state := t.known[id]
	if !t.up() || state == nil || state.ended || t.incarnation() != ref.Incarnation {
		return
	}
	state.ended, state.failed = true, true
	t.running--
	owner := r.arrivals[id.Job].owner
	r.after(r.link(), func() { owner.report(id, state) })
}
