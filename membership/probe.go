package membership

import "time"

// probe is the probe of one member in the current interval.
type probe struct {
	target   string
	sequence uint64
	sent     time.Time
	indirect bool // the indirect probe was sent
	answered bool
}

// fireTimers runs the expired timers.
func (c *Core) fireTimers() {
	if c.self.Status != Alive {
		return
	}
	c.expireSuspects()
	c.pruneDead()
	if p := c.probe; p != nil && !p.answered && !p.indirect && c.now.Sub(p.sent) >= ackTimeout {
		c.probeIndirectly(p)
	}
	if !c.probeAt.After(c.now) {
		c.endProbe()
		c.beginProbe()
	}
}

// endProbe suspects the member that has not answered.
func (c *Core) endProbe() {
	p := c.probe
	c.probe = nil
	if p == nil || p.answered {
		return
	}
	m := c.members[p.target]
	if m == nil || m.Status != Alive || !m.lastContact.Before(p.sent) {
		return
	}
	c.mergeAndGossip(Update{Name: m.Name, Incarnation: m.Incarnation, Status: Suspect})
}

func (c *Core) beginProbe() {
	c.probeAt = c.now.Add(ProbeInterval)
	c.probeDead()
	target := c.nextTarget()
	if target == "" {
		return
	}
	if !c.synced {
		c.send(target, Message{Kind: SyncRequest})
	}
	c.sequence++
	c.probe = &probe{target: target, sequence: c.sequence, sent: c.now}
	c.send(target, Message{Kind: Ping, Sequence: c.sequence})
}

// nextTarget picks the member to probe. It skips some members with recent contact.
func (c *Core) nextTarget() string {
	for len(c.urgent) > 0 {
		name := c.urgent[0]
		c.urgent = c.urgent[1:]
		if m := c.members[name]; m != nil && m.live() {
			return name
		}
	}
	const maxSkipped = 4
	name := ""
	for range min(maxSkipped, len(c.probeOrder)) {
		if c.nextProbe >= len(c.probeOrder) {
			c.nextProbe = 0
			c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
		}
		name = c.probeOrder[c.nextProbe]
		c.nextProbe++
		if c.now.Sub(c.members[name].lastContact) > ProbeInterval {
			break
		}
	}
	return name
}

func (c *Core) queueUrgentProbe(name string) {
	if len(c.urgent) < maxUrgent {
		c.urgent = append(c.urgent, name)
	}
}

// probeIndirectly requests probes of the member from other members.
func (c *Core) probeIndirectly(p *probe) {
	p.indirect = true
	if m := c.members[p.target]; m != nil && !m.lastContact.Before(p.sent) {
		p.answered = true
		return
	}
	first := c.rng.IntN(max(1, len(c.probeOrder)))
	sent := 0
	for i := 0; i < len(c.probeOrder) && sent < indirectProbes; i++ {
		via := c.probeOrder[(first+i)%len(c.probeOrder)]
		if via == p.target {
			continue
		}
		c.send(via, Message{Kind: PingRequest, Subject: p.target, Sequence: p.sequence})
		sent++
	}
}

// pingSuspect sends a suspected member its status, so that it can refute it. Of all
// members that receive the suspicion, about suspectPings do so.
func (c *Core) pingSuspect(name string) {
	if c.rng.IntN(len(c.live)) < suspectPings {
		c.send(name, Message{Kind: Ping})
	}
}

// probeDead probes one dead member per deadProbeInterval.
func (c *Core) probeDead() {
	if len(c.recentlyDead) == 0 || c.now.Before(c.probeDeadAt) {
		return
	}
	c.probeDeadAt = c.now.Add(deadProbeInterval)
	d := c.recentlyDead[c.rng.IntN(len(c.recentlyDead))]
	if m := c.members[d.name]; m != nil && m.Status == Dead {
		c.send(d.name, Message{Kind: Ping})
	}
}

// expireSuspects declares members dead that have not refuted a suspicion in time.
func (c *Core) expireSuspects() {
	timeout := time.Duration(doublings(len(c.live))) * suspicionPerDoubling
	for len(c.suspects) > 0 && c.now.Sub(c.suspects[0].since) >= timeout {
		s := c.suspects[0]
		c.suspects = c.suspects[1:]
		if m := c.members[s.Name]; m != nil && m.Update == s.Update {
			c.mergeAndGossip(Update{Name: s.Name, Incarnation: s.Incarnation, Status: Dead})
		}
	}
}

func (c *Core) pruneDead() {
	for len(c.recentlyDead) > 0 && c.now.Sub(c.recentlyDead[0].at) >= deadRetention {
		name := c.recentlyDead[0].name
		c.recentlyDead = c.recentlyDead[1:]
		if m := c.members[name]; m != nil && !m.live() {
			delete(c.members, name)
		}
	}
}

// leave announces the leave to some members, which gossip it.
func (c *Core) leave() {
	if c.self.Status != Alive {
		return
	}
	c.self.Status = Left
	c.gossip.add(c.self)
	for range min(leaveMessages, len(c.probeOrder)) {
		c.send(c.probeOrder[c.rng.IntN(len(c.probeOrder))], Message{Kind: Ping})
	}
}
