package dispatch

import (
	"time"

	"hawthornshore.example/structs"
)

const (
	// requestTimeout is how long an unanswered request blocks further ones to
	// the same peer for the same class.
	requestTimeout = 1 * time.Second
	// speculativeMinWait is how long work must have waited before a request
	// goes to a peer without free slots, which queues it with its own work.
	speculativeMinWait = 5 * time.Millisecond
	// speculativeInterval is the minimum time between such requests of a class.
	speculativeInterval = 5 * time.Millisecond
	// speculativeSlots bounds such a request, or half the peer's surplus if larger.
	speculativeSlots = 4
	// minRequestBackoff is how long no such request for the class goes to a peer
	// that granted nothing; it doubles up to maxRequestBackoff.
	minRequestBackoff = 1 * time.Second
	maxRequestBackoff = 8 * time.Second
	// maxRequestSlots bounds the slots in one request.
	maxRequestSlots = 64
)

// outgoingRequest is an unanswered request to a peer.
type outgoingRequest struct {
	count  int
	sentAt time.Duration
}

// requestBackoff is the backoff after requests that were granted nothing.
type requestBackoff struct {
	delay time.Duration
	until time.Duration
}

// borrow requests slots from peers for waiting work. Open requests count as
// slots, so that no slot is requested twice for a task.
func (c *Core) borrow() {
	if !c.leaseHeld || len(c.peers) == 0 {
		return
	}
	for _, cl := range c.ranked {
		if len(cl.active) == 0 {
			continue
		}
		need := cl.waiting - c.requestedSlots(cl)
		for need > 0 {
			p := c.bestPeer(cl)
			if p == nil {
				break
			}
			count := min(need, p.free, maxRequestSlots)
			p.free -= count
			c.sendRequest(p, cl, count)
			need -= count
		}
		if need > 0 {
			c.requestSpeculatively(cl, need)
		}
	}
}

// requestedSlots returns the slots in open requests of the class.
func (c *Core) requestedSlots(cl *class) int {
	sum := 0
	for _, p := range c.peers {
		r := p.requests[cl.spec.Name]
		if r == nil {
			continue
		}
		if c.now-r.sentAt > requestTimeout {
			delete(p.requests, cl.spec.Name)
			continue
		}
		sum += r.count
	}
	return sum
}

// bestPeer returns the peer with the most free slots among those without an open
// request of the class, or nil.
func (c *Core) bestPeer(cl *class) *peer {
	var best *peer
	for _, p := range c.peers {
		if p.free > 0 && p.requests[cl.spec.Name] == nil && (best == nil || p.free > best.free) {
			best = p
		}
	}
	return best
}

// requestSpeculatively requests slots for old work from a random peer, free or not,
// so that instances with few targets don't fall behind.
func (c *Core) requestSpeculatively(cl *class, need int) {
	oldest := cl.nextJob()
	if oldest == nil || c.now-oldest.enqueuedAt < speculativeMinWait || c.now-cl.lastSpeculative < speculativeInterval {
		return
	}
	p := c.peers[c.rng.IntN(len(c.peers))]
	if p.requests[cl.spec.Name] != nil || c.now < p.backoffUntil(cl.spec.Name) {
		return
	}
	cl.lastSpeculative = c.now
	c.sendRequest(p, cl, min(need, max(speculativeSlots, (p.total-c.fleet.total)/2)))
}

func (c *Core) sendRequest(p *peer, cl *class, count int) {
	p.requests[cl.spec.Name] = &outgoingRequest{count: count, sentAt: c.now}
	r := RequestSlots{Peer: p.name, Class: cl.spec.Name, Count: count}
	if j := cl.nextJob(); j != nil {
		r.MinCores, r.MinMB = largestTask(j.spec.Tasks)
		r.Waited = c.now - j.enqueuedAt
	}
	c.emit(r)
}

func largestTask(tasks []structs.Task) (cores float64, mb int64) {
	for i := range tasks {
		cores = max(cores, tasks[i].DeclaredCores)
		mb = max(mb, tasks[i].DeclaredMB)
	}
	return cores, mb
}

// slotsGranted starts waiting tasks on a peer's loans, of the requesting class if
// it is configured, and holds or returns the rest.
func (c *Core) slotsGranted(e *SlotsGranted) {
	if p := c.peer(e.Peer); p != nil {
		if e.Class == "" {
			clear(p.requests)
		}
		delete(p.requests, e.Class)
		p.updateBackoff(e.Class, len(e.Slots), c.now)
	}
	for i := range e.Slots {
		loan := &e.Slots[i]
		if c.sinceBase(loan.Expires) > c.now && c.useLoan(e, loan) {
			continue
		}
		c.holdLoan(e, loan)
	}
}

func (p *peer) backoffUntil(class string) time.Duration {
	if r := p.backoffs[class]; r != nil {
		return r.until
	}
	return 0
}

// updateBackoff doubles the backoff after an empty grant and resets it after a loan.
func (p *peer) updateBackoff(class string, slots int, now time.Duration) {
	if slots > 0 {
		delete(p.backoffs, class)
		return
	}
	r := p.backoffs[class]
	if r == nil {
		r = &requestBackoff{delay: minRequestBackoff / 2}
		p.backoffs[class] = r
	}
	r.delay = min(2*r.delay, maxRequestBackoff)
	r.until = now + r.delay
}

// useLoan starts a waiting task on a loan.
func (c *Core) useLoan(e *SlotsGranted, loan *SlotLoan) bool {
	if !c.leaseHeld || c.opts.Policy != PolicyHawthorn {
		return false
	}
	if cl := c.classes[e.Class]; cl != nil {
		return c.startOnLoan(cl, e.Peer, loan)
	}
	for _, cl := range c.ranked {
		if c.startOnLoan(cl, e.Peer, loan) {
			return true
		}
	}
	return false
}

func (c *Core) startOnLoan(cl *class, lender string, loan *SlotLoan) bool {
	for j := cl.nextJob(); j != nil; j = cl.nextJob() {
		i := j.nextWaiting()
		if !fits(loan.Cores, loan.MB, &j.spec.Tasks[i]) {
			return false
		}
		if c.mayStart(j, i) {
			c.borrowed++
			c.start(j, i, slot{ref: &loan.Target, peer: lender})
			return true
		}
	}
	return false
}
