package ingress

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	epoch      = time.Unix(1000, 0)
	testLimits = Limits{HeadBytes: 16384, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

const kB = 1 << 10

var _ = Describe("a rule", func() {
	var rule *Rule
	var group *Group
	BeforeEach(func() {
		rule = NewRule(Budget{Bytes: 1024 * kB, Reserve: 256 * kB}, testLimits)
		group = NewGroup("callers", 4)
		rule.Add(group)
	})
	open := func(now time.Time, phase Phase) *Member {
		m, _ := rule.Open(group, now)
		Expect(m).NotTo(BeNil())
		if phase != Fresh {
			rule.Enter(m, phase, now)
		}
		return m
	}
	hold := func(m *Member, n int64, now time.Time) []Closing {
		GinkgoHelper()
		admitted, victims := rule.Hold(m, n, now)
		Expect(admitted).To(BeTrue())
		rule.Receive(m, int(n), now)
		return victims
	}

	// Guards against large requests that leave no memory for ordinary ones.
	It("keeps the reserve for small requests", func() {
		for range 3 {
			hold(open(at(0), Body), 256*kB, at(0))
		}
		m := open(at(0), Body)
		admitted, victims := rule.Hold(m, 9*kB, at(0))
		Expect(admitted).To(BeFalse())
		Expect(victims).To(BeEmpty())
		hold(m, 4*kB, at(0))
		Expect(rule.Held()).To(BeEquivalentTo(772 * kB))
	})

	// Guards against a budget that no request of the largest legal size fits into.
	It("admits one request of any size while nothing else is large", func() {
		hold(open(at(0), Body), 4*kB, at(0))
		Expect(hold(open(at(0), Body), 8192*kB, at(0))).To(BeEmpty())
	})

	// Guards against clients that fill the budget and stay.
	It("closes the largest of the slow requests first", func() {
		small, large, quick := open(at(0), Body), open(at(0), Body), open(at(1.9), Body)
		hold(small, 100*kB, at(0))
		hold(large, 300*kB, at(0))
		hold(quick, 360*kB, at(2))
		Expect(hold(open(at(2), Body), 100*kB, at(2))).To(ConsistOf(Closing{large, MemoryLimit}))
		Expect(rule.Held()).To(BeEquivalentTo(560 * kB))
	})

	// Guards against a client that is closed for a body that it sends at 1 Mbit/s.
	It("does not close a request that makes progress", func() {
		steady := open(at(0), Body)
		for second := range 4 {
			hold(steady, 125*kB, at(float64(second)))
		}
		admitted, victims := rule.Hold(open(at(3), Body), 300*kB, at(3))
		Expect(admitted).To(BeFalse())
		Expect(victims).To(BeEmpty())
	})

	// Guards against connections that keep others out, and against closed connections
	// whose job runs.
	It("makes room for a connection by the order of kinds", func() {
		serving, idle, fresh, body := open(at(0), Serving), open(at(0), Idle), open(at(0), Fresh), open(at(0), Body)
		for _, expected := range []*Member{body, fresh, idle} {
			m, victim := rule.Open(group, at(6))
			Expect(victim).To(BeIdenticalTo(expected))
			rule.Enter(m, Serving, at(6))
		}
		m, victim := rule.Open(group, at(60))
		Expect(m).To(BeNil())
		Expect(victim).To(BeNil())
		Expect(serving.closing).To(BeFalse())
	})

	// Guards against kept connections that shut out all other callers.
	It("closes the connection that has been idle the longest if no other qualifies", func() {
		second, first := open(at(0.2), Idle), open(at(0.1), Idle)
		open(at(0), Serving)
		open(at(0.9), Body)
		for _, expected := range []*Member{first, second} {
			m, victim := rule.Open(group, at(1))
			Expect(victim).To(BeIdenticalTo(expected))
			rule.Enter(m, Serving, at(1))
		}
		m, victim := rule.Open(group, at(1))
		Expect(m).To(BeNil())
		Expect(victim).To(BeNil())
	})

	// Guards against new connections without a request that take the places of targets
	// between two heartbeats: they get at most half of them, and not those of targets
	// while one of their own is old enough.
	It("keeps connections that have had a request lately", func() {
		kept := []*Member{open(at(0), Idle), open(at(0), Idle), open(at(0), Idle)}
		open(at(1.2), Fresh)
		closed := 0
		for i := range 100 {
			now := at(1.5 + float64(i)*0.03)
			_, victim := rule.Open(group, now)
			for _, m := range kept {
				if m == victim {
					closed++
				}
			}
			if i == 0 {
				Expect(closed).To(BeZero())
			}
		}
		Expect(closed).To(Equal(1))
	})

	// Guards against a walk over all connections for each refused one.
	It("does not search again while no connection can qualify", func() {
		members := []*Member{open(at(0), Serving), open(at(0), Serving), open(at(0), Serving), open(at(0.5), Body)}
		refuse := func(now time.Time) {
			GinkgoHelper()
			m, _ := rule.Open(group, now)
			Expect(m).To(BeNil())
		}
		refuse(at(1))
		Expect(group.noneUntil).To(Equal(at(1.5)))
		rule.Enter(members[0], Finishing, at(1.1))
		Expect(group.noneUntil).To(Equal(at(1.5)))
		rule.Enter(members[3], Serving, at(1.1))
		refuse(at(1.6))
		Expect(group.noneUntil).To(Equal(at(2.1)))
		rule.Enter(members[1], Idle, at(1.7))
		m, victim := rule.Open(group, at(1.7))
		Expect(victim).To(BeIdenticalTo(members[1]))
		rule.Enter(m, Serving, at(1.7))
		refuse(at(2))
		_, victim = rule.Open(group, at(2.2))
		Expect(victim).To(BeIdenticalTo(members[0]))
	})

	// Guards against idle connections that take all places before they send anything.
	It("bounds the connections without a request", func() {
		first := open(at(0), Fresh)
		open(at(1), Fresh)
		_, victim := rule.Open(group, at(2))
		Expect(victim).To(BeIdenticalTo(first))
	})

	DescribeTable("closes what takes too long", func(phase Phase, received int, until float64, reason Reason) {
		m := open(at(0), phase)
		for second := range int(until) {
			rule.Receive(m, received, at(float64(second)))
		}
		Expect(rule.Overdue(at(until - 0.5))).To(BeEmpty())
		Expect(rule.Overdue(at(until + 0.5))).To(ConsistOf(Closing{m, reason}))
		Expect(group.members).To(BeEmpty())
	},
		Entry("no request", Fresh, 0, 15.0, IdleTimeout),
		Entry("no further request", Idle, 0, 15.0, IdleTimeout),
		Entry("a head", Head, 10, 3.0, HeadTimeout),
		Entry("a body in single bytes", Body, 1, 600.0, BodyTimeout),
		Entry("a body at 64 KiB/s", Body, 64*kB, 600.0, BodyTimeout),
		Entry("a response", Finishing, 0, 3.0, BodyTimeout),
	)

	// Guards against bodies in single bytes that stay while others need their place.
	DescribeTable("closes slow bodies under pressure", func(prepare func(now time.Time)) {
		slow, steady := open(at(0), Body), open(at(0), Body)
		prepare(at(0))
		for second := range 100 {
			now := at(float64(second))
			rule.Receive(slow, 1, now)
			rule.Receive(steady, 17*kB, now)
			closed := rule.Overdue(now)
			if second <= 30 {
				Expect(closed).To(BeEmpty())
			} else if second == 31 {
				Expect(closed).To(ConsistOf(Closing{slow, BodyTimeout}))
			}
		}
		Expect(steady.closing).To(BeFalse())
	},
		Entry("of connections", func(now time.Time) { open(now, Serving) }),
		Entry("of bytes", func(now time.Time) { hold(open(now, Serving), 600*kB, now) }),
	)

	// Guards against a legal body that is closed only because it is slow.
	It("keeps a slow body without pressure", func() {
		slow := open(at(0), Body)
		for second := range 590 {
			rule.Receive(slow, 1, at(float64(second)))
			Expect(rule.Overdue(at(float64(second)))).To(BeEmpty())
		}
	})

	// Guards against a body that stops, and clients that do not read.
	It("closes a body and a write without progress", func() {
		body, writing := open(at(0), Body), open(at(0), Serving)
		rule.Receive(body, 200*kB, at(5))
		rule.Writing(writing, at(5))
		Expect(rule.Overdue(at(19.9))).To(BeEmpty())
		Expect(rule.Overdue(at(20.1))).To(ConsistOf(Closing{body, BodyTimeout}, Closing{writing, ResponseTimeout}))
	})

	// Guards against connections whose response is being written and that are closed
	// because the process was frozen: their time passed meanwhile.
	It("closes nothing in the first sweep after a freeze", func() {
		writing, finishing := open(at(0), Serving), open(at(0), Finishing)
		Expect(rule.Overdue(at(0.2))).To(BeEmpty())
		rule.Writing(writing, at(0.3))
		Expect(rule.Overdue(at(20))).To(BeEmpty())
		rule.Writing(writing, time.Time{})
		rule.Enter(finishing, Idle, at(20.1))
		Expect(rule.Overdue(at(20.2))).To(BeEmpty())
	})

	// Guards against a process whose sweeps are all late and that closes nothing.
	It("closes in the second late sweep", func() {
		m := open(at(0), Finishing)
		Expect(rule.Overdue(at(0.2))).To(BeEmpty())
		Expect(rule.Overdue(at(4))).To(BeEmpty())
		Expect(rule.Overdue(at(8))).To(ConsistOf(Closing{m, BodyTimeout}))
	})

	// Guards against unfinished requests that hold up a planned stop.
	It("closes unfinished requests when it drains", func() {
		body := open(at(0), Body)
		open(at(0), Serving)
		rule.Drain()
		Expect(rule.Overdue(at(1.1))).To(ConsistOf(Closing{body, Stopping}))
	})

	// Guards against bytes that are counted twice or never returned.
	It("returns all bytes", func() {
		m := open(at(0), Body)
		hold(m, 100*kB, at(0))
		rule.Release(m)
		rule.Close(m)
		rule.Close(m)
		Expect(rule.Held()).To(BeZero())
		Expect(group.fresh).To(BeZero())
	})
})

var _ = Describe("a head", func() {
	// Guards against heads that are counted wrongly when they arrive in pieces.
	DescribeTable("ends", func(text string, end int) {
		for _, size := range []int{1, 2, 3, 7, len(text)} {
			var h headScanner
			ended := false
			for i := 0; i < len(text) && !ended; i += size {
				ended = h.scan([]byte(text[i:min(i+size, len(text))]))
			}
			Expect(ended).To(Equal(end > 0), "pieces of %d", size)
			if ended {
				Expect(h.size).To(Equal(end))
			} else {
				Expect(h.size).To(Equal(len(text)))
			}
		}
	},
		Entry("after a blank line", "GET / HTTP/1.1\r\nA: b\r\n\r\nbody\r\n\r\n", 24),
		Entry("after a blank line without CR", "GET / HTTP/1.1\nA: b\n\nbody", 21),
		Entry("not in blank lines before it", strings.Repeat("\r\n", 50), 0),
		Entry("not in a line", "GET / HTTP/1.1\r\nA: "+strings.Repeat("x", 100), 0),
	)
})
