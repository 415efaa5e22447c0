package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/cluster/evacuation"
	"hawthornshore.example/consensus"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	// evacuationReadInterval is how often the log is read to its end, to know whether
	// the evacuations are confirmed.
	evacuationReadInterval = time.Second
	// evacuationRetryInterval is the pause after a failed read while the evacuations are
	// not confirmed.
	evacuationRetryInterval = 50 * time.Millisecond
)

// EvacuationOptions configure the evacuation of data centres.
type EvacuationOptions struct {
	// Bound is how long after its acknowledgement an order may be without effect; 0
	// turns evacuations off.
	Bound time.Duration
	// DataCentres are the known data centres.
	DataCentres []string
}

// Evacuation is a data centre that is being evacuated.
type Evacuation struct {
	DataCentre  string
	Revision    uint64
	SinceUnixMS int64
}

// evacuations is what this coordinator knows of the evacuated data centres. The
// replicated state is in stateStore.
type evacuations struct {
	options EvacuationOptions
	store   *stateStore

	mu sync.Mutex
	// found is the set on the disk at the start. It includes evacuations that are not
	// known to be committed yet, so that a restart of all coordinators forgets no order.
	// It is dropped after the first confirmed read.
	found evacuation.Set
	// adopted has the states that the leader has applied for orders given here, or has
	// sent in answer to a read. This coordinator's own copy of the log may follow later.
	adopted evacuation.Set
	// held means that no start is ordered here until a read is confirmed or holdUntil.
	held      bool
	heldAt    time.Duration
	holdUntil time.Duration
	confirmed bool // the last read has succeeded, of the log or of the leader's set
	// answeredAt is when the last read began to which the leader sent its set.
	answeredAt time.Duration
	lostAt     time.Duration // when confirmed became false
	warned     bool          // evacuations_unconfirmed was logged since
}

func newEvacuations(options EvacuationOptions, store *stateStore, now time.Duration) *evacuations {
	e := &evacuations{options: options, store: store, lostAt: now}
	if e.enabled() {
		e.hold(now)
	}
	return e
}

func (e *evacuations) enabled() bool { return e.options.Bound > 0 }

// maxHold is how long starts are held at most.
func (e *evacuations) maxHold() time.Duration { return e.options.Bound / 2 }

// hold withholds starts until a read of the log that begins after now is confirmed,
// but at most for maxHold.
func (e *evacuations) hold(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held, e.heldAt, e.holdUntil = true, now, now+e.maxHold()
	e.confirmed, e.lostAt, e.warned = false, now, false
	e.store.evacuationsChanged.Store(true)
}

// paused processes a pause of the process. After a shorter one than maxHold the state
// arrives within the bound in any case.
func (e *evacuations) paused(now, length time.Duration) {
	if e.enabled() && length >= e.maxHold() {
		e.hold(now)
	}
}

// diskOpened ends the hold of a new process if its disk has a state. At the first start
// of the whole system the hold costs nothing: no gateway serves jobs before the log
// has a document, and the read that ends the hold succeeds by then.
func (e *evacuations) diskOpened(persisted *consensus.PersistentState) error {
	if !e.enabled() || persisted.Snapshot == nil && len(persisted.Entries) == 0 {
		return nil
	}
	found, err := evacuationsOnDisk(persisted)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.found, e.held = found, false
	e.store.evacuationsChanged.Store(true)
	return nil
}

// evacuationsOnDisk returns the set of the log on the disk. Entries after the last known
// commit may be committed or may be overwritten by another leader, so of these only
// evacuations count: a revocation may only be followed once it is committed.
func evacuationsOnDisk(persisted *consensus.PersistentState) (evacuation.Set, error) {
	// replayed follows all entries, because later orders name its revisions.
	var replayed, found evacuation.Set
	var applied uint64
	if snapshot := persisted.Snapshot; snapshot != nil {
		var state wire.CoordinatorState
		if err := proto.Unmarshal(snapshot.GetData(), &state); err != nil {
			return found, errors.Annotate(err, "decode snapshot")
		}
		replayed.Restore(state.GetEvacuations())
		found.Restore(state.GetEvacuations())
		applied = snapshot.GetIndex()
	}
	for _, entry := range persisted.Entries {
		if entry.GetIndex() <= applied || entry.GetKind() != consensus.EntryKind_ENTRY_KIND_COMMAND {
			continue
		}
		var command wire.LogCommand
		if err := proto.Unmarshal(entry.GetData(), &command); err != nil {
			return found, errors.Annotatef(err, "decode log entry %d", entry.GetIndex())
		}
		order := command.GetEvacuation()
		if order == nil {
			continue
		}
		replayed.Apply(command.GetClockUnixMs(), order)
		state := replayed.Get(order.GetDataCentre())
		if state.Evacuated || entry.GetIndex() <= persisted.Hard.GetCommit() {
			found.Adopt(order.GetDataCentre(), state)
		}
	}
	return found, nil
}

// readDone records the result of a read of the log that began at a time.
func (e *evacuations) readDone(began time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if began < e.heldAt {
		return // from before a pause
	}
	if err != nil {
		if e.confirmed && e.answeredAt < began {
			e.confirmed, e.lostAt, e.warned = false, boottimeNow(), false
		}
		return
	}
	e.confirm()
	e.store.evacuationsChanged.Store(true)
}

// confirm records that the set in the log is known. The caller holds the lock.
func (e *evacuations) confirm() {
	e.found = evacuation.Set{}
	e.held, e.confirmed = false, true
}

// leaderAnswered adopts the leader's states, which it has sent in answer to a read that
// began at a time, and reports whether the set here may have changed. They count before
// the own copy of the log has them: it does not advance while the disk is stalled or a
// large snapshot is received. A leader of an earlier version sends none.
func (e *evacuations) leaderAnswered(began time.Duration, states *wire.EvacuationStates) bool {
	if !e.enabled() || states == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var answer evacuation.Set
	answer.Restore(states.GetStates())
	changed := e.held || len(e.found.Evacuated()) > 0
	for _, state := range states.GetStates() {
		name := state.GetDataCentre()
		changed = changed || e.adopted.Get(name).Revision < state.GetRevision()
		e.adopted.Adopt(name, answer.Get(name))
	}
	if began >= e.heldAt {
		e.answeredAt = max(e.answeredAt, began)
		e.confirm()
	}
	if changed {
		e.store.evacuationsChanged.Store(true)
	}
	return changed
}

// expire ends a hold that has lasted for maxHold. It reports whether the evacuations
// have been unconfirmed for as long, once for each such time, and whether a hold ended.
func (e *evacuations) expire(now time.Duration) (unconfirmed, ended bool) {
	if !e.enabled() {
		return false, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held && now >= e.holdUntil {
		e.held, ended = false, true
		e.store.evacuationsChanged.Store(true)
	}
	if !e.confirmed && !e.warned && now-e.lostAt >= e.maxHold() {
		e.warned, unconfirmed = true, true
	}
	return unconfirmed, ended
}

// adopt records a state that the log has.
func (e *evacuations) adopt(dataCentre string, state evacuation.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopted.Adopt(dataCentre, state)
	e.store.evacuationsChanged.Store(true)
}

// newest returns the states with the highest known revisions. The caller holds the
// lock.
func (e *evacuations) newest() evacuation.Set {
	merged := evacuation.Merge(&e.found, &e.adopted)
	return e.store.mergedEvacuations(&merged)
}

// current returns the set for the placement core.
func (e *evacuations) current() placement.EvacuationsChanged {
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.newest()
	return placement.EvacuationsChanged{DataCentres: set.Evacuated(), Unknown: e.held}
}

// Evacuations returns the evacuated data centres, and whether the last read of the log
// has confirmed them.
func (c *Coordinator) Evacuations() (evacuated []Evacuation, confirmed bool) {
	e := c.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.newest()
	for _, name := range set.Evacuated() {
		state := set.Get(name)
		evacuated = append(evacuated, Evacuation{DataCentre: name, Revision: state.Revision, SinceUnixMS: state.SinceUnixMS})
	}
	return evacuated, e.confirmed
}

// EvacuationsEnabled reports whether orders to evacuate data centres are served.
func (c *Coordinator) EvacuationsEnabled() bool { return c.evacuations.enabled() }

// confirmEvacuationsLoop reads the log to its end again and again.
func (c *Coordinator) confirmEvacuationsLoop(ctx context.Context) error {
	if !c.evacuations.enabled() {
		return nil
	}
	for {
		began := boottimeNow()
		err := c.readLog(ctx)
		c.evacuations.readDone(began, err)
		pause := evacuationReadInterval
		if err != nil {
			pause = evacuationRetryInterval
		} else {
			c.loop.push(placement.Tick{}) // wakes the loop, which passes the set to the core
		}
		select {
		case <-time.After(pause):
		case <-c.evacuationHeld:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readLog reads the log to its end.
func (c *Coordinator) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	return c.logNode.readBarrier(ctx)
}

// stepEvacuations steps the core with the evacuated data centres if they have changed.
func (l *placementLoop) stepEvacuations(now time.Duration) {
	c := l.coordinator
	unconfirmed, holdEnded := c.evacuations.expire(now)
	if unconfirmed {
		c.options.Logger.Warn().Str("event", "evacuations_unconfirmed").Bool("starts_held", holdEnded).
			Strs("data_centres", c.evacuations.current().DataCentres).Send()
	}
	if !c.evacuations.enabled() || !c.logNode.store.evacuationsChanged.Swap(false) {
		return
	}
	change := c.evacuations.current()
	if change.Unknown == l.evacuations.Unknown && slices.Equal(change.DataCentres, l.evacuations.DataCentres) {
		return
	}
	l.evacuations = change
	c.options.Logger.Info().Str("event", "evacuations_changed").Strs("data_centres", change.DataCentres).
		Bool("starts_held", change.Unknown).Send()
	evacuatedDataCentres.Set(float64(len(change.DataCentres)))
	l.core.Step(now, change)
}

// evacuationsAfterPause withholds starts after a long pause until the log was read.
func (l *placementLoop) evacuationsAfterPause(now, length time.Duration) {
	l.coordinator.evacuations.paused(now, length)
	select {
	case l.coordinator.evacuationHeld <- struct{}{}:
	default:
	}
}

// passEvacuations returns once the core has the newest evacuated data centres.
func (l *placementLoop) passEvacuations(ctx context.Context) error {
	return l.do(ctx, func(now time.Duration) { l.stepEvacuations(now) })
}
