package dispatch

import "slices"

// peer is another entry instance of the data centre.
type peer struct {
	name     string
	free     int // free slots it offers, less those asked for since
	total    int // usable slots it manages; 0 if it does not say
	maxCores float64
	maxMB    int64
	targets  int
	ejected  int
	asked    map[string]*loanRequest // open requests to the peer, by class
	refusals map[string]*refusal     // requests that brought nothing, by class
}

// Capacity is what this instance tells its peers about the slots it manages.
type Capacity struct {
	Free     int     // free slots that it would lend
	Total    int     // usable slots
	MaxCores float64 // largest slot; 0 is unlimited
	MaxMB    int64
	Targets  int // targets it manages
	Ejected  int // ejected ones of them
}

// Capacity returns the figures that peers receive as PeerCapacityUpdated.
func (c *Core) Capacity() Capacity {
	o := Capacity{
		Total: c.fleet.total, Free: c.fleet.free, Targets: len(c.fleet.targets), Ejected: len(c.fleet.ejected),
	}
	if c.saturated {
		o.Free = 0
	}
	cores, mb := false, false
	for _, p := range c.fleet.pools {
		if p.members == 0 {
			continue
		}
		cores = cores || p.key.cores == 0
		mb = mb || p.key.mb == 0
		o.MaxCores = max(o.MaxCores, p.key.cores)
		o.MaxMB = max(o.MaxMB, p.key.mb)
	}
	if cores {
		o.MaxCores = 0
	}
	if mb {
		o.MaxMB = 0
	}
	return o
}

func (c *Core) peerSlots(e *PeerCapacityUpdated) {
	p := c.peer(e.Peer)
	if p == nil {
		p = &peer{name: e.Peer, asked: make(map[string]*loanRequest), refusals: make(map[string]*refusal)}
		c.peers = append(c.peers, p)
		c.exchanged += float64(e.Free)
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
		cl.asks = slices.DeleteFunc(cl.asks, func(a *loanAsk) bool { return a.peer == name })
	}
	c.dropHeld(name)
	// In a fixed order, because it decides how the targets are filed.
	for _, id := range c.ManagedTargets() {
		c.endLoans(c.fleet.targets[id], func(l *lentSlot) bool { return l.peer == name })
	}
	c.splitQuotas()
}
