package dispatch

import "time"

// loanHold is how long a loan that came too late is kept for the next task of
// its class. Returning it at once would waste the request, the grant and the
// return; with hundreds of starts per second it is mostly used within this time.
const loanHold = 80 * time.Millisecond

// heldLoan is a loan that no task uses yet.
type heldLoan struct {
	loan  *SlotLoan
	peer  string
	class *class
	timer timer
	ended bool
}

// hold keeps a loan for a while if a task of its class may use it, and returns
// it otherwise.
func (c *Core) hold(e *SlotsGranted, loan *SlotLoan) {
	cl := c.classes[e.Class]
	until := min(c.now+loanHold, c.since(loan.Expires))
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
	cl.held = append(cl.held, h)
}

// useHeld starts waiting tasks of a class on the loans it holds.
func (c *Core) useHeld(cl *class) {
	for len(cl.held) > 0 {
		h := cl.held[0]
		if !h.ended && !c.startOnLoan(cl, h.peer, h.loan) {
			return
		}
		c.timers.stop(&h.timer)
		cl.held[0] = nil
		cl.held = cl.held[1:]
	}
}

// dropHeld forgets the loans of a peer that is not reachable.
func (c *Core) dropHeld(peer string) {
	for _, cl := range c.ranked {
		for _, h := range cl.held {
			if h.peer == peer {
				h.ended = true
				c.timers.stop(&h.timer)
			}
		}
	}
}
