package lease

// promiseRequestReceived promises not to take over from a member, unless this
// instance has a newer epoch than the member.
func (c *Core) promiseRequestReceived(e PromiseRequestReceived) {
	granted := e.Epoch >= c.view.Epoch
	if granted {
		end := c.now.Add(e.Duration + e.Duration/10)
		if end.After(c.givenPromises[e.Peer]) {
			c.givenPromises[e.Peer] = end
		}
	}
	c.emit(SendPromiseReply{Peer: e.Peer, Sequence: e.Sequence, Granted: granted, Epoch: c.view.Epoch})
	c.pruneGivenPromises()
}

// pruneGivenPromises deletes expired promises.
func (c *Core) pruneGivenPromises() {
	for peer, end := range c.givenPromises {
		if !c.now.Before(end) {
			delete(c.givenPromises, peer)
		}
	}
}

// promiseReplyReceived records a promise. An earlier process of the peer may have
// settled in a later epoch before a restart. The promises of a new process count
// only if they begin while the lease is held: until then neither the voters nor
// the earlier process can have let any instance take over.
func (c *Core) promiseReplyReceived(e PromiseReplyReceived) {
	if e.Epoch > c.view.Epoch {
		c.emit(FetchView{Peer: e.Peer})
	}
	start, ok := c.roundStart(e.Sequence)
	if !ok || !e.Granted || !c.view.Has(e.Peer) {
		return
	}
	p := c.receivedPromises[e.Peer]
	if p.incarnation != e.Incarnation && !c.held(c.now) {
		return
	}
	p.incarnation = e.Incarnation
	if start.After(p.roundStart) {
		p.roundStart = start
	}
	c.receivedPromises[e.Peer] = p
	c.extendByPromises()
}

// extendByPromises extends the lease if every other member has promised. A sole
// member needs the grant of the voters.
func (c *Core) extendByPromises() {
	earliest := c.now
	for _, m := range c.view.Members {
		if m.Name == c.opts.Instance {
			continue
		}
		p, ok := c.receivedPromises[m.Name]
		if !ok {
			return
		}
		if p.roundStart.Before(earliest) {
			earliest = p.roundStart
		}
	}
	if len(c.view.Members) > 1 {
		c.extend(earliest)
	}
}
