package placement_test

import (
	"slices"
	"time"

	"hawthornshore.example/placement"
)

// kill ends a coordinator's process; the next one starts after a delay.
func (s *simulation) kill(c *simCoordinator, length time.Duration) {
	c.incarnation++
	c.down = true
	s.giveUpJobs(c)
	for _, other := range s.coordinators {
		if other != c {
			s.step(other, placement.PeerDisconnected{Peer: c.name})
		}
	}
	s.after(length, func() {
		c.down = false
		s.start(c)
	})
}

// killAndRelink ends a coordinator's process; the next one gets its links one
// after the other.
func (s *simulation) killAndRelink(c *simCoordinator, length time.Duration) {
	s.kill(c, length)
	for i, other := range s.coordinators {
		if other == c {
			continue
		}
		c.disconnected[other.name], other.disconnected[c.name] = true, true
		s.after(length+time.Duration(i*300)*time.Millisecond, func() {
			s.restoreLink(c, other)
			s.step(c, placement.PeerConnected{Peer: other.name, ChecksStepLimits: true})
			s.step(other, placement.PeerConnected{Peer: c.name, ChecksStepLimits: true})
		})
	}
}

// pause pauses a coordinator. When it resumes after more than the limit it closes
// its links, as the others do after the links' timeout.
func (s *simulation) pause(c *simCoordinator, length time.Duration) {
	if c.down || c.paused {
		return
	}
	c.paused = true
	incarnation := c.incarnation
	closed := false
	closeLinks := func() {
		if closed || c.incarnation != incarnation {
			return
		}
		closed = true
		s.giveUpJobs(c)
		for _, other := range s.coordinators {
			if other != c {
				s.step(other, placement.PeerDisconnected{Peer: c.name})
			}
		}
	}
	if length > linkTimeout {
		s.after(linkTimeout, closeLinks)
	}
	s.after(length, func() {
		c.paused = false
		delayed := c.delayed
		c.delayed = nil
		if c.incarnation != incarnation {
			return
		}
		if length > pauseLimit {
			s.resume(c)
			delayed = slices.DeleteFunc(delayed, placement.FromPeer)
			s.after(time.Millisecond, closeLinks)
		}
		for _, event := range delayed {
			s.step(c, event)
		}
	})
}

// pauseLimit is how long a process may be paused before it closes its links.
const pauseLimit = 500 * time.Millisecond

func (s *simulation) resume(c *simCoordinator) {
	s.step(c, placement.ProcessPaused{})
	for _, other := range s.coordinators {
		if other != c {
			s.step(c, placement.PeerDisconnected{Peer: other.name})
		}
	}
	s.step(c, placement.GatewayDisconnected{Gateway: "g" + c.name})
}

func (s *simulation) restoreLink(a, b *simCoordinator) {
	delete(a.disconnected, b.name)
	delete(b.disconnected, a.name)
}
