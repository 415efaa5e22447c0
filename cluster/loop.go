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
	// eventRingSize is the number of events that may wait for the core.
	eventRingSize = 8192
	// roomInterval is the pause between two updates of the free room for other
	// coordinators; a task of 60 ms should not find room that is long gone.
	roomInterval = 10 * time.Millisecond
	// pauseLimit is how long the loop may stand still before it takes the
	// machine for one that was suspended, and the links for broken ones.
	pauseLimit = 500 * time.Millisecond
	// countsInterval is how often gateways are told how many jobs wait; callers
	// accept counts that are 2 s old.
	countsInterval = 500 * time.Millisecond
	// statusInterval is how often the state of the core is logged.
	statusInterval = time.Second
)

// placementLoop owns the core and carries its effects out.
type placementLoop struct {
	coordinator *Coordinator
	core        *placement.Core
	events      *ring.Ring[placement.Event]
	lastRoom    time.Duration
	lastStatus  time.Duration
	lastCounts  time.Duration
	roomDirty   bool
	counted     bool // gateways know of waiting jobs

	starts, stops, looks *orderMetrics
	gauges               statusGauges

	mu      sync.Mutex // guards what other goroutines read
	done    bool
	waiters map[chan struct{}]ownedQuestion
	calls   []func(now time.Duration)
}

// ownedQuestion waits until a boot of a target is owned for certain.
type ownedQuestion struct {
	target string
	born   int64
}

func newPlacementLoop(c *Coordinator) *placementLoop {
	return &placementLoop{
		coordinator: c,
		core:        placement.New(c.options.Placement),
		events:      ring.New[placement.Event](eventRingSize),
		starts:      newOrderMetrics(kindStart),
		stops:       newOrderMetrics(kindStop),
		looks:       newOrderMetrics(kindLook),
		gauges:      newStatusGauges(),
		waiters:     map[chan struct{}]ownedQuestion{},
	}
}

// push hands an event to the core. An event that finds the ring full is lost,
// and the caller of a lost submission is answered when its time is over.
func (l *placementLoop) push(event placement.Event) {
	if err := l.events.Push(event); err != nil {
		l.coordinator.options.Logger.Error().Str("event", "core_event_lost").Err(errors.Annotatef(err, "%T", event)).Send()
	}
}

func (l *placementLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(placement.TickInterval)
	defer ticker.Stop()
	last := steadyNow()
	var events []placement.Event
	for {
		select {
		case <-l.events.Ready():
		case <-ticker.C:
			l.push(placement.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
		now := steadyNow()
		events = l.events.PopAll(events[:0])
		if now-last > pauseLimit {
			events = l.paused(now, now-last, events)
		}
		last = now
		for _, event := range events {
			l.core.Step(now, event)
		}
		l.takeStored(now)
		l.carryOut(ctx, now)
	}
}

// takeStored hands the core what the log says of stored jobs.
func (l *placementLoop) takeStored(now time.Duration) {
	c := l.coordinator
	for _, change := range c.voter.store.takeChanged(l.core.StoredJobs) {
		l.core.Step(now, change)
		if change.Home == c.options.Placement.Home {
			select {
			case c.confirmNow <- struct{}{}:
			default:
			}
		}
	}
}

// paused begins anew after the loop stood still: others may have taken this
// coordinator for lost, and what they sent before is void. It returns the events
// that still hold.
func (l *placementLoop) paused(now, length time.Duration, events []placement.Event) []placement.Event {
	c := l.coordinator
	c.options.Logger.Warn().Str("event", "process_paused").Int64("length_ms", length.Milliseconds()).
		Int("events", len(events)).Send()
	c.mesh.Reset()
	peers, gateways := c.peers(), c.gateways()
	l.core.Step(now, placement.ProcessPaused{})
	for _, name := range peers {
		l.core.Step(now, placement.PeerDisconnected{Peer: name})
	}
	for _, name := range gateways {
		l.core.Step(now, placement.GatewayDisconnected{Gateway: name})
	}
	return slices.DeleteFunc(events, placement.FromPeer)
}

func (l *placementLoop) carryOut(ctx context.Context, now time.Duration) {
	for _, effect := range l.core.Ready() {
		l.effect(ctx, effect)
	}
	if l.roomDirty && now-l.lastRoom >= roomInterval {
		l.roomDirty, l.lastRoom = false, now
		l.publishRoom()
	}
	if now-l.lastCounts >= countsInterval {
		l.lastCounts = now
		l.publishCounts()
	}
	if now-l.lastStatus >= statusInterval {
		l.lastStatus = now
		l.logStatus()
		l.coordinator.memory.remember(l.core.Owned())
	}
	l.answerWaiters()
	l.runCalls(ctx, now)
	l.mu.Lock()
	l.done = l.core.Idle()
	l.mu.Unlock()
}

func (l *placementLoop) effect(ctx context.Context, effect placement.Effect) {
	c := l.coordinator
	switch e := effect.(type) {
	case placement.StartOrder:
		go l.order(l.starts, func() placement.OrderResponse { return c.options.Targets.Start(ctx, &e) })
	case placement.StopOrder:
		go l.order(l.stops, func() placement.OrderResponse { return c.options.Targets.Stop(ctx, &e) })
	case placement.PollOrder:
		go l.order(l.looks, func() placement.OrderResponse { return c.options.Targets.Poll(ctx, &e) })
	case placement.AnswerJob:
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
		c.records.end(&e)
	case placement.GiveUpRun:
		c.records.giveUp(&e)
	case placement.AvailabilityChanged:
		l.roomDirty = true
	case placement.Decision:
		l.logDecision(&e)
	}
}

// order carries an order out and hands its answer to the core.
func (l *placementLoop) order(m *orderMetrics, call func() placement.OrderResponse) {
	began := time.Now()
	answered := call()
	m.count(began, &answered)
	l.push(answered)
}

func (l *placementLoop) publishRoom() {
	update := &wire.RoomUpdate{Rooms: roomsToWire(l.core.AvailableTargets())}
	l.coordinator.mu.Lock()
	update.Draining = l.coordinator.draining
	l.coordinator.mu.Unlock()
	l.coordinator.broadcast(&wire.Envelope{Body: &wire.Envelope_RoomUpdate{RoomUpdate: update}})
}

// publishCounts tells gateways how many jobs wait, while there are any or were.
func (l *placementLoop) publishCounts() {
	waiting := l.core.WaitingJobs()
	if len(waiting) == 0 && !l.counted {
		return
	}
	l.counted = len(waiting) > 0
	message := &wire.Envelope{Body: &wire.Envelope_RoomUpdate{RoomUpdate: &wire.RoomUpdate{Waiting: waiting}}}
	for _, name := range l.coordinator.gateways() {
		l.coordinator.send(name, message)
	}
}

// logDecision writes one line.
func (l *placementLoop) logDecision(d *placement.Decision) {
	decisionCounter(d.Event).Inc()
	event := l.coordinator.options.Logger.Info().Str("event", d.Event)
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
	event.Int64("age_ms", d.Age.Milliseconds()).Int64("value", d.Value).Send()
}

func (l *placementLoop) logStatus() {
	s := l.core.Status()
	l.gauges.set(&s)
	l.coordinator.options.Logger.Info().Str("event", "placement_status").Int("jobs", s.Jobs).Int("queued", s.Queued).
		Int("targets", s.Targets).Int("usable", s.Usable).Int("runs", s.Runs).Int64("free_millis", s.FreeCPUMillis).
		Int("peers", s.Peers).Int("peer_rooms", s.PeerTargets).Int64("peer_free_millis", s.PeerFreeCPUMillis).Send()
}

// awaitOwned returns once the core owns a boot of a target for certain.
func (l *placementLoop) awaitOwned(ctx context.Context, target string, born int64) error {
	owned := make(chan struct{})
	l.mu.Lock()
	l.waiters[owned] = ownedQuestion{target, born}
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

func (l *placementLoop) answerWaiters() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for owned, question := range l.waiters {
		if l.core.TargetReady(question.target, question.born) {
			delete(l.waiters, owned)
			close(owned)
		}
	}
}

// do runs a function in the loop, which owns the core, and waits for it.
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

// runCalls runs what other goroutines ask for.
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
		l.effect(ctx, effect)
	}
}

// ask asks the core for a job that is not stored, or to cancel it.
func (l *placementLoop) ask(ctx context.Context, id string, cancel bool) (*wire.JobState, error) {
	state := &wire.JobState{}
	err := l.do(ctx, func(now time.Duration) {
		state.Active, state.Started = l.core.Job(id)
		if state.Active && cancel {
			l.core.Step(now, placement.Cancel{JobID: id})
		}
	})
	if err != nil {
		return nil, err
	}
	return state, nil
}

func (l *placementLoop) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}
