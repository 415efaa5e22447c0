package dispatch

import (
	"time"

	"hawthornshore.example/structs"
)

const (
	// requestTimeout is how long an unanswered request keeps further ones to
	// the same peer for the same class back.
	requestTimeout = 1 * time.Second
	// blindAge is how long work must have waited before a peer that offers no
	// free slots is asked to take it into its own order of service.
	blindAge = 5 * time.Millisecond
	// blindInterval is the least time between two such requests for a class.
	blindInterval = 5 * time.Millisecond
	// blindSlots is the number of slots in such a request.
	blindSlots = 4
	// refusalPause is how long a peer that answered such a request with none is
	// not asked again for the class; it doubles up to maxRefusalPause.
	refusalPause    = 1 * time.Second
	maxRefusalPause = 8 * time.Second
	// maxRequest bounds the slots in one request.
	maxRequest = 64
)

// loanRequest is an open request to a peer.
type loanRequest struct {
	count int
	at    time.Duration
}

// refusal is the pause after requests that brought nothing.
type refusal struct {
	pause time.Duration
	until time.Duration
}

// borrow asks peers for slots for work that found no free one. Requests in
// flight count as slots, so that no task is asked for twice.
func (c *Core) borrow() {
	if !c.leaseHeld || len(c.peers) == 0 {
		return
	}
	for _, cl := range c.ranked {
		if len(cl.active) == 0 {
			continue
		}
		need := cl.waiting - c.requested(cl)
		for need > 0 {
			p := c.bestPeer(cl)
			if p == nil {
				break
			}
			count := min(need, p.free, maxRequest)
			p.free -= count
			c.request(p, cl, count)
			need -= count
		}
		if need > 0 {
			c.requestBlindly(cl, need)
		}
	}
}

// requested returns the slots of the class that are asked for and not granted.
func (c *Core) requested(cl *class) int {
	sum := 0
	for _, p := range c.peers {
		r := p.asked[cl.spec.Name]
		if r == nil {
			continue
		}
		if c.now-r.at > requestTimeout {
			delete(p.asked, cl.spec.Name)
			continue
		}
		sum += r.count
	}
	return sum
}

// bestPeer returns the peer that offers most free slots and has no open request
// of the class, or nil.
func (c *Core) bestPeer(cl *class) *peer {
	var best *peer
	for _, p := range c.peers {
		if p.free > 0 && p.asked[cl.spec.Name] == nil && (best == nil || p.free > best.free) {
			best = p
		}
	}
	return best
}

// requestBlindly asks a peer without free slots to serve old work of the class
// in its own order, so that instances with few targets are not left behind.
func (c *Core) requestBlindly(cl *class, need int) {
	oldest := cl.nextJob()
	if oldest == nil || c.now-oldest.enqueuedAt < blindAge || c.now-cl.blind < blindInterval {
		return
	}
	p := c.peers[c.rng.IntN(len(c.peers))]
	if p.asked[cl.spec.Name] != nil || c.now < p.pausedUntil(cl.spec.Name) {
		return
	}
	cl.blind = c.now
	c.request(p, cl, min(need, max(blindSlots, (p.total-c.fleet.total)/2)))
}

func (c *Core) request(p *peer, cl *class, count int) {
	p.asked[cl.spec.Name] = &loanRequest{count: count, at: c.now}
	r := RequestSlots{Peer: p.name, Class: cl.spec.Name, Count: count}
	if j := cl.nextJob(); j != nil {
		r.MinCores, r.MinMB = largest(j.spec.Tasks)
		r.Waited = c.now - j.enqueuedAt
	}
	c.emit(r)
}

func largest(tasks []structs.Task) (cores float64, mb int64) {
	for i := range tasks {
		cores = max(cores, tasks[i].DeclaredCores)
		mb = max(mb, tasks[i].DeclaredMB)
	}
	return cores, mb
}

// slotsGranted uses the loans of a peer for waiting work, of the class that
// asked if it still has some, and returns the rest.
func (c *Core) slotsGranted(e *SlotsGranted) {
	if p := c.peer(e.Peer); p != nil {
		if e.Class == "" {
			clear(p.asked)
		}
		delete(p.asked, e.Class)
		p.learn(e.Class, len(e.Slots), c.now)
	}
	for i := range e.Slots {
		loan := &e.Slots[i]
		if c.since(loan.Expires) > c.now && c.useLoan(e, loan) {
			continue
		}
		c.hold(e, loan)
	}
}

func (p *peer) pausedUntil(class string) time.Duration {
	if r := p.refusals[class]; r != nil {
		return r.until
	}
	return 0
}

// learn lengthens the pause after an empty answer and ends it after a loan.
func (p *peer) learn(class string, slots int, now time.Duration) {
	if slots > 0 {
		delete(p.refusals, class)
		return
	}
	r := p.refusals[class]
	if r == nil {
		r = &refusal{pause: refusalPause / 2}
		p.refusals[class] = r
	}
	r.pause = min(2*r.pause, maxRefusalPause)
	r.until = now + r.pause
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
