package server

import (
	"slices"
	"sync"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// directory knows which instances serve which data centre: the agreed members,
// which decide who owns a job ID, and the live ones, which decide who manages a
// target's slots. It is safe for concurrent use.
type directory struct {
	self       string
	dataCentre string
	mu         sync.RWMutex
	members    map[string][]string // agreed, by data centre, sorted
	home       map[string]string   // data centre of each instance
	live       map[string]bool
	draining   map[string]bool
	states     map[string]operatorapi.MemberState
	// incarnations and beats are what the links told of each peer.
	incarnations map[string]string
	beats        map[string]beat
}

func newDirectory(options Options) *directory {
	p := &directory{
		self:       options.Name,
		dataCentre: options.DataCentre,
		members:    make(map[string][]string),
		home:       make(map[string]string),
		live:       make(map[string]bool),
		draining:   make(map[string]bool),
		states:     map[string]operatorapi.MemberState{options.Name: operatorapi.MemberAlive},

		incarnations: make(map[string]string),
		beats:        make(map[string]beat),
	}
	p.add(options.Name, options.DataCentre)
	p.live[options.Name] = true
	for _, peer := range options.Peers {
		p.add(peer.Name, peer.DataCentre)
	}
	return p
}

func (p *directory) add(instance, dataCentre string) {
	p.members[dataCentre] = append(p.members[dataCentre], instance)
	slices.Sort(p.members[dataCentre])
	p.home[instance] = dataCentre
}

// agreed returns the agreed members of a data centre in a stable order.
func (p *directory) agreed(dataCentre string) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Clone(p.members[dataCentre])
}

// agree takes the agreed members of a data centre.
func (p *directory) agree(dataCentre string, members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(members) > 0 {
		p.members[dataCentre] = slices.Clone(members)
	}
}

// owner returns the instance that owns a job ID; false for an unknown data centre.
func (p *directory) owner(id structs.JobID, dataCentre string) (string, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	members := p.members[dataCentre]
	if len(members) == 0 {
		return "", false
	}
	return claims.Owner(members, claims.Partition(id)), true
}

// manager returns the live instance that manages a target's slots.
func (p *directory) manager(targetID string) string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var live []string
	for instance, centre := range p.home {
		if centre == p.dataCentre && p.live[instance] && !p.draining[instance] {
			live = append(live, instance)
		}
	}
	if len(live) == 0 {
		// The last instance of a data centre finishes its jobs while it drains.
		return p.self
	}
	return claims.Manager(live, targetID)
}

// setLive records whether an instance is alive, and reports whether that has
// changed.
func (p *directory) setLive(instance string, live bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.live[instance] != live
	p.live[instance] = live
	if live {
		p.states[instance] = operatorapi.MemberAlive
	}
	return changed
}

// suspect records that an instance does not answer. It still counts as alive.
func (p *directory) suspect(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[instance] = operatorapi.MemberSuspect
}

// lost records whether an instance that is not alive has left gracefully.
func (p *directory) lost(instance string, left bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[instance] = operatorapi.MemberDead
	if left {
		p.states[instance] = operatorapi.MemberLeft
	}
}

// state returns what operators are told of an instance.
func (p *directory) state(instance string) operatorapi.MemberState {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if state, ok := p.states[instance]; ok {
		return state
	}
	return operatorapi.MemberDead
}

// setDraining records whether an instance is about to stop, and reports whether
// that has changed.
func (p *directory) setDraining(instance string, draining bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.draining[instance] != draining
	p.draining[instance] = draining
	return changed
}

// newIncarnation records the process behind a link, and reports whether another
// process of the instance was known before.
func (p *directory) newIncarnation(instance, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.incarnations[instance]
	p.incarnations[instance] = incarnation
	return before != "" && before != incarnation
}

// incarnation returns the process behind the link to an instance.
func (p *directory) incarnation(instance string) string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.incarnations[instance]
}

// beat is the last heartbeat of a peer.
type beat struct {
	at      time.Time
	message *wire.Heartbeat
}

// heard records a heartbeat.
func (p *directory) heard(instance string, message *wire.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats[instance] = beat{at: time.Now(), message: message}
}

// lastBeat returns the last heartbeat of a peer.
func (p *directory) lastBeat(instance string) (beat, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	b, ok := p.beats[instance]
	return b, ok
}

// isNeighbour reports whether an instance serves the own data centre.
func (p *directory) isNeighbour(instance string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return instance != p.self && p.home[instance] == p.dataCentre
}
