package dispatch

import "time"

// maxLoanHold is how long a loan granted too late is kept for the next task of
// its class. Returning it at once would waste the request, the grant and the
// return; at hundreds of starts per second it is mostly used within this time.
const maxLoanHold = 80 * time.Millisecond

// heldLoan is a loan from a peer that no task uses yet.
type heldLoan struct {
	loan  *SlotLoan
	peer  string
	class *class
	timer timer
	ended bool
}

// holdLoan keeps a loan for a short time if a task of its class may use it, and
// returns it otherwise.
func (c *Core) holdLoan(e *SlotsGranted, loan *SlotLoan) {
	cl := c.classes[e.Class]
	until := min(c.now+maxLoanHold, c.sinceBase(loan.Expires))
	if cl == nil || until <= c.now || !c.leaseHeld || c.opts.Policy != PolicyHawthorn {
		c.emit(ReturnSlot{Peer: e.Peer, TargetID: loan.Target.TargetID, Class: e.Class})
		return
	}
	h := &heldLoan{loan: loan, peer: e.Peer, class: cl}
	h.timer.fire = func(c *Core) {
		h.ended = true
		c.emit(ReturnSlot{Peer: h.peer, TargetID: h.loan.Target.TargetID, Class: cl.spec.Name})
	}
	c.timers.set(&h.timer, until)
	cl.heldLoans = append(cl.heldLoans, h)
}

// startOnHeldLoans starts waiting tasks of a class on its held loans.
func (c *Core) startOnHeldLoans(cl *class) {
	for len(cl.heldLoans) > 0 {
		h := cl.heldLoans[0]
		if !h.ended && !c.startOnLoan(cl, h.peer, h.loan) {
			return
		}
		c.timers.stop(&h.timer)
		cl.heldLoans[0] = nil
		cl.heldLoans = cl.heldLoans[1:]
	}
}

// dropHeldLoans drops the held loans of an unreachable peer.
func (c *Core) dropHeldLoans(peer string) {
	for _, cl := range c.ranked {
		for _, h := range cl.heldLoans {
			if h.peer == peer {
				h.ended = true
				c.timers.stop(&h.timer)
			}
		}
	}
}
