package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornshore.example/emulator"
	"hawthornshore.example/jobtable"
	"hawthornshore.example/placement"
)

const (
	simLease          = time.Second
	simStopTime       = 50 * time.Millisecond
	linkTimeout       = 700 * time.Millisecond // until a failed link is detected
	heartbeatInterval = 1500 * time.Millisecond
	resubmitDelay     = 1300 * time.Millisecond
)

// timedEvent is a function that runs at a time.
type timedEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []*timedEvent

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)   { *t = append(*t, x.(*timedEvent)) }
func (t *eventQueue) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// simulation is a virtual-time system of coordinators and targets with faults. It
// checks that targets stay within their capacity, that no task runs twice at
// the same time, and that every submission has at most one answer.
type simulation struct {
	random        *rand.Rand
	now           time.Duration
	events        eventQueue
	seq           int
	coordinators  []*simCoordinator
	targets       []*simTarget
	answers       map[placement.Caller]int
	unanswered    map[placement.Caller]string // jobs without an answer
	jobs          map[string]placement.Job
	checks        int
	completed     int
	refused       int
	delays        map[string]time.Duration
	lastRef       uint64
	violations    []string
	lossRate      float64 // share of orders that get no response and may be carried out late
	failureRate   float64 // share of runs that fail
	storedShare   float64 // share of jobs that are stored
	longestRun    time.Duration
	progress      bool // targets list the progress of runs
	queueOrder    placement.QueueOrder
	work          func(task string) time.Duration // nil: random
	steps         func() []placement.Step         // of a new job; nil: one step without conditions
	answered      func(placement.AnswerJob)       // nil: aborted jobs are submitted again
	started       func(placement.StartOrder)      // of each start; may be nil
	sparseChecks  bool                            // runs are compared between targets at every 100th event
	refusesStarts bool                            // all targets refuse starts
	clockSpread   time.Duration                   // largest error of a coordinator's time of day
	log           *simLog
	crashes       *simCrashes
	evacuations   simEvacuations
	documents     simDocuments
}

type simCoordinator struct {
	name         string
	core         *placement.Core
	down         bool // does nothing; its links fail after the timeout
	paused       bool // does nothing now; events are delayed
	delayed      []placement.Event
	disconnected map[string]bool
	unheard      map[string]bool // coordinators that its messages do not reach
	incarnation  int             // number of its earlier processes

	applied  int             // number of log entries that it has applied
	table    *jobtable.Table // state after them
	isolated bool            // cannot reach the log
	detached bool            // does not apply the log any more, although its links are up

	hasReadLog bool          // has read the log to its end
	logReadAt  time.Duration // when its newest read to the end began

	evacuationVersion int // number of evacuation orders that it has applied
}

type simTarget struct {
	runner      *emulator.Runner
	home        int // coordinator that gets the heartbeats
	partitioned bool
	gone        bool
	down        bool // has crashed and is not up again yet
	boots       int
	paths       map[string]*simPath // impaired ones, by coordinator
	ready       bool
	refuses     bool     // its host refuses connections while it is down
	formerIDs   []string // of earlier boots
	polls       []*pendingPoll
}

// pendingPoll is a poll that waits for an end.
type pendingPoll struct {
	order  placement.PollOrder
	answer func(placement.OrderResponse)
	done   bool
}

func newSimulation(seed uint64, cores, targets int) *simulation {
	return newOrderedSimulation(placement.PriorityOrder, seed, cores, targets)
}

func newOrderedSimulation(order placement.QueueOrder, seed uint64, cores, targets int) *simulation {
	s := &simulation{
		queueOrder: order,
		random:     rand.New(rand.NewPCG(seed, 1)),
		now:        time.Hour,
		answers:    map[placement.Caller]int{},
		unanswered: map[placement.Caller]string{},
		delays:     map[string]time.Duration{},
		jobs:       map[string]placement.Job{},
		log:        newSimLog(),
		crashes:    newSimCrashes(),
		longestRun: 420 * time.Millisecond,
	}
	s.addCoordinators(cores)
	for i := range targets {
		s.addTarget(i)
	}
	return s
}

func (s *simulation) addCoordinators(count int) {
	for i := range count {
		c := &simCoordinator{name: fmt.Sprintf("c%d", i), disconnected: map[string]bool{}, unheard: map[string]bool{}}
		s.coordinators = append(s.coordinators, c)
		s.start(c)
	}
}

func (s *simulation) start(c *simCoordinator) {
	c.core = placement.New(placement.Options{
		Name: c.name, Home: c.home(), Lease: simLease, StopTime: simStopTime, FirstRef: uint64(s.now) << 12, UnixMS: 1_700_000_000_000 + s.now.Milliseconds() + s.clockError(),
		QueueOrder: s.queueOrder,
	})
	for _, other := range s.coordinators {
		if other != c {
			s.connect(c, other)
		}
	}
	s.tick(c, c.incarnation)
	s.startLog(c)
	s.startEvacuations(c)
}

// connect tells two coordinators what the other one supports. Their targets follow with
// the next change.
func (s *simulation) connect(a, b *simCoordinator) {
	a.core.Step(s.now, placement.PeerConnected{Peer: b.name, ChecksStepLimits: true})
	b.core.Step(s.now, placement.PeerConnected{Peer: a.name, ChecksStepLimits: true})
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, &timedEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until && len(s.violations) == 0 {
		next := heap.Pop(&s.events).(*timedEvent)
		s.now = next.at
		next.do()
		s.check()
	}
	s.now = until
}

// check collects violations of the invariants.
func (s *simulation) check() {
	if s.checks++; s.sparseChecks && s.checks%100 != 0 {
		return // each start is checked against its target's capacity in any case
	}
	at := map[string]string{}
	for _, t := range s.targets {
		s.violations = append(s.violations, t.runner.Violations()...)
		s.violations = append(s.violations, s.log.Violations()...)
		if t.gone {
			continue
		}
		t.runner.Advance(s.now)
		for _, task := range t.runner.RunningTasks() {
			if other := at[task]; other != "" {
				s.violations = append(s.violations, fmt.Sprintf("task %s runs on %s and %s", task, other, t.runner.Description.ID))
			}
			at[task] = t.runner.Description.ID
		}
	}
}

// delay returns the random delay of a message to or from a target.
func (s *simulation) delay() time.Duration {
	return time.Duration(100+s.random.IntN(1500)) * time.Microsecond
}

func (s *simulation) tick(c *simCoordinator, incarnation int) {
	s.after(placement.TickInterval, func() {
		if c.incarnation != incarnation {
			return
		}
		s.step(c, placement.Tick{})
		s.tick(c, incarnation)
	})
}

func (s *simulation) step(c *simCoordinator, event placement.Event) {
	if c.down {
		return
	}
	if c.paused {
		c.delayed = append(c.delayed, event)
		return
	}
	s.trace(c, "<-", event)
	c.core.Step(s.now, event)
	for _, effect := range c.core.Ready() {
		s.trace(c, "->", effect)
		s.effect(c, effect)
	}
}

func (s *simulation) coordinator(name string) *simCoordinator {
	for _, c := range s.coordinators {
		if c.name == name {
			return c
		}
	}
	return nil
}

// linkDelay returns the delay from one coordinator to another one. It is constant, so
// that messages of a link stay in order; those of different links overtake each other.
func (s *simulation) linkDelay(from, to string) time.Duration {
	key := from + ">" + to
	if s.delays[key] == 0 {
		s.delays[key] = time.Duration(200+s.random.IntN(4000)) * time.Microsecond
	}
	return s.delays[key]
}

// send delivers a message to another coordinator, in order.
func (s *simulation) send(from *simCoordinator, to string, event placement.Event) {
	incarnation := from.incarnation
	s.after(s.linkDelay(from.name, to), func() {
		peer := s.coordinator(to)
		if from.incarnation == incarnation && !from.disconnected[to] && !peer.disconnected[from.name] && !from.unheard[to] {
			s.step(peer, event)
		}
	})
}

func (s *simulation) effect(c *simCoordinator, effect placement.Effect) {
	switch e := effect.(type) {
	case placement.StartOrder:
		if s.started != nil {
			s.started(e)
		}
		s.order(c, e.Target.ID, e.Order, e.Timeout, func(r *emulator.Runner) placement.OrderResponse {
			if s.refusesStarts {
				return placement.OrderResponse{Order: e.Order, Result: placement.NoCapacity, ClockMS: r.ClockMS(s.now)}
			}
			return r.Start(s.now, &e)
		})
	case placement.StopOrder:
		s.order(c, e.Target.ID, e.Order, e.Timeout, func(r *emulator.Runner) placement.OrderResponse { return r.Stop(s.now, &e) })
	case placement.PollOrder:
		s.poll(c, e)
	case placement.AnswerJob:
		s.jobAnswered(e)
	case placement.RequestPlacements:
		s.send(c, e.Peer, placement.PlacementsRequested{Peer: c.name, Placements: e.Placements})
	case placement.SendReports:
		s.send(c, e.Peer, placement.PlacementsReported{Peer: c.name, Reports: e.Reports})
	case placement.SendStops:
		s.send(c, e.Peer, placement.StopRequested{Peer: c.name, Refs: e.Refs})
	case placement.SendHandOver:
		s.target(e.HandOver.Description.ID).home = slices.Index(s.coordinators, s.coordinator(e.Peer))
		s.send(c, e.Peer, placement.HandOverReceived{Peer: c.name, HandOver: e.HandOver})
	case placement.RecordEnd:
		s.recordEnd(c, e)
	case placement.GiveUpRun:
		s.giveUp(c, &e)
	case placement.RecordLoss:
		s.recordLoss(c, &e)
	case placement.MoveStoredJobs:
		s.moveStoredJobs(c)
	case placement.Decision:
		if e.Event == "job_overdue" {
			s.violations = append(s.violations, "job "+e.Job+" is overdue: a run's end was never reported")
		}
	case placement.AvailabilityChanged:
		available := c.core.AvailableTargets()
		for _, peer := range s.coordinators {
			if peer != c {
				s.send(c, peer.name, placement.PeerAvailability{Peer: c.name, Targets: available})
			}
		}
	}
}

func (s *simulation) jobAnswered(e placement.AnswerJob) {
	if _, waits := s.unanswered[e.Caller]; !waits && s.answers[e.Caller] < 0 {
		return // the gateway has given the job up
	}
	s.answers[e.Caller]++
	delete(s.unanswered, e.Caller)
	if s.answers[e.Caller] > 1 {
		s.violations = append(s.violations, fmt.Sprintf("job %s has two answers", e.JobID))
	}
	s.crashes.answered(e.JobID, e.Outcome)
	if s.answered != nil {
		s.answered(e)
		return
	}
	switch e.Outcome {
	case placement.Completed:
		s.completed++
	case placement.NotRun:
		s.refused++
	case placement.Aborted:
		s.resubmit(e.JobID)
	}
}

// resubmit submits a job again, as a caller does after an answer that leaves the
// job's result open.
func (s *simulation) resubmit(id string) {
	s.after(resubmitDelay, func() { s.submit(s.jobs[id]) })
}

func (s *simulation) target(id string) *simTarget {
	for _, t := range s.targets {
		if t.runner.Description.ID == id || slices.Contains(t.formerIDs, id) {
			return t
		}
	}
	return nil
}

// order delivers an order to a target and its response back. A lost one has the
// result unknown after its timeout and may be carried out seconds later.
func (s *simulation) order(c *simCoordinator, target string, id uint64, timeout time.Duration, execute func(*emulator.Runner) placement.OrderResponse) {
	t := s.target(target)
	incarnation := c.incarnation
	answered := false
	reply := func(a placement.OrderResponse) {
		if !answered && c.incarnation == incarnation && a.Order != 0 {
			answered = true
			s.step(c, a)
		}
	}
	s.after(timeout, func() { reply(placement.OrderResponse{Order: id}) })
	if s.random.Float64() < s.lossRate {
		s.after(time.Duration(2+s.random.IntN(10))*time.Second, func() {
			if !t.gone && !t.down && t.runner.Description.ID == target {
				execute(t.runner)
			}
		})
		return
	}
	s.refuseIfDown(t, id, reply)
	s.request(c, t, func() {
		if s.hasOtherID(t, target, id, reply) {
			return
		}
		result := execute(t.runner)
		s.planCrash(t)
		s.completePolls(t)
		s.response(c, t, func() { reply(result) })
	})
}

func (s *simulation) poll(c *simCoordinator, e placement.PollOrder) {
	t := s.target(e.Target.ID)
	var pending *pendingPoll
	s.order(c, e.Target.ID, e.Order, e.Timeout, func(r *emulator.Runner) placement.OrderResponse {
		first := r.Poll(s.now, &e)
		if e.Wait == 0 || len(first.Ended) > 0 || first.Result != placement.OK {
			return first
		}
		incarnation := c.incarnation
		pending = &pendingPoll{order: e, answer: func(a placement.OrderResponse) {
			s.response(c, t, func() {
				if c.incarnation == incarnation {
					s.step(c, a)
				}
			})
		}}
		t.polls = append(t.polls, pending)
		s.after(e.Wait, func() { s.completePoll(t, pending) })
		s.completePolls(t)
		return placement.OrderResponse{} // ignored: the pending poll responds later
	})
}

func (s *simulation) completePoll(t *simTarget, l *pendingPoll) {
	if l.done {
		return
	}
	l.done = true
	t.polls = slices.DeleteFunc(t.polls, func(other *pendingPoll) bool { return other == l })
	l.answer(t.runner.Poll(s.now, &l.order))
}

// completePolls completes pending polls when a run ends.
func (s *simulation) completePolls(t *simTarget) {
	for _, l := range slices.Clone(t.polls) {
		if t.runner.HasEndsAfter(l.order.AckedEnd) {
			s.completePoll(t, l)
		}
	}
	next, ok := t.runner.NextEnd()
	if !ok || len(t.polls) == 0 {
		return
	}
	s.after(max(next-s.now, 0), func() {
		t.runner.Advance(s.now)
		for _, l := range slices.Clone(t.polls) {
			if t.runner.HasEndsAfter(l.order.AckedEnd) {
				s.completePoll(t, l)
			}
		}
	})
}

// heartbeat sends a target's heartbeat to its coordinator, or to another one if
// that is down.
func (s *simulation) heartbeat(t *simTarget) {
	if t.gone {
		return
	}
	defer s.after(heartbeatInterval, func() { s.heartbeat(t) })
	if t.partitioned || t.down {
		return
	}
	d := &t.runner.Description
	d.Sequence++
	d.ClockMS = t.runner.ClockMS(s.now)
	s.leaveCutCoordinator(t)
	if s.coordinators[t.home].down {
		t.home = s.random.IntN(len(s.coordinators))
		s.after(time.Second, func() { s.deliverHeartbeat(t) })
		return
	}
	s.deliverHeartbeat(t)
}

func (s *simulation) deliverHeartbeat(t *simTarget) {
	if !t.gone && !t.partitioned && !t.down && !s.documents.lackService(t) {
		s.step(s.coordinators[t.home], placement.Heartbeat{Description: t.runner.Description})
	}
}

// submit submits a job to a coordinator that is up.
func (s *simulation) submit(job placement.Job) {
	s.jobs[job.ID] = job
	if job.Stored {
		s.store(job)
		return
	}
	c := s.crashes.homeOf(job.ID, s.coordinators[s.random.IntN(len(s.coordinators))])
	if c.down || c.paused {
		s.resubmit(job.ID)
		return
	}
	s.lastRef++
	caller := placement.Caller{Gateway: "g" + c.name, Ref: s.lastRef}
	s.unanswered[caller] = job.ID
	s.step(c, placement.Submit{Caller: caller, Job: job})
}

// newJob returns a random job.
func (s *simulation) newJob() placement.Job {
	return placement.Job{
		ID: fmt.Sprintf("%016x", s.random.Uint64()), Queue: "q", Service: s.documents.service(), DocumentVersion: s.documents.version(),
		Stored:   s.storedShare > 0 && s.random.Float64() < s.storedShare,
		Priority: s.random.IntN(3), MaxAttempts: 2, Stretch: 1.6, Allowance: 60 * time.Millisecond,
		Steps: s.newSteps(),
	}
}

func (s *simulation) newSteps() []placement.Step {
	if s.steps != nil {
		return s.steps()
	}
	return []placement.Step{{
		Count: 1 + s.random.IntN(6), Expected: 200 * time.Millisecond,
		Need: placement.Resources{CPUMillis: int64(9000 + s.random.IntN(11000)), MemoryMB: 64},
	}}
}

// load submits jobs at a rate until a time.
func (s *simulation) load(perSecond int, until time.Duration) {
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/float64(perSecond)), func() {
		s.submit(s.newJob())
		if s.now < until {
			s.load(perSecond, until)
		}
	})
}

// cutLink cuts a link; both ends detect it, each after its own delay.
func (s *simulation) cutLink(a, b *simCoordinator) {
	a.disconnected[b.name], b.disconnected[a.name] = true, true
	s.after(linkTimeout, func() { s.step(a, placement.PeerDisconnected{Peer: b.name}) })
	s.after(linkTimeout+100*time.Millisecond, func() { s.step(b, placement.PeerDisconnected{Peer: a.name}) })
}

// handOver lets a coordinator hand a random target over to another one.
func (s *simulation) handOver() {
	t := s.targets[s.random.IntN(len(s.targets))]
	to := s.coordinators[s.random.IntN(len(s.coordinators))]
	if from := s.coordinators[t.home]; from != to {
		s.step(from, placement.HandOverRequested{Target: t.runner.Description.ID, Peer: to.name})
	}
}

// giveUpJobs makes the gateway of a coordinator give up the jobs there.
func (s *simulation) giveUpJobs(c *simCoordinator) {
	for _, caller := range s.callersOf(c) {
		id := s.unanswered[caller]
		delete(s.unanswered, caller)
		s.answers[caller] = 1 - 1<<30 // a late answer is ignored
		s.resubmit(id)
	}
}

func (s *simulation) callersOf(c *simCoordinator) []placement.Caller {
	var callers []placement.Caller
	for caller := range s.unanswered {
		if caller.Gateway == "g"+c.name {
			callers = append(callers, caller)
		}
	}
	slices.SortFunc(callers, func(a, b placement.Caller) int { return int(a.Ref) - int(b.Ref) })
	return callers
}
