package membership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/membership"
)

var _ = Describe("A group", func() {
	// Guards against a live member that is declared dead.
	It("agrees on its members and loses none without faults", func() {
		g := newGroup(1, 20)
		g.runFor(60 * time.Second)
		for _, name := range g.names {
			Expect(g.nodes[name].Live()).To(Equal(g.names))
			Expect(g.nodes[name].downs).To(BeEmpty())
		}
	})

	// Guards against a dead member that stays in the view of some instance.
	It("detects a dead member at every instance", func() {
		g := newGroup(2, 20)
		g.runFor(20 * time.Second)
		g.nodes["i0007"].up = false
		g.runFor(15 * time.Second)
		for _, name := range g.running() {
			Expect(g.nodes[name].Live()).To(Equal(g.running()))
			Expect(g.nodes[name].downs).To(Equal([]membership.MemberDown{{Name: "i0007"}}))
		}
	})

	// Guards against a live member that is declared dead because of a few broken links.
	It("keeps a member that some cannot reach directly", func() {
		g := newGroup(3, 10)
		g.runFor(20 * time.Second)
		for _, peer := range g.names[:4] {
			g.partitioned[pair("i0009", peer)] = true
		}
		g.runFor(60 * time.Second)
		for _, name := range g.names {
			Expect(g.nodes[name].downs).To(BeEmpty())
		}
	})

	// Guards against a graceful leave that is reported as a failure.
	It("reports a graceful leave as such", func() {
		g := newGroup(4, 20)
		g.runFor(20 * time.Second)
		g.do("i0003", membership.Leave{})
		g.nodes["i0003"].up = false
		g.runFor(3 * time.Second)
		for _, name := range g.running() {
			Expect(g.nodes[name].downs).To(Equal([]membership.MemberDown{{Name: "i0003", Left: true}}))
		}
	})

	// Guards against two halves that never contact each other again.
	It("merges again after a partition", func() {
		g := newGroup(5, 10)
		g.runFor(20 * time.Second)
		for _, a := range g.names[:5] {
			for _, b := range g.names[5:] {
				g.partitioned[pair(a, b)] = true
			}
		}
		g.runFor(60 * time.Second)
		Expect(g.nodes["i0000"].Live()).To(Equal(g.names[:5]))
		clear(g.partitioned)
		g.runFor(60 * time.Second)
		for _, name := range g.names {
			Expect(g.nodes[name].Live()).To(Equal(g.names))
		}
	})

	// Guards against skew reported by instances whose clocks are within the limit.
	It("reports clock skew only at the instance whose offset exceeds MaxClockOffset", func() {
		g := newGroup(6, 7)
		g.nodes["i0002"].offset = 600 * time.Millisecond
		g.nodes["i0004"].offset = -400 * time.Millisecond
		g.runFor(30 * time.Second)
		for _, name := range g.names {
			Expect(g.nodes[name].skewed).To(Equal(name == "i0002"), name)
		}
	})
})

var _ = Describe("A core", func() {
	var (
		c   *membership.Core
		now time.Time
	)
	step := func(ev membership.Event) []membership.Effect {
		c.Step(now, ev)
		return c.Ready()
	}
	receiveAck := func(from string, updates ...membership.Update) []membership.Effect {
		return step(membership.MessageReceived{Message: membership.Message{
			Kind: membership.Ack, From: from, Incarnation: 5, Updates: updates,
		}})
	}
	BeforeEach(func() {
		now = start
		c = membership.New(membership.Options{Instance: "a", Incarnation: 10})
		receiveAck("b")
	})

	// Guards against suspicion of a live member whose acknowledgement was lost.
	It("accepts a heartbeat as the answer to a probe, also after the indirect probe", func() {
		now = now.Add(membership.ProbeInterval)
		step(membership.Tick{})
		now = now.Add(membership.ProbeInterval / 2)
		step(membership.Tick{})
		now = now.Add(time.Millisecond)
		step(membership.HeartbeatReceived{Peer: "b"})
		now = now.Add(membership.ProbeInterval / 2)
		Expect(step(membership.Tick{})).NotTo(ContainElement(membership.MemberSuspected{Name: "b"}))
	})

	// Guards against a member that is missing in a view because all messages with
	// its change were lost.
	It("repeats members whose changes may have been lost", func() {
		step(membership.PeerFound{Peer: "c", Incarnation: 7})
		effects := step(membership.MessageReceived{Message: membership.Message{Kind: membership.Ping, From: "b", Incarnation: 5}})
		Expect(effects[len(effects)-1].(membership.Send).Message.Updates).To(ContainElement(
			membership.Update{Name: "c", Incarnation: 7, Status: membership.Alive}))
	})

	// answerProbe answers the probe of the next interval, with the peers' clocks ahead
	// as given, and returns the effects of the answer.
	answerProbe := func(ahead map[string]time.Duration, roundTrip time.Duration) []membership.Effect {
		now = now.Add(membership.ProbeInterval)
		for _, e := range step(membership.Tick{}) {
			s, ok := e.(membership.Send)
			if !ok || s.Message.Kind != membership.Ping {
				continue
			}
			clock := now.Add(roundTrip/2 + ahead[s.To]).UnixMilli()
			now = now.Add(roundTrip)
			return step(membership.MessageReceived{Message: membership.Message{
				Kind: membership.Ack, From: s.To, Incarnation: 5, Sequence: s.Message.Sequence, ClockUnixMS: clock,
			}})
		}
		return nil
	}

	// Guards against skew that one peer with a wrong clock causes in a small group.
	It("does not report clock skew if one of two peers agrees with its clock", func() {
		receiveAck("c")
		for range 10 {
			Expect(answerProbe(map[string]time.Duration{"c": time.Second}, 0)).To(BeEmpty())
		}
		var effects []membership.Effect
		for range 10 {
			effects = append(effects, answerProbe(map[string]time.Duration{"b": time.Second, "c": time.Second}, 0)...)
		}
		Expect(effects).To(Equal([]membership.Effect{membership.ClockSkewChanged{Skewed: true, Offset: -time.Second}}))
	})

	// Guards against skew that is reported because of a pause of the process.
	It("does not report clock skew for answers that were queued during a pause", func() {
		for range 5 {
			Expect(answerProbe(nil, 10*time.Millisecond)).To(BeEmpty())
		}
		Expect(answerProbe(map[string]time.Duration{"b": -4 * time.Second}, 450*time.Millisecond)).NotTo(
			ContainElement(BeAssignableToTypeOf(membership.ClockSkewChanged{})))
	})

	// Guards against a live member that is declared dead although it receives the
	// suspicion.
	It("refutes a suspicion of itself with a higher incarnation", func() {
		receiveAck("b", membership.Update{Name: "a", Incarnation: 12, Status: membership.Suspect})
		now = now.Add(membership.ProbeInterval)
		effects := step(membership.MessageReceived{Message: membership.Message{Kind: membership.Ping, From: "b", Incarnation: 5}})
		Expect(effects).NotTo(BeEmpty())
		Expect(effects[0].(membership.Send).Message.Incarnation).To(Equal(uint64(13)))
	})

	// Guards against a dead member that delayed messages keep in the view.
	It("does not add a dead member again on old messages", func() {
		dead := membership.Update{Name: "b", Incarnation: 5, Status: membership.Dead}
		Expect(receiveAck("c", dead)).To(ContainElement(membership.MemberDown{Name: "b"}))
		receiveAck("c", membership.Update{Name: "b", Incarnation: 5, Status: membership.Alive})
		Expect(c.Live()).To(Equal([]string{"a", "c"}))
		receiveAck("c", membership.Update{Name: "b", Incarnation: 6, Status: membership.Alive})
		Expect(c.Live()).To(Equal([]string{"a", "b", "c"}))
	})
})
