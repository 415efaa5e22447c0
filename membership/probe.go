package membership

import "time"

// probe is the question to one member in the current interval.
type probe struct {
	target   string
	sequence uint64
	sent     time.Time
	indirect bool // others were asked
	answered bool
}

// timers does what is due.
func (c *Core) timers() {
	if c.self.Status != Alive {
		return
	}
	c.expireSuspects()
	c.forgetDead()
	if p := c.probe; p != nil && !p.answered && !p.indirect && c.now.Sub(p.sent) >= ackTimeout {
		c.askOthers(p)
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
	if m == nil || m.Status != Alive || !m.heard.Before(p.sent) {
		return
	}
	c.apply(Update{Name: m.Name, Incarnation: m.Incarnation, Status: Suspect})
}

func (c *Core) beginProbe() {
	c.probeAt = c.now.Add(ProbeInterval)
	c.revive()
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

// nextTarget picks the member to probe, passing over some that were just heard.
func (c *Core) nextTarget() string {
	for len(c.urgent) > 0 {
		name := c.urgent[0]
		c.urgent = c.urgent[1:]
		if m := c.members[name]; m != nil && m.live() {
			return name
		}
	}
	const passOver = 4
	name := ""
	for range min(passOver, len(c.order)) {
		if c.next >= len(c.order) {
			c.next = 0
			c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
		}
		name = c.order[c.next]
		c.next++
		if c.now.Sub(c.members[name].heard) > ProbeInterval {
			break
		}
	}
	return name
}

func (c *Core) probeSoon(name string) {
	if len(c.urgent) < maxUrgent {
		c.urgent = append(c.urgent, name)
	}
}

// askOthers has the member probed over other paths.
func (c *Core) askOthers(p *probe) {
	p.indirect = true
	if m := c.members[p.target]; m != nil && !m.heard.Before(p.sent) {
		p.answered = true
		return
	}
	first := c.rng.IntN(max(1, len(c.order)))
	sent := 0
	for i := 0; i < len(c.order) && sent < indirectProbes; i++ {
		via := c.order[(first+i)%len(c.order)]
		if via == p.target {
			continue
		}
		c.send(via, Message{Kind: PingRequest, Subject: p.target, Sequence: p.sequence})
		sent++
	}
}

// tellSuspect lets a suspected member know, so that it can refute. Of all members
// that hear of the suspicion, about suspectNotices do so.
func (c *Core) tellSuspect(name string) {
	if c.rng.IntN(len(c.live)) < suspectNotices {
		c.send(name, Message{Kind: Ping})
	}
}

// revive probes one dead member from time to time.
func (c *Core) revive() {
	if len(c.recentlyDead) == 0 || c.now.Before(c.reviveAt) {
		return
	}
	c.reviveAt = c.now.Add(revivalInterval)
	b := c.recentlyDead[c.rng.IntN(len(c.recentlyDead))]
	if m := c.members[b.name]; m != nil && m.Status == Dead {
		c.send(b.name, Message{Kind: Ping})
	}
}

// expireSuspects holds members dead that have not refuted a suspicion in time.
func (c *Core) expireSuspects() {
	timeout := time.Duration(doublings(len(c.live))) * suspicionPerDoubling
	for len(c.suspects) > 0 && c.now.Sub(c.suspects[0].since) >= timeout {
		s := c.suspects[0]
		c.suspects = c.suspects[1:]
		if m := c.members[s.Name]; m != nil && m.Update == s.Update {
			c.apply(Update{Name: s.Name, Incarnation: s.Incarnation, Status: Dead})
		}
	}
}

func (c *Core) forgetDead() {
	for len(c.recentlyDead) > 0 && c.now.Sub(c.recentlyDead[0].at) >= deadRetention {
		name := c.recentlyDead[0].name
		c.recentlyDead = c.recentlyDead[1:]
		if m := c.members[name]; m != nil && !m.live() {
			delete(c.members, name)
		}
	}
}

// leave tells some members, who pass it on.
func (c *Core) leave() {
	if c.self.Status != Alive {
		return
	}
	c.self.Status = Left
	c.gossip.add(c.self)
	for range min(leaveMessages, len(c.order)) {
		c.send(c.order[c.rng.IntN(len(c.order))], Message{Kind: Ping})
	}
}
