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

// directory holds the instances of each data centre. The agreed members determine
// the owner of a job ID, the live instances the slot manager of a target. It is
// safe for concurrent use.
type directory struct {
	self               string
	dataCentre         string
	mu                 sync.RWMutex
	members            map[string][]string // agreed, by data centre, sorted
	instanceDataCentre map[string]string   // data centre of each instance
	live               map[string]bool
	draining           map[string]bool
	memberStates       map[string]operatorapi.MemberState
	// incarnations and heartbeats are the latest received from each peer.
	incarnations map[string]string
	heartbeats   map[string]peerHeartbeat
}

func newDirectory(options Options) *directory {
	d := &directory{
		self:               options.Name,
		dataCentre:         options.DataCentre,
		members:            make(map[string][]string),
		instanceDataCentre: make(map[string]string),
		live:               make(map[string]bool),
		draining:           make(map[string]bool),
		memberStates:       map[string]operatorapi.MemberState{options.Name: operatorapi.MemberAlive},

		incarnations: make(map[string]string),
		heartbeats:   make(map[string]peerHeartbeat),
	}
	d.add(options.Name, options.DataCentre)
	d.live[options.Name] = true
	for _, peer := range options.Peers {
		d.add(peer.Name, peer.DataCentre)
	}
	return d
}

func (d *directory) add(instance, dataCentre string) {
	d.members[dataCentre] = append(d.members[dataCentre], instance)
	slices.Sort(d.members[dataCentre])
	d.instanceDataCentre[instance] = dataCentre
}

// agreedMembers returns the agreed members of a data centre in a stable order.
func (d *directory) agreedMembers(dataCentre string) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Clone(d.members[dataCentre])
}

// setAgreedMembers replaces the agreed members of a data centre.
func (d *directory) setAgreedMembers(dataCentre string, members []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(members) > 0 {
		d.members[dataCentre] = slices.Clone(members)
	}
}

// owner returns the instance that owns a job ID; false for an unknown data centre.
func (d *directory) owner(id structs.JobID, dataCentre string) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	members := d.members[dataCentre]
	if len(members) == 0 {
		return "", false
	}
	return claims.Owner(members, claims.Partition(id)), true
}

// manager returns the live instance that manages a target's slots.
func (d *directory) manager(targetID string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var live []string
	for instance, centre := range d.instanceDataCentre {
		if centre == d.dataCentre && d.live[instance] && !d.draining[instance] {
			live = append(live, instance)
		}
	}
	if len(live) == 0 {
		// The last instance of a data centre finishes its jobs while it drains.
		return d.self
	}
	return claims.Manager(live, targetID)
}

// setLive records whether an instance is alive, and reports whether that changed.
func (d *directory) setLive(instance string, live bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.live[instance] != live
	d.live[instance] = live
	if live {
		d.memberStates[instance] = operatorapi.MemberAlive
	}
	return changed
}

// setSuspect records that an instance is suspected. It still counts as alive.
func (d *directory) setSuspect(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memberStates[instance] = operatorapi.MemberSuspect
}

// setDown records that an instance is down, either dead or left gracefully.
func (d *directory) setDown(instance string, left bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memberStates[instance] = operatorapi.MemberDead
	if left {
		d.memberStates[instance] = operatorapi.MemberLeft
	}
}

// memberState returns the state of an instance for operators.
func (d *directory) memberState(instance string) operatorapi.MemberState {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if state, ok := d.memberStates[instance]; ok {
		return state
	}
	return operatorapi.MemberDead
}

// setDraining records whether an instance is draining, and reports whether that
// changed.
func (d *directory) setDraining(instance string, draining bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.draining[instance] != draining
	d.draining[instance] = draining
	return changed
}

// recordIncarnation records the incarnation of a linked instance, and reports
// whether it replaces a different one.
func (d *directory) recordIncarnation(instance, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.incarnations[instance]
	d.incarnations[instance] = incarnation
	return before != "" && before != incarnation
}

// incarnation returns the incarnation of the last link to an instance.
func (d *directory) incarnation(instance string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.incarnations[instance]
}

// peerHeartbeat is a received heartbeat.
type peerHeartbeat struct {
	receivedAt time.Time
	message    *wire.Heartbeat
}

func (d *directory) recordHeartbeat(instance string, message *wire.Heartbeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heartbeats[instance] = peerHeartbeat{receivedAt: time.Now(), message: message}
}

func (d *directory) lastHeartbeat(instance string) (peerHeartbeat, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	heartbeat, ok := d.heartbeats[instance]
	return heartbeat, ok
}

// isLocalPeer reports whether an instance is a peer in the local data centre.
func (d *directory) isLocalPeer(instance string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return instance != d.self && d.instanceDataCentre[instance] == d.dataCentre
}
