package dispatch

import (
	"slices"
	"time"

	"hawthornshore.example/structs"
)

const (
	// maxRequestHold is how long a peer's request waits for a slot before it is
	// answered with none. It is below requestTimeout, after which the peer may send
	// another request.
	maxRequestHold = 200 * time.Millisecond
	// loanMismatchAge is the age from which a loan may be ended when the target
	// announces fewer running attempts than slots counted as used. It is ten times
	// structs.SlotLease, so the borrower can no longer begin a start on the loan.
	loanMismatchAge = 5 * time.Second
	// loanMismatchCount is the number of such announcements in a row after which
	// loans are ended. A single one may have been sent before a start on the loan.
	loanMismatchCount = 3
)

// incomingRequest is a peer's unanswered request for slots. It is answered once:
// with the slots of the first step that has any, or with none.
type incomingRequest struct {
	peer         string
	class        *class
	count        int
	minSize      structs.Task // of the slots; only the declared cores and MB are set
	receivedAt   time.Duration
	waitingSince time.Duration // start of the wait of the peer's oldest task
	granted      []SlotLoan
}

// loan is the lender's record of a slot of a managed target that a peer holds.
type loan struct {
	peer   string
	class  *class
	lentAt time.Duration
}

func (c *Core) slotsRequested(e *SlotsRequested) {
	cl := c.classes[e.Class]
	if cl == nil || e.Count <= 0 || c.opts.Policy != PolicyHawthorn {
		c.emit(GrantSlots{Peer: e.Peer, Class: e.Class})
		return
	}
	r := &incomingRequest{peer: e.Peer, class: cl, count: e.Count, receivedAt: c.now, waitingSince: c.now - e.Waited}
	r.minSize.DeclaredCores, r.minSize.DeclaredMB = e.MinCores, e.MinMB
	i := len(cl.incomingRequests)
	for i > 0 && cl.incomingRequests[i-1].waitingSince > r.waitingSince {
		i--
	}
	cl.incomingRequests = slices.Insert(cl.incomingRequests, i, r)
	c.openIncomingRequests++
}

// lend grants a free slot to a peer's request, or returns false if no target has a
// slot for it. A loan of an ejected target counts as its probe.
func (c *Core) lend(cl *class, r *incomingRequest) bool {
	t := c.fleet.pick(cl.spec.Name, &r.minSize, c.hasWaited(cl, r.waitingSince), c.rng)
	if t == nil {
		return false
	}
	if t.ejected {
		t.probing = true
	}
	t.loans = append(t.loans, loan{peer: r.peer, class: cl, lentAt: c.now})
	cl.usage++
	c.lent++
	c.refreshTarget(t)
	r.granted = append(r.granted, SlotLoan{
		Target: *t.ref, Expires: c.base.Add(c.now + structs.SlotLease), Cores: t.ann.Cores, MB: t.ann.MB,
	})
	if len(r.granted) == r.count {
		c.answerRequest(cl, 0)
	}
	return true
}

// answerRequest answers the i-th request of a class with the slots granted to it.
func (c *Core) answerRequest(cl *class, i int) {
	r := cl.incomingRequests[i]
	cl.incomingRequests = append(cl.incomingRequests[:i], cl.incomingRequests[i+1:]...)
	c.openIncomingRequests--
	c.emit(GrantSlots{Peer: r.peer, Class: cl.spec.Name, Slots: r.granted})
}

// answerDueRequests answers the requests that were granted slots in this step and,
// with no slots, those that have waited for maxRequestHold.
func (c *Core) answerDueRequests() {
	if c.openIncomingRequests == 0 {
		return
	}
	for _, cl := range c.ranked {
		for i := 0; i < len(cl.incomingRequests); {
			if len(cl.incomingRequests[i].granted) > 0 || c.now-cl.incomingRequests[i].receivedAt >= maxRequestHold {
				c.answerRequest(cl, i)
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
	c.endLoans(t, func(l *loan) bool {
		match := !ended && l.peer == e.Peer && (e.Class == "" || l.class.spec.Name == e.Class)
		ended = ended || match
		return match
	})
	cl := c.classes[e.Class]
	if !ended || cl == nil {
		return
	}
	result := attemptResult{ran: e.RunMS > 0 || e.Failed, failed: e.Failed, runMS: e.RunMS}
	if e.Busy {
		result.refused = RefusedBusy
	}
	c.recordResult(t, cl, result)
	if e.RunMS > 0 && !e.Failed {
		cl.runtimes.record(e.RunMS)
	}
	c.refreshTarget(t)
}

// endLoans ends the matching loans of a target.
func (c *Core) endLoans(t *target, match func(*loan) bool) {
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
	c.refreshTarget(t)
}

// reconcile compares the slots counted as used with the number of attempts that
// the target announces. Attempts started by an earlier manager count until they
// end; the oldest loans in excess are ended, as their returns were lost.
func (c *Core) reconcile(t *target, running int) {
	t.foreign = min(t.foreign, max(0, running-t.used-len(t.loans)))
	if t.used+len(t.loans) <= running || len(t.loans) == 0 {
		t.loanMismatches = 0
		return
	}
	t.loanMismatches++
	excess := t.used + len(t.loans) - running
	if t.loanMismatches < loanMismatchCount {
		return
	}
	c.endLoans(t, func(l *loan) bool {
		stale := excess > 0 && c.now-l.lentAt >= loanMismatchAge
		if stale {
			excess--
		}
		return stale
	})
}
