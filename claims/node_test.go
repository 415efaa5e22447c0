package claims_test

import (
	"fmt"
	"math"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/claims/lease"
	"hawthornshore.example/structs"
)

// node is one instance: the cores and a model of the server around them.
type node struct {
	group  *group
	name   string
	phase  float64
	starts int
	up     bool
	frozen bool
	inbox  []func()
	claims *claims.Core
	lease  *lease.Core
	view   lease.View
	wakes  map[string]time.Time // time of the next scheduled Tick, by core
	jobs   map[structs.JobID]bool
}

// clock runs up to 4.2% too fast or too slow and stays within 400 ms, so that two
// instances differ by at most 800 ms and 10% in speed.
func (n *node) clock() time.Time {
	t := n.group.now.Sub(start).Seconds()
	offset := 0.4 * math.Sin(2*math.Pi*t/60+n.phase)
	return n.group.now.Add(time.Duration(offset * float64(time.Second)))
}

func (n *node) process() string { return fmt.Sprintf("%s#%d", n.name, n.starts) }

// start starts a process without records.
func (n *node) start() {
	if n.up {
		return
	}
	n.starts++
	n.up, n.frozen, n.inbox = true, false, nil
	n.view = lease.View{}
	n.wakes = make(map[string]time.Time)
	n.jobs = make(map[structs.JobID]bool)
	n.claims = claims.New(claims.Options{Instance: n.name, DataCentre: "dc", Start: n.clock()})
	n.lease = lease.New(lease.Options{Instance: n.name, Start: n.clock()})
	n.leaseStep(lease.Tick{})
	for _, peer := range n.group.nodes {
		if peer != n {
			n.group.send(n.name, peer.name, func() { peer.claimsStep(claims.PeerRestarted{Peer: n.name}) })
		}
	}
}

func (n *node) crash() { n.up = false }

func (n *node) drain() { n.claimsStep(claims.Drain{}) }

// freeze pauses the process and queues its input.
func (n *node) freeze(d time.Duration) {
	if !n.up || n.frozen {
		return
	}
	n.frozen = true
	startCount := n.starts
	n.group.after(d, func() {
		if !n.up || n.starts != startCount {
			return
		}
		n.frozen = false
		inbox := n.inbox
		n.inbox = nil
		for _, run := range inbox {
			run()
		}
	})
}

// do runs a step of this process once it is not frozen.
func (n *node) do(run func()) {
	switch {
	case !n.up:
	case n.frozen:
		n.inbox = append(n.inbox, run)
	default:
		run()
	}
}

func (n *node) claimsStep(ev claims.Event) {
	n.do(func() {
		switch e := ev.(type) {
		case claims.Submit:
			n.group.pending[requestKey{n.process(), e.Request}] = true
		case claims.Cancel:
			n.group.pending[requestKey{n.process(), e.Request}] = true
		case claims.Query:
			n.group.pending[requestKey{n.process(), e.Request}] = true
		}
		n.claims.Step(n.clock(), ev)
		n.handleEffects()
		at, ok := n.claims.NextWake()
		n.checkWake("claims", at, ok)
	})
}

func (n *node) leaseStep(ev lease.Event) {
	n.do(func() {
		n.lease.Step(n.clock(), ev)
		n.handleEffects()
		at, ok := n.lease.NextWake()
		n.checkWake("lease", at, ok)
	})
}

// handleEffects executes effects until there are none, then schedules the next ticks.
func (n *node) handleEffects() {
	for range 100 {
		fromLease, fromClaims := n.lease.Ready(), n.claims.Ready()
		for _, e := range fromLease {
			n.leaseEffect(e)
		}
		for _, e := range fromClaims {
			n.claimsEffect(e)
		}
		if len(fromLease)+len(fromClaims) == 0 {
			break
		}
	}
	if at, ok := n.claims.NextWake(); ok {
		n.wake("claims", at, func() { n.claimsStep(claims.Tick{}) })
	}
	if at, ok := n.lease.NextWake(); ok {
		n.wake("lease", at, func() { n.leaseStep(lease.Tick{}) })
	}
}

// checkWake fails if NextWake of a core that was just stepped is not in the future,
// which would put the event loop into a busy loop.
func (n *node) checkWake(core string, at time.Time, ok bool) {
	if now := n.clock(); ok && !at.After(now) {
		n.group.violationf("%s: NextWake of %s is %v in the past", n.process(), core, now.Sub(at))
	}
}

func (n *node) wake(core string, at time.Time, tick func()) {
	if queued, ok := n.wakes[core]; ok && !queued.After(at) {
		return
	}
	n.wakes[core] = at
	startCount := n.starts
	delay := max(at.Sub(n.clock()), 0) + time.Millisecond
	n.group.after(delay, func() {
		if n.up && n.starts == startCount && n.wakes[core].Equal(at) {
			delete(n.wakes, core)
			tick()
		}
	})
}

func (n *node) leaseEffect(e lease.Effect) {
	g := n.group
	switch e := e.(type) {
	case lease.Propose:
		g.send(n.name, voters, func() {
			result := g.apply(e.Command)
			g.send(voters, n.name, func() { n.leaseStep(lease.ProposalApplied{Sequence: e.Sequence, Result: result}) })
		})
	case lease.SendPromiseRequest:
		peer := g.node(e.Peer)
		request := lease.PromiseRequestReceived{Peer: n.name, Epoch: e.Epoch, Duration: e.Duration, Sequence: e.Sequence}
		g.send(n.name, e.Peer, func() { peer.leaseStep(request) })
	case lease.SendPromiseReply:
		peer := g.node(e.Peer)
		reply := lease.PromiseReplyReceived{
			Peer: n.name, Incarnation: n.process(), Sequence: e.Sequence, Granted: e.Granted, Epoch: e.Epoch,
		}
		g.send(n.name, e.Peer, func() { peer.leaseStep(reply) })
	case lease.FetchView:
		peer := g.node(e.Peer)
		g.send(n.name, e.Peer, func() {
			view := peer.view
			g.send(e.Peer, n.name, func() { n.leaseStep(lease.ViewReceived{View: view}) })
		})
	case lease.MembersChanged:
		n.view = e.View
		n.claims.Step(n.clock(), claims.MembersChanged{
			Epoch: e.View.Epoch, Members: e.View.Names(), MembershipInterrupted: e.MembershipInterrupted, Left: e.View.Left, Token: e.View.Token,
		})
	case lease.LeaseChanged:
		if e.Held && g.partitioned[pair(n.name, voters)] {
			g.promiseRenewals++
		}
		n.claims.Step(n.clock(), claims.LeaseChanged(e))
	case lease.LeaveCompleted:
		n.crash()
		g.after(g.randomDuration(5*time.Second), n.start)
	}
}

func (n *node) claimsEffect(e claims.Effect) {
	g := n.group
	switch e := e.(type) {
	case claims.Admit:
		g.checkAdmit(e.Job.ID, n.process())
		n.decide(e.Job.ID)
	case claims.Release:
		g.checkRelease(e.JobID, n.process())
		n.later(g.randomDuration(500*time.Millisecond), func() { n.finish(complete(e.JobID)) })
	case claims.CancelJob:
		if !g.released[e.JobID] {
			n.finish(structs.Answer{JobID: e.JobID, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonCancelled})
		}
	case claims.SendCopy:
		peer := g.node(e.Peer)
		g.send(n.name, e.Peer, func() {
			peer.claimsStep(claims.CopyReceived{Peer: n.name, Copy: e.Copy})
			if e.Copy.Answer == nil && peer.up && !peer.frozen {
				g.send(e.Peer, n.name, func() { n.claimsStep(claims.CopyAcked{Peer: e.Peer, JobID: e.Copy.JobID}) })
			}
		})
	case claims.SendHandOver:
		peer := g.node(e.Peer)
		g.send(n.name, e.Peer, func() { peer.claimsStep(claims.HandOverReceived{Peer: n.name, HandOver: e.HandOver}) })
	case claims.AckHandOver:
		peer := g.node(e.Peer)
		g.send(n.name, e.Peer, func() { peer.claimsStep(claims.HandOverAcked{Peer: n.name, Token: e.Token}) })
	case claims.HandOverCompleted:
		g.handOvers++
		n.lease.Step(n.clock(), lease.Leave{Token: e.Token, Epoch: e.Epoch})
	case claims.Forward:
		delete(g.pending, requestKey{n.process(), e.Submit.Request})
		g.submit(g.node(claims.Owner(n.view.Names(), claims.Partition(e.Submit.Job.ID))), e.Submit.Job)
	case claims.Reply:
		if e.Answer.Outcome == structs.OutcomeComplete {
			g.completed++
		}
		g.checkReply(requestKey{n.process(), e.Request}, e.Answer)
	}
}

func (n *node) later(d time.Duration, run func()) {
	startCount := n.starts
	n.group.after(d, func() {
		if n.starts == startCount {
			n.do(run)
		}
	})
}

// decide models the dispatch core: it refuses some jobs and queues the others.
func (n *node) decide(id structs.JobID) {
	n.jobs[id] = true
	if n.group.rng.IntN(10) == 0 {
		n.finish(structs.Answer{JobID: id, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonQueueFull})
		return
	}
	n.claims.Step(n.clock(), claims.JobAdmitted{JobID: id})
}

func (n *node) finish(a structs.Answer) {
	if n.jobs[a.JobID] {
		delete(n.jobs, a.JobID)
		n.claims.Step(n.clock(), claims.JobFinished{Answer: a})
		n.handleEffects()
	}
}

// submit sends a submission to one instance. As in the server, request IDs are
// unique.
func (g *group) submit(n *node, job structs.Job) {
	g.request(n, func(r claims.RequestID) claims.Event { return claims.Submit{Request: r, Job: job, Digest: 1} })
}

func (g *group) request(n *node, event func(claims.RequestID) claims.Event) {
	g.requests++
	ev := event(g.requests)
	g.after(g.randomDuration(10*time.Millisecond), func() { n.claimsStep(ev) })
}
