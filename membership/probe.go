package membership

import "time"

// probe is the outstanding direct or indirect ping of one member.
type probe struct {
	member    string
	sequence  uint64
	sentAt    time.Time
	indirect  bool // the indirect probe was sent
	contacted bool // acknowledged, or other contact since sentAt
}

// runDueChecks runs the checks that are due.
func (c *Core) runDueChecks() {
	if c.self.Status != Alive {
		return
	}
	c.expireSuspects()
	c.pruneRemoved()
	if p := c.probe; p != nil && !p.contacted && !p.indirect && c.now.Sub(p.sentAt) >= ackTimeout {
		c.probeIndirectly(p)
	}
	if !c.probeAt.After(c.now) {
		c.endProbe()
		c.beginProbe()
	}
}

// endProbe suspects the probed member if there was no contact since the probe.
func (c *Core) endProbe() {
	p := c.probe
	c.probe = nil
	if p == nil || p.contacted {
		return
	}
	m := c.members[p.member]
	if m == nil || m.Status != Alive || !m.lastContact.Before(p.sentAt) {
		return
	}
	c.mergeAndGossip(Update{Name: m.Name, Incarnation: m.Incarnation, Status: Suspect})
}

func (c *Core) beginProbe() {
	c.probeAt = c.now.Add(ProbeInterval)
	c.probeDead()
	name := c.nextMember()
	if name == "" {
		return
	}
	if !c.synced {
		c.send(name, Message{Kind: SyncRequest})
	}
	c.sequence++
	c.probe = &probe{member: name, sequence: c.sequence, sentAt: c.now}
	c.send(name, Message{Kind: Ping, Sequence: c.sequence})
}

// nextMember returns the member to probe. Urgent members come first. Of up to
// maxProbeCandidates others it returns the first without contact within the last
// ProbeInterval, or else the last one.
func (c *Core) nextMember() string {
	for len(c.urgent) > 0 {
		name := c.urgent[0]
		c.urgent = c.urgent[1:]
		if m := c.members[name]; m != nil && m.live() {
			return name
		}
	}
	// maxProbeCandidates limits the members that are considered for one probe, so
	// that the work does not grow with the number of members.
	const maxProbeCandidates = 4
	name := ""
	for range min(maxProbeCandidates, len(c.probeOrder)) {
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
	if m := c.members[p.member]; m != nil && !m.lastContact.Before(p.sentAt) {
		p.contacted = true
		return
	}
	first := c.rng.IntN(max(1, len(c.probeOrder)))
	sent := 0
	for i := 0; i < len(c.probeOrder) && sent < indirectProbes; i++ {
		via := c.probeOrder[(first+i)%len(c.probeOrder)]
		if via == p.member {
			continue
		}
		c.send(via, Message{Kind: PingRequest, Subject: p.member, Sequence: p.sequence})
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
	if len(c.recentlyRemoved) == 0 || c.now.Before(c.probeDeadAt) {
		return
	}
	c.probeDeadAt = c.now.Add(deadProbeInterval)
	d := c.recentlyRemoved[c.rng.IntN(len(c.recentlyRemoved))]
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

// pruneRemoved deletes members that died or left more than removedRetention ago.
func (c *Core) pruneRemoved() {
	for len(c.recentlyRemoved) > 0 && c.now.Sub(c.recentlyRemoved[0].at) >= removedRetention {
		name := c.recentlyRemoved[0].name
		c.recentlyRemoved = c.recentlyRemoved[1:]
		if m := c.members[name]; m != nil && !m.live() {
			delete(c.members, name)
		}
	}
}

// leave sends the departure to at most leaveMessages random members, which gossip
// it. A member that is drawn repeatedly is sent it repeatedly.
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
