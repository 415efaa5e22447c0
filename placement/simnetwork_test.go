package placement_test

import (
	"fmt"
	"os"
	"slices"
	"time"

	"hawthornshore.example/placement"
)

// simPath is an impaired path between a coordinator and a target.
type simPath struct {
	requestLoss  float64 // share of requests that do not arrive in time
	responseLoss float64 // share of responses that are lost
}

// clockError returns the error of a new process's time of day, in ms.
func (s *simulation) clockError() int64 {
	if s.clockSpread == 0 {
		return 0
	}
	return s.random.Int64N(2*s.clockSpread.Milliseconds()) - s.clockSpread.Milliseconds()
}

// request delivers a request to a target. One that is lost on an impaired path may
// be retransmitted and arrive after its timeout.
func (s *simulation) request(c *simCoordinator, t *simTarget, deliver func()) {
	delay := s.delay()
	if path := t.paths[c.name]; path != nil && s.random.Float64() < path.requestLoss {
		if path.requestLoss == 1 || s.random.IntN(2) == 0 {
			return
		}
		delay += time.Duration(100+s.random.IntN(700)) * time.Millisecond
	}
	s.after(delay, func() {
		if !t.partitioned && !t.gone && !t.down {
			deliver()
		}
	})
}

// response delivers the response of a target unless it is lost.
func (s *simulation) response(c *simCoordinator, t *simTarget, deliver func()) {
	boots := t.boots
	s.after(s.delay(), func() {
		path := t.paths[c.name]
		if t.partitioned || t.boots != boots || path != nil && s.random.Float64() < path.responseLoss {
			return
		}
		deliver()
	})
}

// leaveCutCoordinator lets a target that does not reach its coordinator choose
// another one.
func (s *simulation) leaveCutCoordinator(t *simTarget) {
	if path := t.paths[s.coordinators[t.home].name]; path != nil && path.responseLoss == 1 {
		t.home = s.random.IntN(len(s.coordinators))
	}
}

// impair changes the paths between a target and some or all coordinators for a time.
func (s *simulation) impair(t *simTarget, path simPath, coordinators []*simCoordinator, length time.Duration) {
	for _, c := range coordinators {
		t.paths[c.name] = &path
	}
	s.after(length, func() { clear(t.paths) })
}

// someCoordinators returns a random part of the coordinators, at least one.
func (s *simulation) someCoordinators() []*simCoordinator {
	first := s.random.IntN(len(s.coordinators))
	return slices.Concat(s.coordinators[first:], s.coordinators[:first])[:1+s.random.IntN(len(s.coordinators))]
}

func (s *simulation) randomTarget() *simTarget { return s.targets[s.random.IntN(len(s.targets))] }

func (s *simulation) randomCoordinator() *simCoordinator {
	return s.coordinators[s.random.IntN(len(s.coordinators))]
}

// randomTime returns a time up to a limit.
func (s *simulation) randomTime(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// crash ends a target's boot. The next one, under the same ID, has a clock of its own;
// the time of day has changed by step. Its first heartbeat arrives late, and a
// heartbeat of the earlier boot arrives after it.
func (s *simulation) crash(t *simTarget, length, step time.Duration) {
	if t.down {
		return
	}
	earlier := t.runner.Description
	earlier.Sequence++
	home := t.home
	born := earlier.BootUnixMS + length.Milliseconds() + step.Milliseconds()
	t.runner.Reboot(s.now, born, 1)
	t.boots++
	t.down, t.polls = true, nil
	s.after(length, func() {
		t.runner.Reboot(s.now, born, 0.98+0.02*s.random.Float64())
		t.down = false
		if s.random.IntN(2) == 0 {
			t.home = s.random.IntN(len(s.coordinators))
		}
		s.after(s.randomTime(1200*time.Millisecond), func() { s.firstHeartbeat(t) })
	})
	s.after(length+s.randomTime(4*time.Second), func() {
		s.step(s.coordinators[home], placement.Heartbeat{Description: earlier})
	})
}

func (s *simulation) firstHeartbeat(t *simTarget) {
	t.runner.Description.Sequence++
	t.runner.Description.ClockMS = t.runner.ClockMS(s.now)
	s.deliverHeartbeat(t)
}

// breakCallers breaks the connections of some callers. Their gateway withdraws the
// jobs within a delay, and they submit the same jobs again to any coordinator.
func (s *simulation) breakCallers(share float64, delay time.Duration) {
	s.loseCallers(share, delay, s.resubmit)
}

// loseCallers breaks connections of callers, which come back with their jobs. Their homes
// are told of the loss within a delay.
func (s *simulation) loseCallers(share float64, delay time.Duration, comeBack func(id string)) {
	for _, c := range s.coordinators {
		for _, caller := range s.callersOf(c) {
			if s.random.Float64() >= share {
				continue
			}
			id := s.unanswered[caller]
			delete(s.unanswered, caller)
			s.answers[caller] = 1 - 1<<30 // a late answer is ignored
			comeBack(id)
			incarnation := c.incarnation
			s.after(s.randomTime(delay), func() {
				if c.incarnation == incarnation {
					s.step(c, placement.Withdraw{Caller: caller})
				}
			})
		}
	}
}

// resetCallers lets callers send their jobs again through other coordinators at once: the
// gateway hands a request on before it notices that its caller is gone.
func (s *simulation) resetCallers(share float64) {
	const notice = 10 * time.Millisecond
	s.loseCallers(share, notice, func(id string) {
		s.after(s.randomTime(notice), func() { s.submit(s.jobs[id]) })
	})
}

// cutLinkOneWay cuts one direction of a link, and the other one within the link
// timeout. Each end detects it by its own silence, or by the other end's close.
func (s *simulation) cutLinkOneWay(a, b *simCoordinator, length time.Duration) {
	if a == b || a.disconnected[b.name] || a.unheard[b.name] || b.unheard[a.name] {
		return
	}
	detection := func() time.Duration { return linkTimeout + s.randomTime(linkHeartbeat) }
	b.unheard[a.name] = true
	second, first := s.randomTime(linkTimeout+linkHeartbeat), detection()
	s.after(first, func() {
		a.disconnected[b.name] = true
		s.step(a, placement.PeerDisconnected{Peer: b.name})
	})
	last := first + s.linkDelay(a.name, b.name)
	if second < first {
		last = second + detection()
		s.after(second, func() { a.unheard[b.name] = true })
	}
	s.after(last, func() {
		b.disconnected[a.name] = true
		s.step(b, placement.PeerDisconnected{Peer: a.name})
	})
	s.after(max(length, last+time.Millisecond), func() {
		delete(a.unheard, b.name)
		delete(b.unheard, a.name)
		s.restoreLink(a, b)
		s.step(a, placement.PeerConnected{Peer: b.name, ChecksStepLimits: true})
		s.step(b, placement.PeerConnected{Peer: a.name, ChecksStepLimits: true})
	})
}

// linkHeartbeat is how often a link checks for silence.
const linkHeartbeat = 150 * time.Millisecond

// percent returns the progress that a target lists for a share of a run's work.
func (s *simulation) percent(share float64) int {
	if !s.progress {
		return 0
	}
	return int(100 * share)
}

var traced = os.Getenv("PLACEMENT_TRACE") != ""

// trace prints an event or an effect of a coordinator if PLACEMENT_TRACE is set.
func (s *simulation) trace(c *simCoordinator, direction string, what any) {
	if _, isTick := what.(placement.Tick); traced && !isTick {
		fmt.Printf("%s %s %s %T %+v\n", s.now, c.name, direction, what, what)
	}
}
