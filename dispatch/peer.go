package dispatch

import "slices"

// peer is another entry instance of the data centre.
type peer struct {
	name     string
	free     int // free slots it announced, less those requested since
	total    int // usable slots it manages; 0 if not given
	maxCores float64
	maxMB    int64
	targets  int
	ejected  int
	requests map[string]*outgoingRequest // open requests to the peer, by class
	backoffs map[string]*requestBackoff  // after requests granted nothing, by class
}

// Capacity describes the slots that this instance manages, for its peers.
type Capacity struct {
	Free     int     // free slots that it can lend
	Total    int     // usable slots
	MaxCores float64 // largest slot; 0 is unlimited
	MaxMB    int64
	Targets  int // targets it manages
	Ejected  int // ejected ones of them
}

// Capacity returns the values that peers process as PeerCapacityUpdated.
func (c *Core) Capacity() Capacity {
	capacity := Capacity{
		Total: c.fleet.total, Free: c.fleet.free, Targets: len(c.fleet.targets), Ejected: len(c.fleet.ejected),
	}
	if c.saturated {
		capacity.Free = 0
	}
	anyCores, anyMB := false, false
	for _, p := range c.fleet.pools {
		if p.managed == 0 {
			continue
		}
		anyCores = anyCores || p.key.cores == 0
		anyMB = anyMB || p.key.mb == 0
		capacity.MaxCores = max(capacity.MaxCores, p.key.cores)
		capacity.MaxMB = max(capacity.MaxMB, p.key.mb)
	}
	if anyCores {
		capacity.MaxCores = 0
	}
	if anyMB {
		capacity.MaxMB = 0
	}
	return capacity
}

func (c *Core) peerCapacityUpdated(e *PeerCapacityUpdated) {
	p := c.peer(e.Peer)
	if p == nil {
		p = &peer{name: e.Peer, requests: make(map[string]*outgoingRequest), backoffs: make(map[string]*requestBackoff)}
		c.peers = append(c.peers, p)
		c.peerBalance += float64(e.Free)
		c.splitQuotas()
	}
	p.free, p.total = e.Free, e.Total
	p.maxCores, p.maxMB = e.MaxCores, e.MaxMB
	p.targets, p.ejected = e.Targets, e.Ejected
}

func (c *Core) peer(name string) *peer {
	for _, p := range c.peers {
		if p.name == name {
			return p
		}
	}
	return nil
}

// peerLost ends the loans and requests between this instance and the peer.
func (c *Core) peerLost(name string) {
	c.peers = slices.DeleteFunc(c.peers, func(p *peer) bool { return p.name == name })
	for _, cl := range c.ranked {
		cl.incomingRequests = slices.DeleteFunc(cl.incomingRequests, func(r *incomingRequest) bool { return r.peer == name })
	}
	c.dropHeldLoans(name)
	// Sorted: the order decides the targets' positions in their buckets.
	for _, id := range c.ManagedTargets() {
		c.endLoans(c.fleet.targets[id], func(l *loan) bool { return l.peer == name })
	}
	c.splitQuotas()
}
