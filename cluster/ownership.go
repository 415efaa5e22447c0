package cluster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// forwardTimeout bounds the way of a heartbeat to the target's owner; a target
// tries the next coordinator after a second.
const forwardTimeout = 600 * time.Millisecond

// owner returns the coordinator that a target shall belong to: one of its data
// centre, or else any one, by rendezvous hashing. Only coordinators with a link
// and this one count, so that a part that is cut off serves its own targets.
func (c *Coordinator) owner(target, dataCentre string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, all []string
	add := func(name, centre string) {
		all = append(all, name)
		if centre == dataCentre {
			near = append(near, name)
		}
	}
	if !c.draining {
		add(c.options.Name, c.options.DataCentre)
	}
	for name, state := range c.linked {
		if state.coordinator && !state.draining {
			add(name, state.dataCentre)
		}
	}
	if len(near) > 0 {
		all = near
	}
	return rendezvous(target, all)
}

// rendezvous returns the name with the highest weight for a key, or "".
func rendezvous(key string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(key+"/"+a), xxhash.Sum64String(key+"/"+b)),
			cmp.Compare(a, b),
		)
	})
}

// ranked returns the names by their weight for a key, the highest first.
func ranked(key string, names []string) []string {
	var order []string
	for len(names) > 0 {
		best := rendezvous(key, names)
		order = append(order, best)
		names = slices.DeleteFunc(names, func(name string) bool { return name == best })
	}
	return order
}

// TargetHeartbeat takes a target's heartbeat. It returns where further heartbeats
// should go, or "". An error means that the heartbeat must not be acknowledged.
func (c *Coordinator) TargetHeartbeat(ctx context.Context, d placement.Description) (string, error) {
	if !c.serves(d.Service) {
		return "", errors.NotFoundf("service %q", d.Service)
	}
	if c.turnsAway(&d) {
		return "", errors.Errorf("target %s has to try the coordinators of %s first", d.ID, d.DataCentre)
	}
	owner := c.owner(d.ID, d.DataCentre)
	if owner == c.options.Name || owner == "" {
		return "", c.own(ctx, d)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	outcome, err := c.loop.moveTarget(ctx, d, owner)
	switch {
	case err != nil:
		return "", errors.Trace(err)
	case outcome == beatKept:
		return "", c.confirmDraining(ctx, d)
	case outcome == beatHandsOver:
		return c.options.HeartbeatAddress(owner), nil
	}
	_, err = c.mesh.Call(ctx, owner, &wire.Envelope{Body: &wire.Envelope_TargetHandOver{
		TargetHandOver: &wire.TargetHandOver{Target: descriptionToWire(&d)},
	}})
	if err != nil {
		return "", errors.Annotatef(err, "forward heartbeat of %s", d.ID)
	}
	return c.options.HeartbeatAddress(owner), nil
}

// beatOutcome is what becomes of a heartbeat of a target that another
// coordinator shall own.
type beatOutcome int

const (
	beatForeign   beatOutcome = iota // the target is not owned here
	beatKept                         // taken here: orders to the target are on their way
	beatHandsOver                    // the target is on its way to its owner
)

// moveTarget gives a target to the coordinator that shall own it, together with
// its heartbeat. A heartbeat that went there by itself could overtake the
// hand-over, and the target's runs would be stopped as unknown ones.
func (l *placementLoop) moveTarget(ctx context.Context, d placement.Description, owner string) (beatOutcome, error) {
	var outcome beatOutcome
	if err := l.do(ctx, func(now time.Duration) { outcome = l.moveOrKeep(now, d, owner) }); err != nil {
		return beatForeign, errors.Annotatef(err, "move target %s", d.ID)
	}
	return outcome, nil
}

// moveOrKeep keeps a leaving target: its heartbeat may be acknowledged only by
// an owner that is sure of it.
func (l *placementLoop) moveOrKeep(now time.Duration, d placement.Description, owner string) beatOutcome {
	if !l.core.Owns(d.ID) {
		return beatForeign
	}
	l.core.Step(now, placement.Heartbeat{Description: d})
	if d.Draining {
		return beatKept
	}
	l.core.Step(now, placement.HandOverRequested{Target: d.ID, Peer: owner})
	if l.core.Owns(d.ID) {
		return beatKept
	}
	return beatHandsOver
}

// turnAwayTime is how long a target that was turned away has to find another
// coordinator: it tries one a second at most, and there are few.
const turnAwayTime = 6 * time.Second

// turnsAway reports whether a target of another data centre shall try other
// coordinators first. A coordinator without links to most others cannot lend its
// targets to them, so a target is worth more on their side of a cut. One that
// comes again has not found any.
func (c *Coordinator) turnsAway(d *placement.Description) bool {
	linked := 1 + len(c.peers())
	c.mu.Lock()
	defer c.mu.Unlock()
	if 2*linked >= len(c.directory) {
		clear(c.turnedAway)
		return false
	}
	if d.DataCentre == c.options.DataCentre {
		return false
	}
	since := time.Since(c.turnedAway[d.ID])
	if since < turnAwayTime {
		return false
	}
	c.turnedAway[d.ID] = time.Now()
	c.options.Logger.Info().Str("event", "target_turned_away").Str("target", d.ID).Str("data_centre", d.DataCentre).
		Int("linked", linked).Int("known", len(c.directory)).Send()
	return true
}

// serves reports whether a service may be used. Any may before the first document.
func (c *Coordinator) serves(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services == nil || c.services[service]
}

// own takes a heartbeat as the owner. That of a leaving target is acknowledged
// only once no earlier owner can start anything on it.
func (c *Coordinator) own(ctx context.Context, d placement.Description) error {
	c.loop.push(placement.Heartbeat{Description: d})
	return c.confirmDraining(ctx, d)
}

// confirmDraining waits until this coordinator owns a leaving target for
// certain, and tells the others that it leaves.
func (c *Coordinator) confirmDraining(ctx context.Context, d placement.Description) error {
	if !d.Draining {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := c.loop.awaitOwned(ctx, d.ID, d.BootUnixMS); err != nil {
		return errors.Annotatef(err, "take over leaving target %s", d.ID)
	}
	c.broadcast(&wire.Envelope{Body: &wire.Envelope_TargetDrain{
		TargetDrain: &wire.TargetDrain{Target: d.ID, BornUnixMs: d.BootUnixMS},
	}})
	return nil
}

// DeregisterTarget removes a target that reported its end.
func (c *Coordinator) DeregisterTarget(id string, born int64) {
	c.loop.push(placement.TargetDeregistered{Target: id, BootUnixMS: born})
	c.broadcast(&wire.Envelope{Body: &wire.Envelope_TargetDrain{
		TargetDrain: &wire.TargetDrain{Target: id, BornUnixMs: born, Left: true},
	}})
}

// broadcast sends to all other coordinators.
func (c *Coordinator) broadcast(message *wire.Envelope) {
	for _, name := range c.peers() {
		c.send(name, message)
	}
}

// peers returns the coordinators with a link.
func (c *Coordinator) peers() []string { return c.linkedNames(true) }

// gateways returns the gateways with a link.
func (c *Coordinator) gateways() []string { return c.linkedNames(false) }

func (c *Coordinator) linkedNames(coordinators bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, state := range c.linked {
		if state.coordinator == coordinators {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
