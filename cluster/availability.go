package cluster

import (
	"slices"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// availabilityPublisher builds the updates of the available targets for other
// coordinators: all targets over a new link, then only what has changed.
type availabilityPublisher struct {
	sent     map[string]placement.AvailableTarget // as last sent, by target
	draining bool                                 // as last sent
	// complete has the peers that received all targets over their present link.
	complete map[string]bool
}

func newAvailabilityPublisher() *availabilityPublisher {
	return &availabilityPublisher{sent: map[string]placement.AvailableTarget{}, complete: map[string]bool{}}
}

// forget makes the next update for a peer a complete one.
func (p *availabilityPublisher) forget(peer string) { delete(p.complete, peer) }

// correct makes the next update contain a target even if it has not changed, or its
// removal if it is no longer available.
func (p *availabilityPublisher) correct(target string) {
	if _, known := p.sent[target]; known {
		p.sent[target] = placement.AvailableTarget{}
	}
}

// updates returns the update for each of the peers that needs one.
func (p *availabilityPublisher) updates(current []placement.AvailableTarget, draining bool, peers []string) map[string]*wire.RoomUpdate {
	changes := p.changes(current, draining)
	all := &wire.RoomUpdate{Rooms: availabilityToWire(current), Draining: draining}
	updates := map[string]*wire.RoomUpdate{}
	for _, peer := range peers {
		switch {
		case !p.complete[peer]:
			updates[peer] = all
		case changes != nil:
			updates[peer] = changes
		}
		p.complete[peer] = true
	}
	return updates
}

// changes returns the differences to what was sent last, or nil without any.
func (p *availabilityPublisher) changes(current []placement.AvailableTarget, draining bool) *wire.RoomUpdate {
	update := &wire.RoomUpdate{Partial: true, Draining: draining}
	var changed []placement.AvailableTarget
	present := make(map[string]bool, len(current))
	for i := range current {
		target := current[i]
		present[target.Target] = true
		old, known := p.sent[target.Target]
		if known && !speedMoved(old.SpeedPermille, target.SpeedPermille) {
			target.SpeedPermille = old.SpeedPermille
		}
		p.sent[target.Target] = target
		sameKind := known && old.Service == target.Service && slices.Equal(old.Labels, target.Labels) &&
			old.Address == target.Address && old.BootUnixMS == target.BootUnixMS
		if sameKind && old.Free == target.Free && old.Suspect == target.Suspect && old.HasSuspect == target.HasSuspect && old.Idle == target.Idle &&
			old.Cold == target.Cold && old.SpeedPermille == target.SpeedPermille {
			continue
		}
		if sameKind {
			target.Service, target.Labels, target.Address, target.BootUnixMS = "", nil, "", 0
		}
		changed = append(changed, target)
	}
	for id := range p.sent {
		if !present[id] {
			delete(p.sent, id)
			update.Removed = append(update.Removed, id)
		}
	}
	if len(changed) == 0 && len(update.Removed) == 0 && draining == p.draining {
		return nil
	}
	p.draining = draining
	update.Rooms = availabilityToWire(changed)
	return update
}

// speedMoved reports whether a speed differs by a tenth or more from the one that was
// sent, or has become known or unknown. Smaller changes are not worth a message.
func speedMoved(sent, current int) bool {
	if sent == 0 || current == 0 {
		return sent != current
	}
	difference := current - sent
	return 10*max(difference, -difference) >= sent
}
