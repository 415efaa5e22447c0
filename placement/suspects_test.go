package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

const suspectJob = "0000000000000001"

// crash lets the process of a target end: its poll breaks off, and further ones find no
// process at the address.
func (h *harness) crash(id string) {
	response := placement.OrderResponse{Result: placement.Unknown}
	for _, poll := range h.polls(id) {
		response.Order = poll.Order
		h.step(time.Millisecond, response)
	}
	response = placement.OrderResponse{Result: placement.Unavailable, ConnectionRefused: true}
	for polls := h.polls(id); len(polls) > 0; polls = h.polls(id) {
		response.Order = polls[0].Order
		h.step(0, response)
	}
}

// polls returns the polls of a target that were sent since the last call, and forgets
// those of others.
func (h *harness) polls(id string) []placement.PollOrder {
	var polls []placement.PollOrder
	for _, poll := range take[placement.PollOrder](h) {
		if poll.Target.ID == id {
			polls = append(polls, poll)
		}
	}
	return polls
}

// boot makes the boot of a target ready that started at a time.
func (h *harness) boot(id, address string, unixMS int64) {
	take[placement.PollOrder](h)
	d := description(id, 1)
	d.Address, d.BootUnixMS = address, unixMS
	h.step(0, placement.Heartbeat{Description: d})
	for _, poll := range h.polls(id) {
		h.step(time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: unixMS})
	}
}

// keepAlive lets 100 ms pass, in which the log is read and a target sends a heartbeat and
// responds to its polls.
func (h *harness) keepAlive(id string) {
	h.step(100*time.Millisecond, placement.LogReadConfirmed{StartedAt: h.now})
	h.step(0, placement.Heartbeat{Description: description(id, uint64(h.now/time.Millisecond))})
	for _, poll := range h.polls(id) {
		h.step(0, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
	}
}

func (h *harness) wait(length time.Duration) {
	for range int(length / (100 * time.Millisecond)) {
		h.step(100*time.Millisecond, placement.Tick{})
	}
}

// events returns the events of the decisions since the last call.
func (h *harness) events() []string {
	var events []string
	for _, d := range take[placement.Decision](h) {
		events = append(events, d.Event)
	}
	return events
}

// submitPatient submits a job that is not aborted for its age during a test.
func (h *harness) submitPatient(tasks int) {
	j := job(suspectJob, tasks)
	j.Allowance = time.Minute
	h.step(0, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: 1}, Job: j})
}

func peerTarget(id, address string, boot int64) placement.PeerAvailability {
	return placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{{
		Target: id, Service: "other", Address: address, BootUnixMS: boot,
	}}}
}

var _ = Describe("a task whose target is lost", func() {
	var h *harness
	lose := func() {
		h.submitPatient(1)
		h.confirmStarts()
		h.events()
		h.crash("t")
	}
	BeforeEach(func() {
		h = newHarness()
		h.acquire("t")
	})

	// Guards against sound tasks that are given up because links to targets were lost, or
	// targets were stopped as planned.
	DescribeTable("has not crashed it", func(event func()) {
		lose()
		event()
		h.wait(2 * time.Second)
		Expect(h.events()).To(And(ContainElement("task_acquitted"), Not(ContainElement("task_crashed_target"))))
	},
		Entry("if it returns with the same boot", func() { h.boot("t", "t:1", 7) }),
		Entry("if it returns to another coordinator", func() { h.step(0, peerTarget("t", "t:1", 7)) }),
		Entry("if it was draining", func() { h.step(0, placement.TargetDraining{Target: "t", BootUnixMS: 7}) }),
		Entry("if it has deregistered", func() { h.step(0, placement.TargetDeregistered{Target: "t", BootUnixMS: 7}) }),
		Entry("if it is not seen again", func() { h.wait(8 * time.Second) }),
	)

	// Guards against crashes that are not counted because the next boot has another ID or
	// another owner.
	DescribeTable("has crashed it", func(event func()) {
		lose()
		event()
		h.wait(time.Second)
		Expect(h.events()).To(And(ContainElements("task_crashed_target", "target_crashed"), Not(ContainElement("task_acquitted"))))
	},
		Entry("if its next boot has the same ID", func() { h.boot("t", "t:1", 9) }),
		Entry("if another ID reports from its address", func() { h.boot("u", "t:1", 9) }),
		Entry("if its next boot has another owner", func() { h.step(0, peerTarget("t", "t:1", 9)) }),
		Entry("if another ID at its address has another owner", func() { h.step(0, peerTarget("u", "t:1", 9)) }),
	)

	// Guards against a crash that is missed, because the next boot responds before its
	// first heartbeat arrives.
	It("has crashed it if its next boot responds at once", func() {
		h.submitPatient(1)
		h.confirmStarts()
		h.step(time.Millisecond, placement.OrderResponse{Order: h.polls("t")[0].Order, Result: placement.OtherBoot, BootUnixMS: 9})
		h.boot("u", "t:1", 9)
		h.wait(time.Second)
		Expect(h.events()).To(ContainElement("task_crashed_target"))
	})

	// Guards against a sound task that is given up: its start was refused by the next boot
	// of a target that had crashed before, and counted as a crash under it.
	It("has not crashed it if the next boot refuses the start", func() {
		h.submitPatient(1)
		start := take[placement.StartOrder](h)[0]
		h.step(time.Millisecond, placement.OrderResponse{Order: start.Order, Result: placement.OtherBoot})
		h.boot("u", "t:1", 9)
		h.wait(time.Second)
		Expect(h.events()).NotTo(ContainElement("task_crashed_target"))
		Expect(take[placement.StartOrder](h)).NotTo(BeEmpty(), "the task is started again")
	})

	// Guards against a crash that is missed, because the next boot of the same ID is there
	// before the start was confirmed.
	It("may have crashed it by a start without a response", func() {
		h.submitPatient(1)
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
		d := description("t", 1)
		d.BootUnixMS = 9
		h.step(0, placement.Heartbeat{Description: d})
		for range 2 { // a poll of the other boot, and one under a newer token
			for _, poll := range h.polls("t") {
				h.step(time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 100, BootUnixMS: 9})
			}
		}
		Expect(h.events()).To(ContainElement("task_crashed_target"))
		h.wait(500 * time.Millisecond)
		Expect(h.events()).To(ContainElement("task_isolated"))
	})

	// Guards against a lost run that counts although its target drains: a planned stop.
	It("is no suspect if the target was draining before", func() {
		h.submitPatient(1)
		h.confirmStarts()
		d := description("t", 2)
		d.Draining = true
		h.step(0, placement.Heartbeat{Description: d})
		h.events()
		h.crash("t")
		h.boot("u", "t:1", 9)
		h.wait(time.Second)
		Expect(h.events()).NotTo(ContainElement("task_crashed_target"))
	})

	// Guards against a third start of a task under which two targets have crashed, and
	// against a caller that returns with it because the answer leaves the result open.
	It("is given up after two crashes", func() {
		lose()
		h.boot("u", "t:1", 9)
		h.wait(2 * time.Second)
		start := take[placement.StartOrder](h)[0]
		h.step(time.Millisecond, placement.OrderResponse{Order: start.Order, Result: placement.OK, ClockMS: 1100, BootUnixMS: 9})
		h.crash("u")
		h.boot("v", "t:1", 11)
		h.wait(5 * time.Second)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(And(
			HaveField("Outcome", placement.Failed), HaveField("Reason", ContainSubstring("has crashed 2 targets")),
		)))
	})

	// Guards against a task that takes one target after the other while it is unknown
	// whether the earlier ones have crashed.
	It("waits for a verdict after two losses", func() {
		h.acquire("u")
		h.acquire("v")
		lose()
		h.wait(2 * time.Second)
		starts := h.confirmStarts()
		Expect(starts).To(HaveLen(1))
		h.crash(starts[0].Target.ID)
		h.wait(4 * time.Second)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	})

	// Guards against sound tasks that are given up because they ran beside a deadly one.
	It("is not given up for crashes beside other runs", func() {
		h.submitPatient(2)
		h.confirmStarts()
		h.crash("t")
		h.boot("u", "t:1", 9)
		h.wait(2 * time.Second)
		Expect(h.events()).To(ContainElement("task_crashed_target"))
		Expect(take[placement.AnswerJob](h)).To(BeEmpty())
	})
})

var _ = Describe("a run that has to be alone on its target", func() {
	alone := func(task string) placement.PlacementsRequested {
		return placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{{
			Ref: 1, Task: task, Run: 1, Service: "desk", Need: placement.Resources{CPUMillis: 14000}, Target: "t", Alone: true,
		}}}
	}
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.acquire("t")
		h.step(0, placement.PeerConnected{Peer: "c1"})
	})

	// Guards against sound tasks that go down with a suspect, and suspects that cannot be
	// told from their neighbours.
	It("gets no neighbours", func() {
		h.step(0, alone(suspectJob+".0.0.0"))
		Expect(h.confirmStarts()).To(HaveLen(1))
		h.submit("0000000000000002", 1, 2)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		Expect(h.core.AvailableTargets()).To(BeEmpty())
	})

	// Guards against a suspect that never starts, because targets are never idle.
	It("has a target set aside until that is idle", func() {
		h.submit("0000000000000002", 1, 2)
		h.confirmStarts()
		h.step(0, alone(suspectJob+".0.0.0"))
		Expect(take[placement.SendReports](h)).To(HaveLen(1))
		h.submit("0000000000000003", 1, 3)
		Expect(take[placement.StartOrder](h)).To(BeEmpty(), "the target is set aside")
		h.step(time.Millisecond, placement.OrderResponse{
			Order: lastPoll(h, "t").Order, Result: placement.OK, ClockMS: 1200, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: "0000000000000002.0.0.0", Run: 1, Kind: placement.EndDone}},
		})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		h.step(100*time.Millisecond, alone(suspectJob+".0.0.0"))
		Expect(take[placement.StartOrder](h)).To(ConsistOf(HaveField("Task", suspectJob+".0.0.0")))
	})

	// Guards against a target that stays set aside for a suspect that no longer needs it.
	It("has no target set aside for longer than a second", func() {
		h.submit("0000000000000002", 1, 2)
		h.confirmStarts()
		h.step(0, alone(suspectJob+".0.0.0"))
		Expect(h.core.AvailableTargets()).To(BeEmpty())
		h.wait(time.Second)
		Expect(h.core.AvailableTargets()).To(HaveLen(1))
	})

	// Guards against neighbours after a hand-over of the target.
	It("stays alone after a hand-over", func() {
		h.step(0, placement.HandOverReceived{Peer: "c1", HandOver: placement.HandOver{
			Description: description("u", 1), Token: 1, Runs: []placement.HandedRun{{
				Home: "c1", Ref: 1, Task: suspectJob + ".0.0.0", Run: 1, Need: placement.Resources{CPUMillis: 14000}, Exclusive: true, Alone: true,
			}},
		}})
		poll := h.polls("u")[0]
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7,
			Running: []placement.RunningEntry{{Task: suspectJob + ".0.0.0", Run: 1}},
		})
		Expect(h.core.AvailableTargets()).To(ConsistOf(HaveField("Target", "t")))
	})
})

var _ = Describe("a stored task that may crash its target", func() {
	// Guards against a job that is shown as failed though no run has ended as failed, and
	// against a task that crashes target after target, also by way of a new home that does
	// not know of the crashes.
	DescribeTable("is tried again at growing intervals after crashes, and never given up", func(crashes int, delay time.Duration) {
		h := newHarness()
		h.acquire("t")
		h.confirm()
		progress := placement.TaskProgress{Floor: 1000}
		for i := range crashes {
			progress.Losses = append(progress.Losses, placement.RunLoss{
				Run: 1 + i, Target: "x", TargetLoss: placement.TargetLoss{Address: "a", BootUnixMS: 7, Alone: true, Crashed: true},
			})
		}
		h.step(0, storedChanged("c0/1", 1, progress))
		for range int(delay/(100*time.Millisecond)) - 2 {
			h.keepAlive("t")
			Expect(take[placement.StartOrder](h)).To(BeEmpty())
		}
		for range 5 {
			h.keepAlive("t")
		}
		Expect(take[placement.StartOrder](h)).To(ConsistOf(And(HaveField("Task", storedTask), HaveField("Run", 1001))))
		Expect(h.core.StoredJobs()).To(ConsistOf(storedID))
	},
		Entry("two: the wait for the earlier home is longer", 2, 3600*time.Millisecond),
		Entry("three", 3, 8*time.Second),
		Entry("four", 4, time.Minute),
		Entry("eight", 8, time.Minute),
	)

	// Guards against crashes that are forgotten with the home.
	It("has the loss recorded with the run that is given up, and then the crash", func() {
		h := newHarness()
		h.acquire("t")
		h.store()
		h.confirmStarts()
		h.crash("t")
		for range 14 {
			h.step(100*time.Millisecond, placement.LogReadConfirmed{StartedAt: h.now})
		}
		expected := placement.RunLoss{Run: 1, Target: "t", TargetLoss: placement.TargetLoss{
			Address: "t:1", BootUnixMS: 7, Alone: true, Newest: true,
		}}
		Expect(take[placement.GiveUpRun](h)).To(ConsistOf(placement.GiveUpRun{Task: storedTask, Run: 1, Loss: &expected}))
		h.boot("u", "t:1", 9)
		h.wait(200 * time.Millisecond)
		expected.Crashed = true
		Expect(take[placement.RecordLoss](h)).To(ConsistOf(placement.RecordLoss{Task: storedTask, Loss: expected}))
	})
})

var _ = Describe("a job that is not stored and may crash its target", func() {
	// Guards against a caller that returns with an aborted job and has its tasks crash
	// target after target, because the crashes were forgotten with the job.
	It("has its crashes remembered when it is submitted again", func() {
		h := newHarness()
		h.acquire("t")
		h.submit(suspectJob, 1, 1)
		h.confirmStarts()
		h.crash("t")
		h.step(0, placement.Withdraw{Caller: placement.Caller{Gateway: "g", Ref: 1}})
		h.wait(3 * time.Second)
		Expect(h.core.Status().Jobs).To(BeZero())
		h.boot("u", "t:1", 9)
		h.events()
		h.submit(suspectJob, 1, 2)
		h.wait(200 * time.Millisecond)
		Expect(h.events()).To(ContainElements("task_crashed_target", "task_isolated"))
	})
})

var _ = Describe("a task that may have crashed its target", func() {
	// Guards against placements that the owner of a target refuses again and again,
	// because a run there may have crashed a target, too.
	It("is not placed on another coordinator's target beside such a task", func() {
		h := newHarness()
		h.acquire("t")
		h.submitPatient(1)
		h.confirmStarts()
		h.step(20*time.Second, placement.Heartbeat{Description: description("t", 2)})
		for _, poll := range h.polls("t") { // the target falls silent without a trace of its end
			h.step(0, placement.OrderResponse{Order: poll.Order, Result: placement.Unknown})
		}
		for polls := h.polls("t"); len(polls) > 0; polls = h.polls("t") {
			h.step(0, placement.OrderResponse{Order: polls[0].Order, Result: placement.Unknown})
		}
		offer := availableTarget("u", 32000)
		offer.HasSuspect = true
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{offer}})
		h.wait(3 * time.Second)
		Expect(take[placement.RequestPlacements](h)).To(BeEmpty())
		offer.HasSuspect = false
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{offer}})
		Expect(take[placement.RequestPlacements](h)).To(HaveLen(1))
	})
})
