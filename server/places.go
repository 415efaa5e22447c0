package server

import (
	"slices"
	"sync"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
)

// places knows which instances serve which data centre: the agreed members,
// which decide who owns a job ID, and the live ones, which decide who manages a
// target's slots. It is safe for concurrent use.
type places struct {
	self       string
	dataCentre string
	mu         sync.RWMutex
	members    map[string][]string // by data centre, sorted
	home       map[string]string   // data centre of each instance
	live       map[string]bool
}

func newPlaces(options Options) *places {
	p := &places{
		self:       options.Name,
		dataCentre: options.DataCentre,
		members:    make(map[string][]string),
		home:       make(map[string]string),
		live:       make(map[string]bool),
	}
	p.add(options.Name, options.DataCentre)
	p.live[options.Name] = true
	for _, peer := range options.Peers {
		p.add(peer.Name, peer.DataCentre)
	}
	return p
}

func (p *places) add(instance, dataCentre string) {
	p.members[dataCentre] = append(p.members[dataCentre], instance)
	slices.Sort(p.members[dataCentre])
	p.home[instance] = dataCentre
}

// agreed returns the agreed members of a data centre in a stable order.
func (p *places) agreed(dataCentre string) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Clone(p.members[dataCentre])
}

// owner returns the instance that owns a job ID; false for an unknown data centre.
func (p *places) owner(id structs.JobID, dataCentre string) (string, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	members := p.members[dataCentre]
	if len(members) == 0 {
		return "", false
	}
	return claims.Owner(members, claims.Partition(id)), true
}

// manager returns the live instance that manages a target's slots.
func (p *places) manager(targetID string) string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var live []string
	for _, member := range p.members[p.dataCentre] {
		if p.live[member] {
			live = append(live, member)
		}
	}
	return claims.Manager(live, targetID)
}

// setLive records whether there is a link to an instance.
func (p *places) setLive(instance string, live bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live[instance] = live
}

// isNeighbour reports whether an instance serves the own data centre.
func (p *places) isNeighbour(instance string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return instance != p.self && p.home[instance] == p.dataCentre
}
