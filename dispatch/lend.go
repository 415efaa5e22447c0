package dispatch

import (
	"slices"
	"time"

	"hawthornshore.example/structs"
)

const (
	// askHold is how long a peer's request waits for a slot before it is
	// answered with none.
	askHold = 200 * time.Millisecond
	// loanDoubt is the age from which a loan is given up when the target's
	// announcements show that nothing runs on it.
	loanDoubt = 5 * time.Second
	// loanDoubtCount is the number of announcements in a row that must show it.
	loanDoubtCount = 3
)

// loanAsk is a peer's request for slots, until it is answered. It is answered
// once: with the slots of the first step that has any, or with none.
type loanAsk struct {
	peer    string
	class   *class
	count   int
	task    structs.Task // carries the least size of the slots
	at      time.Duration
	since   time.Duration // when the peer's task began to wait
	granted []SlotLoan
}

// lentSlot is a slot of a managed target that a peer holds.
type lentSlot struct {
	peer  string
	class *class
	at    time.Duration
}

func (c *Core) slotsRequested(e *SlotsRequested) {
	cl := c.classes[e.Class]
	if cl == nil || e.Count <= 0 || c.opts.Policy != PolicyHawthorn {
		c.emit(GrantSlots{Peer: e.Peer, Class: e.Class})
		return
	}
	a := &loanAsk{peer: e.Peer, class: cl, count: e.Count, at: c.now, since: c.now - e.Waited}
	a.task.DeclaredCores, a.task.DeclaredMB = e.MinCores, e.MinMB
	i := len(cl.asks)
	for i > 0 && cl.asks[i-1].since > a.since {
		i--
	}
	cl.asks = slices.Insert(cl.asks, i, a)
	c.asks++
}

// lend gives the next free slot to a peer's request. It reports false if no
// target has a slot for it.
func (c *Core) lend(cl *class, a *loanAsk) bool {
	t := c.fleet.pick(cl.spec.Name, &a.task, c.hasWaited(cl, a.since), c.rng)
	if t == nil {
		return false
	}
	if t.ejected {
		t.probing = true
	}
	t.loans = append(t.loans, lentSlot{peer: a.peer, class: cl, at: c.now})
	cl.usage++
	c.lent++
	c.refresh(t)
	a.granted = append(a.granted, SlotLoan{
		Target: *t.ref, Expires: c.base.Add(c.now + structs.SlotLease), Cores: t.ann.Cores, MB: t.ann.MB,
	})
	if len(a.granted) == a.count {
		c.answerAsk(cl, 0)
	}
	return true
}

// answerAsk answers the i-th request of a class with what it was granted.
func (c *Core) answerAsk(cl *class, i int) {
	a := cl.asks[i]
	cl.asks = append(cl.asks[:i], cl.asks[i+1:]...)
	c.asks--
	c.emit(GrantSlots{Peer: a.peer, Class: cl.spec.Name, Slots: a.granted})
}

// flushGrants answers the requests that were granted slots in this step and
// those that waited too long.
func (c *Core) flushGrants() {
	if c.asks == 0 {
		return
	}
	for _, cl := range c.ranked {
		for i := 0; i < len(cl.asks); {
			if len(cl.asks[i].granted) > 0 || c.now-cl.asks[i].at >= askHold {
				c.answerAsk(cl, i)
			} else {
				i++
			}
		}
	}
}

// slotReturned ends one loan of a target to a peer.
func (c *Core) slotReturned(e *SlotReturned) {
	t := c.fleet.targets[e.TargetID]
	if t == nil {
		return
	}
	ended := false
	c.endLoans(t, func(l *lentSlot) bool {
		match := !ended && l.peer == e.Peer && (e.Class == "" || l.class.spec.Name == e.Class)
		ended = ended || match
		return match
	})
	cl := c.classes[e.Class]
	if !ended || cl == nil {
		return
	}
	end := ending{ran: e.RunMS > 0 || e.Failed, failed: e.Failed, runMS: e.RunMS}
	if e.Busy {
		end.refused = RefusedBusy
	}
	c.observe(t, cl, end)
	if e.RunMS > 0 && !e.Failed {
		cl.runtimes.record(e.RunMS)
	}
	c.refresh(t)
}

// endLoans takes back the loans of a target that match.
func (c *Core) endLoans(t *target, match func(*lentSlot) bool) {
	kept := t.loans[:0]
	for i := range t.loans {
		if match(&t.loans[i]) {
			t.loans[i].class.usage--
			c.lent--
		} else {
			kept = append(kept, t.loans[i])
		}
	}
	if len(kept) == len(t.loans) {
		return
	}
	clear(t.loans[len(kept):])
	t.loans = kept
	c.refresh(t)
}

// reconcile compares the books with what the target says is running. Attempts
// that an earlier manager started are counted until they end; loans whose
// return was lost are given up.
func (c *Core) reconcile(t *target, running int) {
	t.foreign = min(t.foreign, max(0, running-t.used-len(t.loans)))
	if t.used+len(t.loans) <= running || len(t.loans) == 0 {
		t.doubts = 0
		return
	}
	t.doubts++
	excess := t.used + len(t.loans) - running
	if t.doubts < loanDoubtCount {
		return
	}
	c.endLoans(t, func(l *lentSlot) bool {
		stale := excess > 0 && c.now-l.at >= loanDoubt
		if stale {
			excess--
		}
		return stale
	})
}
