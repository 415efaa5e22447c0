package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hawthornshore.example/emulator"
	"hawthornshore.example/jobtable"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	worldLease   = time.Second
	worldStop    = 50 * time.Millisecond
	worldTimeout = 700 * time.Millisecond // of the links
	reportEvery  = 1500 * time.Millisecond
	resendAfter  = 1300 * time.Millisecond
)

// happening is something that happens at a time.
type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type timeline []*happening

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(*happening)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// world is a virtual-time system of coordinators and targets with faults. It
// checks that targets stay within their capacity, that no task runs twice at
// the same time, and that every submission has at most one answer.
type world struct {
	random  *rand.Rand
	now     time.Duration
	events  timeline
	seq     int
	cores   []*worldCore
	targets []*worldTarget
	answers map[placement.Caller]int
	open    map[placement.Caller]string // jobs without an answer
	jobs    map[string]placement.Job
	done    int
	refused int
	delays  map[string]time.Duration
	lastRef uint64
	broken  []string
	lost    float64 // share of orders that get no answer and may be carried out late
	failing float64 // share of runs that fail
	stored  float64 // share of jobs that are stored
	log     *worldLog
}

type worldCore struct {
	name   string
	core   *placement.Core
	down   bool // does nothing; its links fail after the timeout
	paused bool // does nothing now; what arrives waits
	held   []placement.Event
	cut    map[string]bool
	killed int // number of its processes that have ended

	applied  int             // entries of the log that it has taken
	table    *jobtable.Table // what they come to
	isolated bool            // has no way to the log
}

type worldTarget struct {
	runner  *emulator.Runner
	home    int // coordinator that gets the heartbeats
	cut     bool
	gone    bool
	ready   bool
	waiting []*worldLook
}

// worldLook is a look that waits for an end.
type worldLook struct {
	order  placement.PollOrder
	answer func(placement.OrderResponse)
	done   bool
}

func newWorld(seed uint64, cores, targets int) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Hour,
		answers: map[placement.Caller]int{},
		open:    map[placement.Caller]string{},
		delays:  map[string]time.Duration{},
		jobs:    map[string]placement.Job{},
		log:     newWorldLog(),
	}
	for i := range cores {
		c := &worldCore{name: fmt.Sprintf("c%d", i), cut: map[string]bool{}}
		w.cores = append(w.cores, c)
		w.boot(c)
	}
	for i := range targets {
		w.addTarget(i)
	}
	return w
}

func (w *world) boot(c *worldCore) {
	c.core = placement.New(placement.Options{
		Name: c.name, Home: c.home(), Lease: worldLease, StopTime: worldStop, UnixMS: 1_700_000_000_000 + w.now.Milliseconds(),
	})
	w.tick(c, c.killed)
	w.joinLog(c)
}

func (w *world) addTarget(i int) {
	capacity := placement.Resources{CPUMillis: 32000 + 16000*int64(i%3/2), MemoryMB: 1000}
	t := &worldTarget{home: i % len(w.cores), ready: true}
	t.runner = emulator.NewRunner(placement.Description{
		ID: fmt.Sprintf("t%d", i), Service: "desk", Address: "a", Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
		Capacity: capacity, BootUnixMS: 1 + int64(i),
	}, emulator.RunnerOptions{
		Lease: worldLease, StopTime: worldStop,
		Work: func(string, int) (time.Duration, bool) {
			return time.Duration(20+w.random.IntN(400)) * time.Millisecond, w.random.Float64() < w.failing
		},
		Need: w.need, Started: w.log.Started, Noted: w.log.Noted,
	})
	w.targets = append(w.targets, t)
	w.after(time.Duration(w.random.IntN(300))*time.Millisecond, func() { w.report(t) })
}

// need returns what a task was submitted with; its name is ID.0.STEP.INDEX.
func (w *world) need(task string) placement.Resources {
	id, _, _ := strings.Cut(task, ".")
	return w.jobs[id].Steps[0].Need
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, &happening{at: w.now + d, seq: w.seq, do: do})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.broken) == 0 {
		next := heap.Pop(&w.events).(*happening)
		w.now = next.at
		next.do()
		w.check()
	}
	w.now = until
}

// check looks for broken promises.
func (w *world) check() {
	at := map[string]string{}
	for _, t := range w.targets {
		w.broken = append(w.broken, t.runner.Violations()...)
		w.broken = append(w.broken, w.log.Broken()...)
		if t.gone {
			continue
		}
		t.runner.Advance(w.now)
		for _, task := range t.runner.Runs() {
			if other := at[task]; other != "" {
				w.broken = append(w.broken, fmt.Sprintf("task %s runs on %s and %s", task, other, t.runner.Description.ID))
			}
			at[task] = t.runner.Description.ID
		}
	}
}

// delay is the way of a message.
func (w *world) delay() time.Duration {
	return time.Duration(100+w.random.IntN(1500)) * time.Microsecond
}

func (w *world) tick(c *worldCore, life int) {
	w.after(placement.TickInterval, func() {
		if c.killed != life {
			return
		}
		w.step(c, placement.Tick{})
		w.tick(c, life)
	})
}

func (w *world) step(c *worldCore, event placement.Event) {
	if c.down {
		return
	}
	if c.paused {
		c.held = append(c.held, event)
		return
	}
	c.core.Step(w.now, event)
	for _, effect := range c.core.Ready() {
		w.effect(c, effect)
	}
}

func (w *world) coreNamed(name string) *worldCore {
	for _, c := range w.cores {
		if c.name == name {
			return c
		}
	}
	return nil
}

// linkDelay is the way from one coordinator to another one. It is constant, so
// that messages of a link stay in order; those of different links overtake each other.
func (w *world) linkDelay(from, to string) time.Duration {
	key := from + ">" + to
	if w.delays[key] == 0 {
		w.delays[key] = time.Duration(200+w.random.IntN(4000)) * time.Microsecond
	}
	return w.delays[key]
}

// send brings a message to another coordinator, in order.
func (w *world) send(from *worldCore, to string, event placement.Event) {
	life := from.killed
	w.after(w.linkDelay(from.name, to), func() {
		peer := w.coreNamed(to)
		if from.killed == life && !from.cut[to] && !peer.cut[from.name] {
			w.step(peer, event)
		}
	})
}

func (w *world) effect(c *worldCore, effect placement.Effect) {
	switch e := effect.(type) {
	case placement.StartOrder:
		w.order(c, e.Target.ID, e.Order, e.Timeout, func(r *emulator.Runner) placement.OrderResponse { return r.Start(w.now, &e) })
	case placement.StopOrder:
		w.order(c, e.Target.ID, e.Order, e.Timeout, func(r *emulator.Runner) placement.OrderResponse { return r.Stop(w.now, &e) })
	case placement.PollOrder:
		w.look(c, e)
	case placement.AnswerJob:
		w.answered(e)
	case placement.RequestPlacements:
		w.send(c, e.Peer, placement.PlacementsRequested{Peer: c.name, Placements: e.Placements})
	case placement.SendReports:
		w.send(c, e.Peer, placement.PlacementsReported{Peer: c.name, Reports: e.Reports})
	case placement.SendStops:
		w.send(c, e.Peer, placement.StopRequested{Peer: c.name, Refs: e.Refs})
	case placement.SendHandOver:
		w.target(e.HandOver.Description.ID).home = slices.Index(w.cores, w.coreNamed(e.Peer))
		w.send(c, e.Peer, placement.HandOverReceived{Peer: c.name, HandOver: e.HandOver})
	case placement.RecordEnd:
		w.recordEnd(c, e)
	case placement.GiveUpRun:
		w.propose(c, &wire.JobCommand{Body: &wire.JobCommand_GiveUp{GiveUp: &wire.RunGiveUp{Task: e.Task, Run: int32(e.Run)}}}, nil)
	case placement.Decision:
		if e.Event == "job_overdue" {
			w.broken = append(w.broken, "job "+e.Job+" is overdue: a run's end was never told")
		}
	case placement.AvailabilityChanged:
		rooms := c.core.AvailableTargets()
		for _, peer := range w.cores {
			if peer != c {
				w.send(c, peer.name, placement.PeerAvailability{Peer: c.name, Targets: rooms})
			}
		}
	}
}

func (w *world) answered(e placement.AnswerJob) {
	if _, waits := w.open[e.Caller]; !waits && w.answers[e.Caller] < 0 {
		return // the gateway has given the job up
	}
	w.answers[e.Caller]++
	delete(w.open, e.Caller)
	if w.answers[e.Caller] > 1 {
		w.broken = append(w.broken, fmt.Sprintf("job %s has two answers", e.JobID))
	}
	switch e.Outcome {
	case placement.Completed:
		w.done++
	case placement.NotRun:
		w.refused++
	case placement.Aborted:
		w.resend(e.JobID)
	}
}

// resend submits a job again, as a caller does after an answer that leaves the
// job's fate open.
func (w *world) resend(id string) {
	w.after(resendAfter, func() { w.submit(w.jobs[id]) })
}

func (w *world) target(id string) *worldTarget {
	for _, t := range w.targets {
		if t.runner.Description.ID == id {
			return t
		}
	}
	return nil
}

// order brings an order to a target and its answer back. A lost one is
// answered as unknown after its timeout and may be carried out seconds later.
func (w *world) order(c *worldCore, target string, id uint64, timeout time.Duration, carry func(*emulator.Runner) placement.OrderResponse) {
	t := w.target(target)
	life := c.killed
	answered := false
	reply := func(a placement.OrderResponse) {
		if !answered && c.killed == life && a.Order != 0 {
			answered = true
			w.step(c, a)
		}
	}
	w.after(timeout, func() { reply(placement.OrderResponse{Order: id}) })
	if w.random.Float64() < w.lost {
		w.after(time.Duration(2+w.random.IntN(10))*time.Second, func() {
			if !t.gone {
				carry(t.runner)
			}
		})
		return
	}
	w.after(w.delay(), func() {
		if t.cut || t.gone {
			return
		}
		result := carry(t.runner)
		w.wake(t)
		w.after(w.delay(), func() {
			if !t.cut {
				reply(result)
			}
		})
	})
}

func (w *world) look(c *worldCore, e placement.PollOrder) {
	t := w.target(e.Target.ID)
	var parked *worldLook
	w.order(c, e.Target.ID, e.Order, e.Timeout, func(r *emulator.Runner) placement.OrderResponse {
		first := r.Look(w.now, &e)
		if e.Wait == 0 || len(first.Ended) > 0 || first.Result != placement.OK {
			return first
		}
		life := c.killed
		parked = &worldLook{order: e, answer: func(a placement.OrderResponse) {
			w.after(w.delay(), func() {
				if !t.cut && c.killed == life {
					w.step(c, a)
				}
			})
		}}
		t.waiting = append(t.waiting, parked)
		w.after(e.Wait, func() { w.release(t, parked) })
		w.wake(t)
		return placement.OrderResponse{} // not awaited: the parked look answers
	})
}

func (w *world) release(t *worldTarget, l *worldLook) {
	if l.done {
		return
	}
	l.done = true
	t.waiting = slices.DeleteFunc(t.waiting, func(other *worldLook) bool { return other == l })
	l.answer(t.runner.Look(w.now, &l.order))
}

// wake releases waiting looks when a run ends.
func (w *world) wake(t *worldTarget) {
	for _, l := range slices.Clone(t.waiting) {
		if t.runner.HasEnds(l.order.AckedEnd) {
			w.release(t, l)
		}
	}
	next, ok := t.runner.NextEnd()
	if !ok || len(t.waiting) == 0 {
		return
	}
	w.after(max(next-w.now, 0), func() {
		t.runner.Advance(w.now)
		for _, l := range slices.Clone(t.waiting) {
			if t.runner.HasEnds(l.order.AckedEnd) {
				w.release(t, l)
			}
		}
	})
}

// report sends a target's heartbeat to its coordinator, or to the next one if
// that does not answer.
func (w *world) report(t *worldTarget) {
	if t.gone {
		return
	}
	defer w.after(reportEvery, func() { w.report(t) })
	if t.cut {
		return
	}
	d := &t.runner.Description
	d.Sequence++
	d.ClockMS = w.now.Milliseconds()
	if w.cores[t.home].down {
		t.home = w.random.IntN(len(w.cores))
		w.after(time.Second, func() { w.reportNow(t) })
		return
	}
	w.reportNow(t)
}

func (w *world) reportNow(t *worldTarget) {
	if !t.gone && !t.cut {
		w.step(w.cores[t.home], placement.Heartbeat{Description: t.runner.Description})
	}
}

// submit hands a job to a coordinator that is up.
func (w *world) submit(job placement.Job) {
	w.jobs[job.ID] = job
	if job.Stored {
		w.store(job)
		return
	}
	c := w.cores[w.random.IntN(len(w.cores))]
	if c.down || c.paused {
		w.resend(job.ID)
		return
	}
	w.lastRef++
	caller := placement.Caller{Gateway: "g" + c.name, Ref: w.lastRef}
	w.open[caller] = job.ID
	w.step(c, placement.Submit{Caller: caller, Job: job})
}

// newJob returns a random job.
func (w *world) newJob() placement.Job {
	return placement.Job{
		ID: fmt.Sprintf("%016x", w.random.Uint64()), Queue: "q", Service: "desk",
		Stored:   w.stored > 0 && w.random.Float64() < w.stored,
		Priority: w.random.IntN(3), MaxAttempts: 2, Stretch: 1.6, Allowance: 60 * time.Millisecond,
		Steps: []placement.Step{{
			Count: 1 + w.random.IntN(6), Expected: 200 * time.Millisecond,
			Need: placement.Resources{CPUMillis: int64(9000 + w.random.IntN(11000)), MemoryMB: 64},
		}},
	}
}

// load submits jobs at a rate until a time.
func (w *world) load(perSecond int, until time.Duration) {
	w.after(time.Duration(w.random.ExpFloat64()*float64(time.Second)/float64(perSecond)), func() {
		w.submit(w.newJob())
		if w.now < until {
			w.load(perSecond, until)
		}
	})
}

// lose makes both ends of a link take note of its loss, each in its own time.
func (w *world) lose(a, b *worldCore) {
	a.cut[b.name], b.cut[a.name] = true, true
	w.after(worldTimeout, func() { w.step(a, placement.PeerDisconnected{Peer: b.name}) })
	w.after(worldTimeout+100*time.Millisecond, func() { w.step(b, placement.PeerDisconnected{Peer: a.name}) })
}

// handOver lets a coordinator give a random target to another one.
func (w *world) handOver() {
	t := w.targets[w.random.IntN(len(w.targets))]
	to := w.cores[w.random.IntN(len(w.cores))]
	if from := w.cores[t.home]; from != to {
		w.step(from, placement.HandOverRequested{Target: t.runner.Description.ID, Peer: to.name})
	}
}

// giveUp makes the gateway of a coordinator give up the jobs there.
func (w *world) giveUp(c *worldCore) {
	for _, caller := range w.callersOf(c) {
		id := w.open[caller]
		delete(w.open, caller)
		w.answers[caller] = 1 - 1<<30 // a late answer finds nobody
		w.resend(id)
	}
}

func (w *world) callersOf(c *worldCore) []placement.Caller {
	var callers []placement.Caller
	for caller := range w.open {
		if caller.Gateway == "g"+c.name {
			callers = append(callers, caller)
		}
	}
	slices.SortFunc(callers, func(a, b placement.Caller) int { return int(a.Ref) - int(b.Ref) })
	return callers
}

// kill ends a coordinator's process; another one starts after a while.
func (w *world) kill(c *worldCore, length time.Duration) {
	c.killed++
	c.down = true
	w.giveUp(c)
	for _, other := range w.cores {
		if other != c {
			w.step(other, placement.PeerDisconnected{Peer: c.name})
		}
	}
	w.after(length, func() {
		c.down = false
		w.boot(c)
	})
}

// killAndReturn ends a coordinator's process; the next one has its links one
// after the other.
func (w *world) killAndReturn(c *worldCore, length time.Duration) {
	w.kill(c, length)
	for i, other := range w.cores {
		if other == c {
			continue
		}
		c.cut[other.name], other.cut[c.name] = true, true
		w.after(length+time.Duration(i*300)*time.Millisecond, func() {
			w.join(c, other)
			w.step(c, placement.PeerConnected{Peer: other.name})
			w.step(other, placement.PeerConnected{Peer: c.name})
		})
	}
}

// pause lets a coordinator stand still. When it goes on after more than the limit
// it gives its links up, as the others do after the links' timeout.
func (w *world) pause(c *worldCore, length time.Duration) {
	if c.down || c.paused {
		return
	}
	c.paused = true
	life := c.killed
	lost := false
	lose := func() {
		if lost || c.killed != life {
			return
		}
		lost = true
		w.giveUp(c)
		for _, other := range w.cores {
			if other != c {
				w.step(other, placement.PeerDisconnected{Peer: c.name})
			}
		}
	}
	if length > worldTimeout {
		w.after(worldTimeout, lose)
	}
	w.after(length, func() {
		c.paused = false
		held := c.held
		c.held = nil
		if c.killed != life {
			return
		}
		if length > pauseLimit {
			w.wakeUp(c)
			held = slices.DeleteFunc(held, placement.FromPeer)
			w.after(time.Millisecond, lose)
		}
		for _, event := range held {
			w.step(c, event)
		}
	})
}

// pauseLimit is how long a process may stand still before it gives its links up.
const pauseLimit = 500 * time.Millisecond

func (w *world) wakeUp(c *worldCore) {
	w.step(c, placement.ProcessPaused{})
	for _, other := range w.cores {
		if other != c {
			w.step(c, placement.PeerDisconnected{Peer: other.name})
		}
	}
	w.step(c, placement.GatewayDisconnected{Gateway: "g" + c.name})
}

func (w *world) join(a, b *worldCore) {
	delete(a.cut, b.name)
	delete(b.cut, a.name)
}
