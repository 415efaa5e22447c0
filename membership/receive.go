package membership

import "time"

// send adds the sender's fields and pending updates to a message and sends it.
func (c *Core) send(to string, m Message) {
	m.From = c.opts.Instance
	m.Incarnation = c.self.Incarnation
	m.ClockUnixMS = c.now.UnixMilli()
	if m.Kind != Sync {
		m.Updates = c.updatesFor(to)
	}
	c.emit(Send{To: to, Message: m})
}

// updatesFor returns the receiver's status if it is not Alive, so that it can
// refute it, some recent changes, and some members in turn.
func (c *Core) updatesFor(to string) []Update {
	updates := make([]Update, 0, 1+updatesPerMessage+repeatsPerMessage)
	if m := c.members[to]; m != nil && m.Status != Alive {
		updates = append(updates, m.Update)
	}
	updates = c.gossip.take(updates, sendsPerDoubling*doublings(len(c.live)))
	for range min(repeatsPerMessage, len(c.probeOrder)) {
		c.lastRepeated = (c.lastRepeated + 1) % len(c.probeOrder)
		updates = append(updates, c.members[c.probeOrder[c.lastRepeated]].Update)
	}
	return updates
}

func (c *Core) messageReceived(m *Message) {
	if c.self.Status != Alive || m.From == c.opts.Instance {
		return
	}
	for _, u := range m.Updates {
		if m.Kind == Sync {
			c.merge(u) // not gossiped: other members have it already
			continue
		}
		c.mergeAndGossip(u)
	}
	if !c.senderLeft(m) {
		c.mergeAndGossip(Update{Name: m.From, Incarnation: m.Incarnation, Status: Alive})
	}
	c.recordContact(m.From)
	switch m.Kind {
	case Ping:
		c.send(m.From, Message{Kind: Ack, Sequence: m.Sequence, Requester: m.Requester})
	case PingRequest:
		c.send(m.Subject, Message{Kind: Ping, Sequence: m.Sequence, Requester: m.From})
	case Ack:
		c.ackReceived(m)
	case SyncRequest:
		c.send(m.From, Message{Kind: Sync, Updates: c.memberList()})
	case Sync:
		c.synced = true
	}
}

// senderLeft reports whether the message announces that its sender leaves.
func (c *Core) senderLeft(m *Message) bool {
	from := c.members[m.From]
	return from != nil && from.Status == Left && from.Incarnation >= m.Incarnation
}

func (c *Core) ackReceived(m *Message) {
	if m.Requester != "" && m.Requester != c.opts.Instance {
		c.send(m.Requester, Message{Kind: Ack, Sequence: m.Sequence, Subject: m.From})
		return
	}
	p := c.probe
	if p == nil || m.Sequence != p.sequence {
		return
	}
	if m.Subject == p.member {
		p.contacted = true
		return
	}
	if m.From == p.member {
		p.contacted = true
		c.readClock(p, m)
	}
}

// readClock compares the peer's clock with the middle of the round trip. After a
// long round trip, as after a pause of either process, that is too inexact.
func (c *Core) readClock(p *probe, m *Message) {
	roundTrip := c.now.Sub(p.sentAt)
	if roundTrip > ackTimeout {
		return
	}
	middle := p.sentAt.Add(roundTrip / 2)
	c.sampleClock(m.From, time.UnixMilli(m.ClockUnixMS).Sub(middle))
}

func (c *Core) recordContact(peer string) {
	if m := c.members[peer]; m != nil {
		m.lastContact = c.now
	}
}

// memberList returns the state of all live members, this instance included.
func (c *Core) memberList() []Update {
	updates := []Update{c.self}
	for _, name := range c.live {
		if m := c.members[name]; m != nil {
			updates = append(updates, m.Update)
		}
	}
	return updates
}
