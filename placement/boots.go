package placement

// maxEndedBoots bounds the number of boots that are known to be over.
const maxEndedBoots = 4096

// boot identifies a boot of a target.
type boot struct {
	target     string
	bootUnixMS int64
}

// bootSet is a set of the boots that were added last.
type bootSet struct {
	known map[boot]bool
	order []boot
}

func (s *bootSet) add(target string, bootUnixMS int64) {
	b := boot{target, bootUnixMS}
	if bootUnixMS == 0 || s.known[b] {
		return
	}
	if s.known == nil {
		s.known = map[boot]bool{}
	}
	if len(s.order) == maxEndedBoots {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	s.known[b] = true
	s.order = append(s.order, b)
}

func (s *bootSet) has(target string, bootUnixMS int64) bool { return s.known[boot{target, bootUnixMS}] }

// heartbeatOfOtherBoot polls a target whose heartbeat names another boot than the one
// in use. Either may be the later one: heartbeats arrive late, and the times of
// boots are not comparable after a step of the target's time of day. The boot that
// responds is.
func (c *Core) heartbeatOfOtherBoot(t *target, d Description) {
	t.otherBoot = &d
	if t.bootPoll != 0 {
		return
	}
	o := PollOrder{Target: TargetRef{ID: d.ID, Address: d.Address}, Token: t.token, Timeout: orderTimeout}
	o.Order = c.newOrder(&order{kind: bootPollOrder, target: t, token: t.token, bootUnixMS: d.BootUnixMS, sentAt: c.now})
	t.bootPoll = o.Order
	c.emit(o)
}

// bootPollResponse processes the response to a poll of heartbeatOfOtherBoot. Its
// address may be that of an earlier boot, which another target may have by now.
func (c *Core) bootPollResponse(t *target, o *order, e OrderResponse) {
	t.bootPoll = 0
	switch {
	case e.Result == OtherBoot, e.BootUnixMS != 0 && e.BootUnixMS == t.BootUnixMS:
		c.endedBoots.add(t.ID, o.bootUnixMS)
		if t.otherBoot != nil && t.otherBoot.BootUnixMS == o.bootUnixMS {
			t.otherBoot = nil
		}
		if e.Result == Fenced && o.token == t.token {
			c.targetFenced(t)
		}
	case e.BootUnixMS != 0 && t.BootUnixMS != 0:
		c.otherBootResponded(t, e.BootUnixMS)
	}
}

// otherBootResponded ends the boot in use: a later one has responded. That boot is
// taken over at once if its heartbeat is known.
func (c *Core) otherBootResponded(t *target, bootUnixMS int64) {
	if d := t.otherBoot; d != nil && d.BootUnixMS == bootUnixMS {
		c.targetRestarted(t, *d)
		return
	}
	c.endedBoots.add(t.ID, t.BootUnixMS)
	c.dropTarget(t, "response from another boot", bootOver)
}
