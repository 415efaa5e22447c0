package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// acquireIn makes a target of a data centre ready.
func (h *harness) acquireIn(id, dataCentre string) {
	d := description(id, 1)
	d.DataCentre = dataCentre
	h.acquireAs(d)
}

// acquireAs makes a target with a description ready.
func (h *harness) acquireAs(d placement.Description) {
	h.step(0, placement.Heartbeat{Description: d})
	h.step(time.Millisecond, placement.OrderResponse{Order: lastPoll(h, d.ID).Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
}

func (h *harness) evacuate(dataCentres ...string) {
	h.step(0, placement.EvacuationsChanged{DataCentres: dataCentres})
}

// startsAt returns the targets of the ordered starts.
func startsAt(h *harness) []string {
	var targets []string
	for _, start := range take[placement.StartOrder](h) {
		targets = append(targets, start.Target.ID)
	}
	return targets
}

var _ = Describe("targets of an evacuated data centre", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.acquireIn("t", "dc0")
	})
	request := func(target string, ref uint64) placement.PlacementsRequested {
		return placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{{
			Ref: ref, Task: "00000000000000aa.0.0.0", Run: int(ref), Service: "desk", Target: target, Need: placement.Resources{CPUMillis: 14000},
		}}}
	}

	// Guards against a start at a target that is to be left alone, and against work that
	// stays away after the revocation.
	It("get no starts until the order is revoked", func() {
		h.acquireIn("u", "dc1")
		h.evacuate("dc0")
		h.submit("0000000000000001", 4, 1)
		Expect(startsAt(h)).To(Equal([]string{"u", "u"}))
		h.evacuate()
		Expect(startsAt(h)).To(Equal([]string{"t", "t"}))
	})

	// Guards against an evacuation that ends what runs there, or loses its end.
	It("finish their runs", func() {
		h.submit("0000000000000001", 1, 1)
		start := h.confirmStarts()[0]
		h.evacuate("dc0")
		Expect(take[placement.StopOrder](h)).To(BeEmpty())
		poll := lastPoll(h, "t")
		Expect(poll.ExpiresMS).NotTo(BeZero(), "the lease is extended")
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1200, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: start.Task, Run: 1, Kind: placement.EndDone}},
		})
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(HaveField("Outcome", placement.Completed)))
	})

	// Guards against a target that escapes the order because it is adopted after it.
	It("get no starts when they are new, restarted, restored or handed over", func() {
		h = newHarness()
		h.evacuate("dc0")
		h.step(0, placement.PeerConnected{Peer: "c1"})
		h.acquireIn("new", "dc0")
		restarted := description("new", 1)
		restarted.DataCentre, restarted.BootUnixMS = "dc0", 9
		h.acquireAs(restarted)
		restored := description("old", 1)
		restored.DataCentre = "dc0"
		h.step(0, placement.TargetsRestored{Targets: []placement.Description{restored}})
		h.step(400*time.Millisecond, placement.Tick{})
		restored.Sequence++
		h.acquireAs(restored)
		handed := description("handed", 1)
		handed.DataCentre = "dc0"
		h.step(0, placement.HandOverReceived{Peer: "c1", HandOver: placement.HandOver{Description: handed, Token: 1}})
		h.step(time.Millisecond, placement.OrderResponse{Order: lastPoll(h, "handed").Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
		Expect(h.core.TargetReady("old", 7) && h.core.TargetReady("handed", 7)).To(BeTrue())
		h.submit("0000000000000001", 3, 1)
		Expect(startsAt(h)).To(BeEmpty())
		Expect(h.core.AvailableTargets()).To(BeEmpty())
	})

	// Guards against a target that keeps the state of the data centre that it has left.
	It("are those of the data centre in the last heartbeat", func() {
		h.evacuate("dc1")
		moved := description("t", 2)
		moved.DataCentre = "dc1"
		h.step(0, placement.Heartbeat{Description: moved})
		h.submit("0000000000000001", 1, 1)
		Expect(startsAt(h)).To(BeEmpty())
	})

	// Guards against a start that another coordinator requests before it sees that the
	// target is withdrawn.
	It("are withdrawn, and placements on their way are rejected with the reason", func() {
		h.step(0, placement.PeerConnected{Peer: "c1"})
		Expect(h.core.AvailableTargets()).To(HaveLen(1))
		h.evacuate("dc0")
		Expect(take[placement.AvailabilityChanged](h)).NotTo(BeEmpty())
		Expect(h.core.AvailableTargets()).To(BeEmpty())
		h.step(0, request("t", 1))
		Expect(startsAt(h)).To(BeEmpty())
		reports := take[placement.SendReports](h)
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Reports).To(ConsistOf(And(HaveField("Kind", placement.RunRejected), HaveField("Reason", ContainSubstring("dc0")))))
		Expect(h.events()).To(ContainElement("start_withheld"))
	})

	// Guards against a suspected task that crashes an evacuated target.
	It("are neither used nor set aside for trials", func() {
		h.step(0, placement.PeerConnected{Peer: "c1"})
		h.evacuate("dc0")
		trial := request("t", 1)
		trial.Placements[0].Alone = true
		h.step(0, trial)
		Expect(startsAt(h)).To(BeEmpty())
		h.evacuate()
		Expect(h.core.AvailableTargets()).To(HaveLen(1), "it is not set aside")
	})

	// Guards against a start that was decided before the order and is sent after it.
	It("do not get a start that waits inside the core", func() {
		h.step(0, placement.PeerConnected{Peer: "c1"})
		h.core.Step(h.now, request("t", 1))
		h.evacuate("dc0")
		Expect(startsAt(h)).To(BeEmpty())
		Expect(take[placement.SendReports](h)).To(ConsistOf(HaveField("Reports", ConsistOf(HaveField("Kind", placement.RunRejected)))))
		Expect(h.core.Status().Runs).To(BeZero())
		h.evacuate()
		h.submit("0000000000000001", 2, 1)
		Expect(startsAt(h)).To(Equal([]string{"t", "t"}), "its capacity is free")
	})

	// Guards against callers that wait for what the order forbids.
	It("make jobs that fit nowhere else be refused at once, with the reason", func() {
		h.step(time.Second, placement.Tick{})
		h.evacuate("dc0")
		h.submit("0000000000000001", 1, 1)
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(And(
			HaveField("Outcome", placement.NotRun), HaveField("Reason", ContainSubstring("dc0")), HaveField("RetryAfter", BeNumerically(">=", 2*time.Second)),
		)))
		Expect(h.core.Status().Jobs).To(BeZero())
	})

	// Guards against callers that wait because the only start of their job was withheld.
	It("make jobs be refused at once whose starts were all rejected", func() {
		h.step(time.Second, placement.Tick{})
		h.core.Step(h.now, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: 1}, Job: job("0000000000000001", 1)})
		h.evacuate("dc0")
		Expect(startsAt(h)).To(BeEmpty())
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(And(HaveField("Outcome", placement.NotRun), HaveField("Reason", ContainSubstring("dc0")))))
		h.evacuate()
		h.submit("0000000000000002", 1, 2)
		start := take[placement.StartOrder](h)[0]
		h.step(time.Millisecond, placement.OrderResponse{Order: start.Order, Result: placement.Unavailable})
		h.evacuate("dc0")
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(And(HaveField("Outcome", placement.NotRun), HaveField("Reason", ContainSubstring("dc0")))))
		Expect(h.core.Status().Jobs).To(BeZero())
	})

	// Guards against a job that has had no start and waits until its caller gives it up.
	It("make jobs be refused in time whose starts were all rejected", func() {
		h.submit("0000000000000001", 1, 1)
		start := take[placement.StartOrder](h)[0]
		h.step(0, placement.EvacuationsChanged{Unknown: true})
		h.step(time.Millisecond, placement.OrderResponse{Order: start.Order, Result: placement.Unavailable})
		submitted := job("0000000000000001", 1)
		h.step(submitted.StartTimeout(), placement.Tick{})
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(And(HaveField("Outcome", placement.NotRun), HaveField("Reason", "no room"))))
	})

	// Guards against a refusal, which says that the job has not run, of a job that has or
	// may have run.
	It("do not make jobs be refused that may have run", func() {
		h.step(time.Second, placement.Tick{})
		h.submit("0000000000000001", 1, 1)
		start := h.confirmStarts()[0]
		h.step(time.Second, placement.OrderResponse{
			Order: lastPoll(h, "t").Order, Result: placement.OK, ClockMS: 2200, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: start.Task, Run: 1, Kind: placement.EndFailed}},
		})
		h.evacuate("dc0")
		Expect(take[placement.AnswerJob](h)).NotTo(ContainElement(HaveField("Outcome", placement.NotRun)))

		// A target that is draining restarts while a start is on its way.
		h = newHarness()
		h.acquireIn("t", "dc0")
		h.step(time.Second, placement.Tick{})
		h.submit("0000000000000001", 1, 1)
		Expect(startsAt(h)).To(Equal([]string{"t"}))
		draining := description("t", 2)
		draining.DataCentre, draining.Draining = "dc0", true
		h.step(0, placement.Heartbeat{Description: draining})
		restarted := description("t", 1)
		restarted.DataCentre, restarted.BootUnixMS = "dc0", 9
		h.evacuate("dc0")
		h.polls("t")
		h.step(time.Millisecond, placement.Heartbeat{Description: restarted})
		for range 3 {
			for _, poll := range h.polls("t") {
				h.step(time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 9})
			}
			h.step(100*time.Millisecond, placement.Tick{})
		}
		Expect(h.core.Status().Runs).To(BeZero())
		Expect(take[placement.AnswerJob](h)).NotTo(ContainElement(HaveField("Outcome", placement.NotRun)))
	})

	// Guards against a refusal of jobs that only wait for capacity, here or elsewhere.
	It("do not make jobs be refused that fit elsewhere later", func() {
		h.step(time.Second, placement.Tick{})
		h.acquireIn("u", "dc1")
		h.evacuate("dc0")
		h.submit("0000000000000001", 2, 1)
		h.submit("0000000000000002", 1, 2)
		Expect(startsAt(h)).To(Equal([]string{"u", "u"}))
		Expect(take[placement.AnswerJob](h)).To(BeEmpty())

		h = newHarness()
		h.acquireIn("t", "dc0")
		h.step(time.Second, placement.Tick{})
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{availableTarget("r", 100)}})
		h.evacuate("dc0")
		h.submit("0000000000000001", 1, 1)
		Expect(take[placement.AnswerJob](h)).To(BeEmpty(), "the other coordinator's target is only full")
		h.step(0, placement.PeerAvailability{Peer: "c1", Partial: true, Removed: []string{"r"}})
		Expect(take[placement.AnswerJob](h)).To(BeEmpty(), "its target may be back at once")
		h.step(0, placement.PeerDisconnected{Peer: "c1"})
		h.step(time.Second, placement.Tick{})
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(HaveField("Reason", "no room")))
		h.submit("0000000000000002", 1, 2)
		Expect(take[placement.AnswerJob](h)).To(BeEmpty(), "others may have targets")
	})

	// Guards against a coordinator that starts tasks before it knows the evacuations, and
	// against jobs that it refuses for an order that it does not know.
	It("are all targets while the evacuations are unknown", func() {
		h.step(time.Second, placement.Tick{})
		h.step(0, placement.EvacuationsChanged{Unknown: true})
		h.submit("0000000000000001", 1, 1)
		Expect(startsAt(h)).To(BeEmpty())
		Expect(take[placement.AnswerJob](h)).To(BeEmpty())
		h.evacuate()
		Expect(startsAt(h)).To(Equal([]string{"t"}))
	})
})

var _ = Describe("cold targets", func() {
	coldHarness := func(rule placement.ColdRule) *harness {
		h := newHarness()
		h.core = placement.New(placement.Options{
			Name: "c0", Home: "c0/1", Lease: time.Second, StopTime: 50 * time.Millisecond, UnixMS: 1_700_000_000_000, Cold: rule,
		})
		cold := description("cold", 1)
		cold.Cold, cold.Capacity.CPUMillis = 100*time.Millisecond, 200_000
		h.acquireAs(cold)
		return h
	}
	rule := placement.ColdRule{Overage: 1.5, Slack: 5 * time.Millisecond}

	// Guards against tasks that wait on a slow target while another one is free.
	It("are considered after warm ones", func() {
		h := coldHarness(rule)
		h.acquire("warm")
		h.submit("0000000000000001", 3, 1)
		Expect(startsAt(h)).To(Equal([]string{"warm", "warm", "cold"}))
	})

	// Guards against a data centre that returns to service and is flooded.
	It("run one task for each quarter of their capacity until one has ended in time", func() {
		h := coldHarness(rule)
		h.submit("0000000000000001", 9, 1)
		starts := h.confirmStarts()
		Expect(starts).To(HaveLen(4))
		Expect(h.core.AvailableTargets()).To(BeEmpty(), "other coordinators do not flood it either")
		h.step(10*time.Millisecond, placement.OrderResponse{
			Order: lastPoll(h, "cold").Order, Result: placement.OK, ClockMS: 1200, BootUnixMS: 7,
			Ended:   []placement.EndedEntry{{Number: 1, Task: starts[0].Task, Run: 1, Kind: placement.EndDone}},
			Running: []placement.RunningEntry{{Task: starts[1].Task, Run: 1}, {Task: starts[2].Task, Run: 1}, {Task: starts[3].Task, Run: 1}},
		})
		Expect(startsAt(h)).To(HaveLen(5))
		Expect(h.events()).To(ContainElement("target_warm"))
	})

	// Guards against a data centre that returns to service a second time in the same boot
	// of its targets and is flooded.
	DescribeTable("are cold again after they were warm", func(later ...time.Duration) {
		h := coldHarness(rule)
		h.submit("0000000000000001", 1, 1)
		start := h.confirmStarts()[0]
		h.step(10*time.Millisecond, placement.OrderResponse{
			Order: lastPoll(h, "cold").Order, Result: placement.OK, ClockMS: 1200, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: start.Task, Run: 1, Kind: placement.EndDone}},
		})
		Expect(h.events()).To(ContainElement("target_warm"))
		heartbeat := func(sequence uint64, remaining time.Duration) {
			d := description("cold", sequence)
			d.Cold, d.Capacity.CPUMillis = remaining, 200_000
			h.step(0, placement.Heartbeat{Description: d})
		}
		heartbeat(2, 100*time.Millisecond)
		Expect(h.core.AvailableTargets()).To(ConsistOf(HaveField("Cold", false)), "the same cold time, reported late")
		for i, remaining := range later {
			heartbeat(uint64(i+3), remaining)
		}
		Expect(h.core.AvailableTargets()).To(ConsistOf(HaveField("Cold", true)))
		h.submit("0000000000000002", 9, 2)
		Expect(startsAt(h)).To(HaveLen(4))
	},
		Entry("after a heartbeat without a cold time", time.Duration(0), 100*time.Millisecond),
		Entry("with a later end of the cold time", 3*time.Second),
	)

	// Guards against a limit that outlasts the cold time.
	It("are warm after their time", func() {
		h := coldHarness(rule)
		h.submit("0000000000000001", 9, 1)
		Expect(startsAt(h)).To(HaveLen(4))
		h.step(101*time.Millisecond, placement.Tick{})
		Expect(startsAt(h)).To(HaveLen(5))
	})

	// Guards against a change where evacuations are off.
	It("are like others without the rule", func() {
		h := coldHarness(placement.ColdRule{})
		h.submit("0000000000000001", 9, 1)
		Expect(startsAt(h)).To(HaveLen(9))
		Expect(h.core.AvailableTargets()[0].Cold).To(BeFalse())
	})

	// Guards against other coordinators that place more tasks than the target takes before
	// they see the effect of the first ones.
	It("offer other coordinators the quarters without a run", func() {
		h := coldHarness(rule)
		h.submit("0000000000000001", 1, 1)
		Expect(h.core.AvailableTargets()).To(ConsistOf(And(
			HaveField("Cold", true), HaveField("Free.CPUMillis", int64(150_000)), HaveField("Free.MemoryMB", int64(750)),
		)))
	})

	// Guards against a cold target of another coordinator that is preferred to a warm one.
	It("of other coordinators are considered after warm ones", func() {
		h := coldHarness(rule)
		h.step(0, placement.Heartbeat{Description: func() placement.Description {
			d := description("cold", 2)
			d.Draining = true
			return d
		}()})
		cold := availableTarget("a", 32000)
		cold.Cold = true
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{cold, availableTarget("b", 32000)}})
		h.submit("0000000000000001", 1, 1)
		requests := take[placement.RequestPlacements](h)
		Expect(requests).To(HaveLen(1))
		Expect(requests[0].Placements[0].Target).To(Equal("b"))
	})
})

var _ = Describe("random schedules with evacuations", func() {
	// Each guards against a start at a target of an evacuated data centre later than the
	// bound, beside the invariants of the other random schedules.
	entries := map[string]struct {
		storedShare  float64
		bound        time.Duration
		injectFaults func(*simulation)
	}{
		// The bound is the lease, after which a target refuses a delayed start, and
		// a second.
		"no other faults": {bound: 2 * time.Second, injectFaults: func(*simulation) {}},
		"stored jobs":     {bound: 2 * time.Second, storedShare: 0.7, injectFaults: func(*simulation) {}},
		"orders carried out late": {bound: 2 * time.Second, injectFaults: func(s *simulation) {
			s.lossRate = 0.06
			s.after(7*time.Second, func() { s.lossRate = 0 })
		}},
		"coordinators killed": {bound: 2 * time.Second, storedShare: 0.3, injectFaults: func(s *simulation) {
			for i := range 6 {
				s.after(time.Duration(i)*1200*time.Millisecond, func() { s.kill(s.randomCoordinator(), 300*time.Millisecond) })
			}
		}},
		"coordinators killed that lose their disks": {bound: 2 * time.Second, storedShare: 0.3, injectFaults: func(s *simulation) {
			s.evacuations.disksLost = true
			for i := range 6 {
				s.after(time.Duration(i)*1200*time.Millisecond, func() { s.kill(s.randomCoordinator(), 300*time.Millisecond) })
			}
		}},
		"coordinators paused": {bound: 5 * time.Second, storedShare: 0.3, injectFaults: func(s *simulation) {
			for i := range 3 {
				c := s.randomCoordinator()
				length := time.Duration(100+s.random.IntN(3000)) * time.Millisecond
				s.after(time.Duration(i)*3*time.Second, func() { s.pause(c, length) })
			}
		}},
		"links lost": {bound: 2 * time.Second, injectFaults: func(s *simulation) {
			a, b := s.coordinators[0], s.coordinators[1+s.random.IntN(len(s.coordinators)-1)]
			s.cutLink(a, b)
			s.after(3*time.Second, func() { s.restoreLink(a, b) })
		}},
		"targets handed over and restarted": {bound: 2 * time.Second, storedShare: 0.3, injectFaults: func(s *simulation) {
			for i := range 400 {
				s.after(time.Duration(i)*15*time.Millisecond, s.handOver)
			}
			for i := range 5 {
				t := s.randomTarget()
				s.after(time.Duration(i)*900*time.Millisecond, func() {
					t.runner.Restart(s.now.Milliseconds())
					s.deliverHeartbeat(t)
				})
			}
		}},
	}
	for name, entry := range entries {
		It(name, func() {
			first, count := seedRange()
			completed, early := 0, 0
			for seed := first; seed < first+count; seed++ {
				s := newSimulation(seed, 3, 12)
				s.storedShare, s.evacuations.bound = entry.storedShare, entry.bound
				s.after(2500*time.Millisecond, func() { s.evacuate("dc0") })
				s.after(5500*time.Millisecond, func() { s.evacuate("dc0", "dc1") })
				s.after(9500*time.Millisecond, func() { s.evacuate("dc1") })
				s.after(16*time.Second, func() { s.evacuate() })
				runSchedule(s, 40, entry.injectFaults)
				expectInvariants(s, seed)
				completed += s.completed + s.log.completed
				early += s.evacuations.late
			}
			Expect(completed).To(BeNumerically(">", int(count)*100), "jobs completed")
			GinkgoWriter.Printf("%d starts between an order and its bound\n", early)
		})
	}
})
