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

// heartbeatAckTimeout bounds the processing of a heartbeat before it is acknowledged;
// a target tries the next coordinator after a second.
const heartbeatAckTimeout = 600 * time.Millisecond

// assignedOwner returns the coordinator to which rendezvous hashing assigns a
// target: one of its data centre, or else any one. Only this coordinator and linked
// ones are considered, so that each side of a partition serves its own targets, and of
// these none that has lost the log.
func (c *Coordinator) assignedOwner(target, dataCentre string) string {
	lost := c.findLostOwners()
	c.mu.Lock()
	defer c.mu.Unlock()
	var local, all []string
	add := func(name, centre string) {
		if lost[name] {
			return
		}
		all = append(all, name)
		if centre == dataCentre {
			local = append(local, name)
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
	if len(local) > 0 {
		all = local
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

// sortByWeight returns the names by their weight for a key, highest first. It
// overwrites the slice that it is given.
func sortByWeight(key string, names []string) []string {
	var order []string
	for len(names) > 0 {
		best := rendezvous(key, names)
		order = append(order, best)
		names = slices.DeleteFunc(names, func(name string) bool { return name == best })
	}
	return order
}

// TargetHeartbeat processes a target's heartbeat. It returns the address for
// further heartbeats if it changes, or "". An error means that the heartbeat must
// not be acknowledged.
func (c *Coordinator) TargetHeartbeat(ctx context.Context, d placement.Description) (string, error) {
	if !c.serviceAllowed(d.Service) {
		return "", errors.NotFoundf("service %q", d.Service)
	}
	if c.rejectTarget(&d) {
		return "", errors.Errorf("target %s has to try the coordinators of data centre %s first", d.ID, d.DataCentre)
	}
	assigned := c.assignedOwner(d.ID, d.DataCentre)
	if assigned == c.options.Name || assigned == "" {
		return "", c.acceptHeartbeat(ctx, d)
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatAckTimeout)
	defer cancel()
	outcome, err := c.loop.handOverTarget(ctx, d, assigned)
	switch {
	case err != nil:
		return "", errors.Trace(err)
	case outcome == targetKept:
		return "", c.awaitOwnershipAndBroadcastDrain(ctx, d)
	case outcome == targetHandedOver:
		return c.options.HeartbeatAddress(assigned), nil
	}
	_, err = c.mesh.Call(ctx, assigned, &wire.Envelope{Body: &wire.Envelope_TargetHandOver{
		TargetHandOver: &wire.TargetHandOver{Target: descriptionToWire(&d)},
	}})
	if err != nil {
		return "", errors.Annotatef(err, "forward heartbeat of %s", d.ID)
	}
	return c.options.HeartbeatAddress(assigned), nil
}

// heartbeatOutcome is the effect of a heartbeat of a target that is assigned to
// another coordinator.
type heartbeatOutcome int

const (
	targetNotOwned   heartbeatOutcome = iota // this coordinator does not own the target
	targetKept                               // orders to the target are in flight, or it is draining
	targetHandedOver                         // the target was sent to its assigned owner
)

// handOverTarget hands a target over to its assigned owner, along with its
// heartbeat. A heartbeat that was forwarded separately could overtake the
// hand-over, and the new owner would stop the target's runs as unknown.
func (l *placementLoop) handOverTarget(ctx context.Context, d placement.Description, assigned string) (heartbeatOutcome, error) {
	var outcome heartbeatOutcome
	if err := l.do(ctx, func(now time.Duration) { outcome = l.handOverOrKeep(now, d, assigned) }); err != nil {
		return targetNotOwned, errors.Annotatef(err, "hand over target %s", d.ID)
	}
	return outcome, nil
}

// handOverOrKeep applies a heartbeat and hands the target over, unless it is
// draining or has orders in flight. A draining target is kept because its
// heartbeat may be acknowledged only by an owner whose ownership is confirmed.
func (l *placementLoop) handOverOrKeep(now time.Duration, d placement.Description, assigned string) heartbeatOutcome {
	if !l.core.Owns(d.ID) {
		return targetNotOwned
	}
	l.core.Step(now, placement.Heartbeat{Description: d})
	if d.Draining {
		return targetKept
	}
	l.core.Step(now, placement.HandOverRequested{Target: d.ID, Peer: assigned})
	if l.core.Owns(d.ID) {
		return targetKept
	}
	return targetHandedOver
}

// rejectionGracePeriod is the time after a rejection in which the target is
// accepted if it returns. It can try six coordinators in this time, one a second.
const rejectionGracePeriod = 6 * time.Second

// rejectTarget decides and records whether a target of another data centre has to
// try other coordinators first. A coordinator without links to most others cannot
// run their tasks, so the target is of more use on their side of the partition. A
// target that returns within rejectionGracePeriod has found no other coordinator.
func (c *Coordinator) rejectTarget(d *placement.Description) bool {
	linked := 1 + len(c.coordinators())
	c.mu.Lock()
	defer c.mu.Unlock()
	if 2*linked >= len(c.directory) {
		clear(c.rejectedAt)
		return false
	}
	if d.DataCentre == c.options.DataCentre {
		return false
	}
	since := time.Since(c.rejectedAt[d.ID])
	if since < rejectionGracePeriod {
		return false
	}
	c.rejectedAt[d.ID] = time.Now()
	c.options.RequestLogger.Info().Str("event", "target_turned_away").Str("target", d.ID).Str("data_centre", d.DataCentre).
		Int("linked", linked).Int("known", len(c.directory)).Send()
	return true
}

// serviceAllowed reports whether the operators' deployment document lists the
// service. Before the first document every service is allowed.
func (c *Coordinator) serviceAllowed(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services == nil || c.services[service]
}

// acceptHeartbeat processes a heartbeat as the owner. That of a draining target is
// acknowledged only once no earlier owner can start a run on it.
func (c *Coordinator) acceptHeartbeat(ctx context.Context, d placement.Description) error {
	c.loop.push(placement.Heartbeat{Description: d})
	return c.awaitOwnershipAndBroadcastDrain(ctx, d)
}

// awaitOwnershipAndBroadcastDrain waits until the ownership of a draining target is
// confirmed, and reports the drain to the other coordinators. It does nothing for a
// target that is not draining.
func (c *Coordinator) awaitOwnershipAndBroadcastDrain(ctx context.Context, d placement.Description) error {
	if !d.Draining {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatAckTimeout)
	defer cancel()
	if err := c.loop.awaitOwnership(ctx, d.ID, d.BootUnixMS); err != nil {
		return errors.Annotatef(err, "await ownership of draining target %s", d.ID)
	}
	c.broadcast(&wire.Envelope{Body: &wire.Envelope_TargetDrain{
		TargetDrain: &wire.TargetDrain{Target: d.ID, BornUnixMs: d.BootUnixMS},
	}})
	return nil
}

// DeregisterTarget removes a target that has shut down.
func (c *Coordinator) DeregisterTarget(id string, bootUnixMS int64) {
	c.loop.push(placement.TargetDeregistered{Target: id, BootUnixMS: bootUnixMS})
	c.broadcast(&wire.Envelope{Body: &wire.Envelope_TargetDrain{
		TargetDrain: &wire.TargetDrain{Target: id, BornUnixMs: bootUnixMS, Left: true},
	}})
}

// broadcast sends a message to all linked coordinators.
func (c *Coordinator) broadcast(message *wire.Envelope) {
	for _, name := range c.coordinators() {
		c.send(name, message)
	}
}

// coordinators returns the linked coordinators.
func (c *Coordinator) coordinators() []string { return c.linkedNames(true) }

// gateways returns the linked gateways.
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
