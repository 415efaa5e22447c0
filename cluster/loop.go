package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/placement"
	"hawthornshore.example/ring"
	"hawthornshore.example/wire"
)

const (
	// eventRingSize is the number of events that may be queued for the core.
	eventRingSize = 8192
	// availabilityInterval is the pause between two updates of the available
	// targets for other coordinators; tasks take as little as 60 ms.
	availabilityInterval = 10 * time.Millisecond
	// pauseThreshold is the pause of the loop after which it assumes that the
	// process was suspended and that its links have failed.
	pauseThreshold = 500 * time.Millisecond
	// waitingJobsInterval is how often gateways are sent the numbers of waiting
	// jobs; callers accept numbers that are 2 s old.
	waitingJobsInterval = 500 * time.Millisecond
	// statusInterval is how often the state of the core is logged.
	statusInterval = time.Second
)

// placementLoop owns the core and executes its effects.
type placementLoop struct {
	coordinator       *Coordinator
	core              *placement.Core
	events            *ring.Ring[placement.Event]
	lastAvailability  time.Duration
	lastStatus        time.Duration
	lastWaitingJobs   time.Duration
	lastBacklog       time.Duration
	availabilityDirty bool
	publisher         *availabilityPublisher
	waitingJobsSent   bool                         // the last update had waiting jobs
	evacuations       placement.EvacuationsChanged // that the core has

	startMetrics, stopMetrics, pollMetrics *orderMetrics
	gauges                                 statusGauges

	mu       sync.Mutex // guards the fields below, shared with other goroutines
	coreIdle bool
	backlog  placement.StoredBacklog
	waiters  map[chan struct{}]ownershipWait
	calls    []func(now time.Duration)
}

// ownershipWait is a wait for the confirmed ownership of a boot of a target.
type ownershipWait struct {
	target     string
	bootUnixMS int64
}

func newPlacementLoop(c *Coordinator) *placementLoop {
	return &placementLoop{
		coordinator:  c,
		core:         placement.New(c.options.Placement),
		events:       ring.New[placement.Event](eventRingSize),
		startMetrics: newOrderMetrics(kindStart),
		stopMetrics:  newOrderMetrics(kindStop),
		pollMetrics:  newOrderMetrics(kindPoll),
		gauges:       newStatusGauges(),
		publisher:    newAvailabilityPublisher(),
		waiters:      map[chan struct{}]ownershipWait{},
	}
}

// push queues an event for the core. An event is dropped if the ring is full; the
// caller of a dropped submission gets its answer at the timeout.
func (l *placementLoop) push(event placement.Event) {
	if err := l.events.Push(event); err != nil {
		l.coordinator.options.RequestLogger.Error().Str("event", "core_event_lost").Err(errors.Annotatef(err, "%T", event)).Send()
	}
}

func (l *placementLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(placement.TickInterval)
	defer ticker.Stop()
	last := boottimeNow()
	var events []placement.Event
	for {
		select {
		case <-l.events.Ready():
		case <-ticker.C:
			l.push(placement.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
		now := boottimeNow()
		events = l.events.PopAll(events[:0])
		if now-last > pauseThreshold {
			events = l.resetAfterPause(now, now-last, events)
		}
		last = now
		l.stepEvacuations(now) // before the events, which may lead to starts
		if queues := l.coordinator.queues.Swap(nil); queues != nil {
			l.core.Step(now, *queues)
		}
		for _, event := range events {
			l.step(now, event)
		}
		l.stepStoredJobs(now)
		l.stepCancelled(now)
		l.executeEffects(ctx, now)
	}
}

// step processes one event.
func (l *placementLoop) step(now time.Duration, event placement.Event) {
	switch e := event.(type) {
	case placement.PeerConnected:
		l.publisher.forget(e.Peer)
		l.sendCancelled(e.Peer)
	case placement.PeerDisconnected:
		l.publisher.forget(e.Peer)
	}
	l.core.Step(now, event)
}

// stepStoredJobs steps the core with the changes of stored jobs in the log.
func (l *placementLoop) stepStoredJobs(now time.Duration) {
	c := l.coordinator
	changes := c.logNode.store.takeChanged(c.options.Placement.Home, l.core)
	for i := range changes {
		l.core.Step(now, changes[i])
	}
	if len(changes) > 0 && !l.core.HomeConfirmed(confirmInterval) {
		select {
		case c.confirmNow <- struct{}{}:
		default:
		}
	}
}

// resetAfterPause resets the links and the core after a pause: other instances may
// have assumed that this coordinator failed, so their earlier messages are
// invalid. It returns the events that are still valid.
func (l *placementLoop) resetAfterPause(now, length time.Duration, events []placement.Event) []placement.Event {
	c := l.coordinator
	c.options.Logger.Warn().Str("event", "process_paused").Int64("length_ms", length.Milliseconds()).
		Int("events", len(events)).Send()
	l.evacuationsAfterPause(now, length)
	c.mesh.CloseLinks()
	coordinators, gateways := c.coordinators(), c.gateways()
	l.core.Step(now, placement.ProcessPaused{})
	for _, name := range coordinators {
		l.step(now, placement.PeerDisconnected{Peer: name})
	}
	for _, name := range gateways {
		l.core.Step(now, placement.GatewayDisconnected{Gateway: name})
	}
	return slices.DeleteFunc(events, placement.FromPeer)
}

func (l *placementLoop) executeEffects(ctx context.Context, now time.Duration) {
	for _, effect := range l.core.Ready() {
		l.execute(ctx, effect)
	}
	if l.availabilityDirty && now-l.lastAvailability >= availabilityInterval {
		l.availabilityDirty, l.lastAvailability = false, now
		l.publishAvailability()
	}
	if now-l.lastWaitingJobs >= waitingJobsInterval {
		l.lastWaitingJobs = now
		l.publishWaitingJobs()
	}
	if now-l.lastStatus >= statusInterval {
		l.lastStatus = now
		l.logStatus()
		l.coordinator.cache.save(l.core.Owned())
	}
	l.notifyWaiters()
	l.runCalls(ctx, now)
	l.mu.Lock()
	l.coreIdle = l.core.Idle()
	if now-l.lastBacklog >= placement.TickInterval {
		l.lastBacklog, l.backlog = now, l.core.StoredBacklog()
	}
	l.mu.Unlock()
}

// storedBacklog returns the backlog of stored jobs, as of the last tick.
func (l *placementLoop) storedBacklog() placement.StoredBacklog {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog
}

func (l *placementLoop) execute(ctx context.Context, effect placement.Effect) {
	c := l.coordinator
	switch e := effect.(type) {
	case placement.StartOrder:
		go l.sendOrder(l.startMetrics, func() placement.OrderResponse { return c.options.Targets.Start(ctx, &e) })
	case placement.StopOrder:
		go l.sendOrder(l.stopMetrics, func() placement.OrderResponse { return c.options.Targets.Stop(ctx, &e) })
	case placement.PollOrder:
		go l.sendOrder(l.pollMetrics, func() placement.OrderResponse { return c.options.Targets.Poll(ctx, &e) })
	case placement.AnswerJob:
		if e.Outcome == placement.NotRun {
			refusalCounter(e.Reason).Inc()
		}
		c.send(e.Caller.Gateway, &wire.Envelope{Body: &wire.Envelope_SubmissionAnswer{SubmissionAnswer: answerToWire(&e)}})
	case placement.RequestPlacements:
		c.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_PlacementRequest{PlacementRequest: placementsToWire(e.Placements)}})
	case placement.SendReports:
		c.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_PlacementReports{PlacementReports: reportsToWire(e.Reports)}})
	case placement.SendStops:
		c.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_PlacementStops{PlacementStops: &wire.PlacementStops{Refs: e.Refs}}})
	case placement.SendHandOver:
		c.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_TargetHandOver{TargetHandOver: handOverToWire(&e.HandOver)}})
	case placement.RecordEnd:
		c.recorder.recordEnd(&e)
	case placement.GiveUpRun:
		c.recorder.recordGiveUp(&e)
	case placement.RecordLoss:
		c.recorder.recordLoss(&e)
	case placement.MoveStoredJobs:
		go c.moveOwnJobs(ctx)
	case placement.AvailabilityChanged:
		l.availabilityDirty = true
	case placement.AvailabilityCorrected:
		l.publisher.correct(e.Target)
	case placement.Decision:
		l.logDecision(&e)
	}
}

// sendOrder sends an order to its target and pushes the response to the core.
func (l *placementLoop) sendOrder(m *orderMetrics, call func() placement.OrderResponse) {
	start := time.Now()
	response := call()
	m.observe(start, &response)
	l.push(response)
}

// publishAvailability sends the available targets to the other coordinators. One
// whose send queue is full gets all of them with the next update.
func (l *placementLoop) publishAvailability() {
	c := l.coordinator
	c.mu.Lock()
	draining := c.draining
	c.mu.Unlock()
	for peer, update := range l.publisher.updates(l.core.AvailableTargets(), draining, c.coordinators()) {
		if !c.send(peer, &wire.Envelope{Body: &wire.Envelope_RoomUpdate{RoomUpdate: update}}) {
			l.publisher.forget(peer)
			l.availabilityDirty = true
		}
	}
}

// publishWaitingJobs sends gateways the numbers of waiting jobs unless all stay 0.
func (l *placementLoop) publishWaitingJobs() {
	waiting := l.core.WaitingJobs()
	if len(waiting) == 0 && !l.waitingJobsSent {
		return
	}
	l.waitingJobsSent = len(waiting) > 0
	message := &wire.Envelope{Body: &wire.Envelope_RoomUpdate{RoomUpdate: &wire.RoomUpdate{Waiting: waiting}}}
	for _, name := range l.coordinator.gateways() {
		l.coordinator.send(name, message)
	}
}

// logDecision logs and counts a decision.
func (l *placementLoop) logDecision(d *placement.Decision) {
	decisionCounter(d.Event).Inc()
	event := l.coordinator.options.RequestLogger.Info().Str("event", d.Event)
	for _, field := range [][2]string{
		{"job", d.Job},
		{"task", d.Task},
		{"target", d.Target},
		{"peer", d.Peer},
		{"reason", d.Reason},
	} {
		if field[1] != "" {
			event = event.Str(field[0], field[1])
		}
	}
	if d.BootUnixMS != 0 {
		event = event.Int64("boot", d.BootUnixMS)
	}
	if d.SafeAfter != 0 {
		event = event.Int64("safe_after_ms", d.SafeAfter.Milliseconds())
	}
	event.Int64("age_ms", d.Age.Milliseconds()).Int64("value", d.Value).Send()
}

func (l *placementLoop) logStatus() {
	s := l.core.Status()
	l.gauges.set(&s)
	if readAt, ok := l.coordinator.logNode.catchUp.newestRead(); ok {
		logReadAge.Set((boottimeNow() - readAt).Seconds())
	}
	l.coordinator.options.RequestLogger.Info().Str("event", "placement_status").Int("jobs", s.Jobs).Int("queued", s.Queued).
		Int("targets", s.Targets).Int("usable", s.Usable).Int("runs", s.Runs).Int64("free_millis", s.FreeCPUMillis).
		Int("peers", s.Peers).Int("peer_rooms", s.PeerTargets).Int64("peer_free_millis", s.PeerFreeCPUMillis).Send()
}

// awaitOwnership returns once the ownership of a boot of a target is confirmed.
func (l *placementLoop) awaitOwnership(ctx context.Context, target string, bootUnixMS int64) error {
	owned := make(chan struct{})
	l.mu.Lock()
	l.waiters[owned] = ownershipWait{target, bootUnixMS}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.waiters, owned)
		l.mu.Unlock()
	}()
	l.push(placement.Tick{})
	select {
	case <-owned:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *placementLoop) notifyWaiters() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for owned, wait := range l.waiters {
		if l.core.TargetReady(wait.target, wait.bootUnixMS) {
			delete(l.waiters, owned)
			close(owned)
		}
	}
}

// do runs a function in the loop, which owns the core, and waits for its end.
func (l *placementLoop) do(ctx context.Context, call func(now time.Duration)) error {
	done := make(chan struct{})
	l.mu.Lock()
	l.calls = append(l.calls, func(now time.Duration) {
		call(now)
		close(done)
	})
	l.mu.Unlock()
	l.push(placement.Tick{})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "wait for the placement loop")
	}
}

// runCalls runs the functions passed to do.
func (l *placementLoop) runCalls(ctx context.Context, now time.Duration) {
	l.mu.Lock()
	calls := l.calls
	l.calls = nil
	l.mu.Unlock()
	if len(calls) == 0 {
		return
	}
	for _, call := range calls {
		call(now)
	}
	for _, effect := range l.core.Ready() {
		l.execute(ctx, effect)
	}
}

// queryJob returns the state of a job that is not stored, and cancels the job if
// cancel is set. A cancelled job is found again by a repeated cancellation only.
func (l *placementLoop) queryJob(ctx context.Context, id string, cancel bool) (state *wire.JobState, cancelled bool, err error) {
	state = &wire.JobState{}
	err = l.do(ctx, func(now time.Duration) {
		state.Active, state.Started = l.core.Job(id)
		cancelled = cancel && (state.Active || l.core.Cancelled(id))
		if state.Active && cancel {
			l.core.Step(now, placement.Cancel{JobID: id})
		}
	})
	if err != nil {
		return nil, false, err
	}
	return state, cancelled, nil
}

func (l *placementLoop) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coreIdle
}
