package placement_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"hawthornshore.example/emulator"
	"hawthornshore.example/placement"
)

// fleet is a virtual-time model of coordinators and targets of different speed without
// faults, whose run times and estimates spread. The run time of a task depends only on
// its name, so that two fleets with the same seed get the same work.
type fleet struct {
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	seq     int
	cores   []*placement.Core
	targets map[string]*fleetTarget
	ids     []string
	jobs    map[string]*fleetJob
	order   []string // of the jobs
	starts  []string // TASK@TARGET, if recordStarts
	record  bool
	spread  float64 // of run times and of estimates
	log     []placement.Decision
}

type fleetTarget struct {
	runner   *emulator.Runner
	core     int
	slowness float64
	pending  *pendingPoll
}

type fleetJob struct {
	class     string
	submitted time.Duration
	limit     time.Duration // objective by the work of its longest task
	took      time.Duration // 0: not completed
	placedAt  map[string]int
}

// workClass is a class of jobs with the nominal time of its tasks.
type workClass struct {
	name    string
	nominal time.Duration
}

var fleetClasses = []workClass{
	{"short", 50 * time.Millisecond}, {"middle", 250 * time.Millisecond}, {"long", 760 * time.Millisecond},
}

const (
	fleetSlots = 8
	fleetDelay = time.Millisecond
	fleetStart = time.Hour
)

func newFleet(seed uint64, cores int, speeds bool, slowness ...float64) *fleet {
	f := &fleet{
		seed: seed, random: rand.New(rand.NewPCG(seed, 2)), now: fleetStart, spread: 0.4,
		targets: map[string]*fleetTarget{}, jobs: map[string]*fleetJob{},
	}
	for i := range cores {
		f.cores = append(f.cores, placement.New(placement.Options{
			Name: fmt.Sprintf("c%d", i), Lease: 2 * time.Second, StopTime: 50 * time.Millisecond, UnixMS: 1_700_000_000_000 + int64(i), TargetSpeeds: speeds,
		}))
		f.tick(i)
	}
	for i := range f.cores {
		for j := range f.cores {
			if i != j {
				f.cores[i].Step(f.now, placement.PeerConnected{Peer: fmt.Sprintf("c%d", j), ChecksStepLimits: true})
			}
		}
		f.cores[i].Ready() // it has no targets to announce yet
	}
	for i, factor := range slowness {
		f.addTarget(i, factor)
	}
	return f
}

func (f *fleet) addTarget(i int, slowness float64) {
	t := &fleetTarget{core: i % len(f.cores), slowness: slowness}
	id := fmt.Sprintf("t%05d", i)
	t.runner = emulator.NewRunner(placement.Description{
		ID: id, Service: "desk", Address: id, Capacity: placement.Resources{CPUMillis: fleetSlots * 1000, MemoryMB: 1000}, BootUnixMS: 1,
	}, emulator.RunnerOptions{
		Lease: 2 * time.Second, StopTime: 50 * time.Millisecond,
		Work: func(task string, _ int) (time.Duration, bool) {
			return time.Duration(t.slowness * float64(f.work(task))), false
		},
		Need:    func(string) placement.Resources { return placement.Resources{CPUMillis: 1000} },
		Percent: func(share float64) int { return min(int(100*share), 99) },
		OnStart: func(_ time.Duration, task string) {
			if f.record {
				f.starts = append(f.starts, task+"@"+id)
			}
		},
	})
	f.targets[id] = t
	f.ids = append(f.ids, id)
	f.after(time.Duration(i%300)*time.Millisecond, func() { f.heartbeat(t) })
}

// taskRandom returns the random source of a job or task.
func (f *fleet) taskRandom(name string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return rand.New(rand.NewPCG(f.seed, hash.Sum64()))
}

// work returns the time that a task takes on a target of slowness 1: 3% of the tasks
// take 7 times as long.
func (f *fleet) work(task string) time.Duration {
	random := f.taskRandom(task)
	var nominal time.Duration
	for _, class := range fleetClasses {
		if class.name == f.jobs[placement.JobID(task)].class {
			nominal = class.nominal
		}
	}
	work := spread(random, nominal, f.spread)
	if f.spread > 0 && random.Float64() < 0.03 {
		work *= 7
	}
	return work
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, &timedEvent{at: f.now + d, seq: f.seq, do: do})
}

func (f *fleet) run(length time.Duration) {
	until := f.now + length
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(*timedEvent)
		f.now = next.at
		next.do()
	}
	f.now = until
}

func (f *fleet) tick(core int) {
	f.after(placement.TickInterval, func() {
		f.step(core, placement.Tick{})
		f.tick(core)
	})
}

func (f *fleet) heartbeat(t *fleetTarget) {
	d := &t.runner.Description
	d.Sequence++
	d.ClockMS = t.runner.ClockMS(f.now)
	f.step(t.core, placement.Heartbeat{Description: *d})
	f.after(heartbeatInterval, func() { f.heartbeat(t) })
}

func (f *fleet) step(core int, event placement.Event) {
	f.cores[core].Step(f.now, event)
	for _, effect := range f.cores[core].Ready() {
		f.effect(core, effect)
	}
}

func (f *fleet) effect(core int, effect placement.Effect) {
	name := fmt.Sprintf("c%d", core)
	switch e := effect.(type) {
	case placement.StartOrder:
		f.jobs[placement.JobID(e.Task)].placedAt[e.Target.ID]++
		f.request(core, e.Target.ID, func(t *fleetTarget) {
			response := t.runner.Start(f.now, &e)
			f.completeAtEnd(t)
			f.respond(core, response)
		})
	case placement.StopOrder:
		f.request(core, e.Target.ID, func(t *fleetTarget) { f.respond(core, t.runner.Stop(f.now, &e)) })
	case placement.PollOrder:
		f.request(core, e.Target.ID, func(t *fleetTarget) { f.poll(core, t, e) })
	case placement.AnswerJob:
		if e.Outcome == placement.Completed {
			f.jobs[e.JobID].took = f.now - f.jobs[e.JobID].submitted
		}
	case placement.RequestPlacements:
		f.send(e.Peer, placement.PlacementsRequested{Peer: name, Placements: e.Placements})
	case placement.SendReports:
		f.send(e.Peer, placement.PlacementsReported{Peer: name, Reports: e.Reports})
	case placement.SendStops:
		f.send(e.Peer, placement.StopRequested{Peer: name, Refs: e.Refs})
	case placement.AvailabilityChanged:
		for i := range f.cores {
			if i != core {
				f.send(fmt.Sprintf("c%d", i), placement.PeerAvailability{Peer: name, Targets: f.cores[core].AvailableTargets()})
			}
		}
	case placement.Decision:
		if e.Event == "target_speed" {
			f.log = append(f.log, e)
		}
	}
}

func (f *fleet) send(to string, event placement.Event) {
	f.after(fleetDelay, func() { f.step(int(to[1]-'0'), event) })
}

func (f *fleet) request(_ int, target string, deliver func(*fleetTarget)) {
	f.after(fleetDelay, func() { deliver(f.targets[target]) })
}

func (f *fleet) respond(core int, response placement.OrderResponse) {
	f.after(fleetDelay, func() { f.step(core, response) })
}

func (f *fleet) poll(core int, t *fleetTarget, o placement.PollOrder) {
	response := t.runner.Poll(f.now, &o)
	if o.Wait == 0 || len(response.Ended) > 0 || response.Result != placement.OK {
		f.respond(core, response)
		return
	}
	pending := &pendingPoll{order: o}
	t.pending = pending
	f.after(o.Wait, func() { f.complete(t, pending) })
	f.completeAtEnd(t)
}

func (f *fleet) complete(t *fleetTarget, pending *pendingPoll) {
	if pending != nil && !pending.done {
		pending.done = true
		f.respond(t.core, t.runner.Poll(f.now, &pending.order))
	}
}

// completeAtEnd completes the pending poll of a target when the next run ends.
func (f *fleet) completeAtEnd(t *fleetTarget) {
	pending := t.pending
	next, running := t.runner.NextEnd()
	if pending == nil || pending.done || !running {
		return
	}
	f.after(max(next-f.now, 0), func() {
		t.runner.Advance(f.now)
		if t.runner.HasEndsAfter(pending.order.AckedEnd) {
			f.complete(t, pending)
		}
	})
}

// reboot lets a target restart without a stop of its runs: it is idle.
func (f *fleet) reboot(id string, slowness float64) {
	t := f.targets[id]
	t.slowness = slowness
	t.runner.Reboot(f.now, t.runner.Description.BootUnixMS+1000, 1)
}

// submit submits a job of a class and returns its ID.
func (f *fleet) submit(class workClass, tasks int) string {
	id := fmt.Sprintf("%016x", len(f.order)+1)
	f.jobs[id] = &fleetJob{
		class: class.name, submitted: f.now, placedAt: map[string]int{},
	}
	var longest time.Duration
	for i := range tasks {
		longest = max(longest, f.work(fmt.Sprintf("%s.0.0.%d", id, i)))
	}
	f.jobs[id].limit = time.Duration(1.6*float64(longest)) + 60*time.Millisecond
	f.order = append(f.order, id)
	estimate := spread(f.taskRandom(id), class.nominal, f.spread)
	f.step(len(f.order)%len(f.cores), placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: uint64(len(f.order))}, Job: placement.Job{
		ID: id, Queue: class.name, Service: "desk", MaxAttempts: 2, Stretch: 1.6, Allowance: 60 * time.Millisecond,
		Steps: []placement.Step{{Count: tasks, Need: placement.Resources{CPUMillis: 1000}, Expected: estimate}},
	}})
	return id
}

// load submits jobs of 2 to 8 tasks for a time, each class a third of the work, that
// use a share of the slots of a fleet whose targets all have slowness 1.
func (f *fleet) load(share float64, length time.Duration) {
	inverse := 0.0
	for _, class := range fleetClasses {
		inverse += 1 / class.nominal.Seconds()
	}
	slots := float64(len(f.ids) * fleetSlots)
	overhead := math.Exp(f.spread*f.spread/2) * 1.18 // mean to nominal time
	perSecond := share * slots / 3 * inverse / (5 * overhead)
	until := f.now + length
	var next func()
	next = func() {
		pick := f.random.Float64() * inverse
		for _, class := range fleetClasses {
			if pick -= 1 / class.nominal.Seconds(); pick <= 0 {
				f.submit(class, 2+f.random.IntN(7))
				break
			}
		}
		if wait := time.Duration(f.random.ExpFloat64() * float64(time.Second) / perSecond); f.now+wait < until {
			f.after(wait, next)
		}
	}
	f.after(0, next)
}

// inTime returns the share of a class's jobs within their objective, of those that were
// submitted after a time.
func (f *fleet) inTime(class string, since time.Duration) float64 {
	inTime, all := 0, 0
	for _, id := range f.order {
		if j := f.jobs[id]; j.class == class && j.submitted >= since {
			all++
			if j.took > 0 && j.took <= j.limit {
				inTime++
			}
		}
	}
	return float64(inTime) / float64(all)
}
