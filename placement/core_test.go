package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// harness steps one core and collects its effects.
type harness struct {
	core    *placement.Core
	now     time.Duration
	effects []placement.Effect
}

func newHarness() *harness {
	return &harness{
		core: placement.New(placement.Options{
			Name: "c0", Home: "c0/1", Lease: time.Second, StopTime: 50 * time.Millisecond, UnixMS: 1_700_000_000_000,
		}),
		now: time.Hour,
	}
}

func (h *harness) step(after time.Duration, event placement.Event) {
	h.now += after
	h.core.Step(h.now, event)
	h.effects = append(h.effects, h.core.Ready()...)
}

// take returns the effects of a type since the last call.
func take[T any](h *harness) []T {
	var taken []T
	var rest []placement.Effect
	for _, effect := range h.effects {
		if e, ok := effect.(T); ok {
			taken = append(taken, e)
		} else {
			rest = append(rest, effect)
		}
	}
	h.effects = rest
	return taken
}

func description(id string, sequence uint64) placement.Description {
	return placement.Description{
		ID: id, Service: "desk", Address: id + ":1", Capacity: placement.Resources{CPUMillis: 32000, MemoryMB: 1000},
		BootUnixMS: 7, Sequence: sequence, ClockMS: 1000,
	}
}

// acquire makes a target ready.
func (h *harness) acquire(id string) {
	h.step(0, placement.Heartbeat{Description: description(id, 1)})
	polls := take[placement.PollOrder](h)
	Expect(polls).To(HaveLen(1))
	h.step(time.Millisecond, placement.OrderResponse{Order: polls[0].Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
}

func job(id string, tasks int) placement.Job {
	return placement.Job{
		ID: id, Queue: "q", Service: "desk", MaxAttempts: 2, Stretch: 1.6, Allowance: 60 * time.Millisecond,
		Steps: []placement.Step{{Count: tasks, Need: placement.Resources{CPUMillis: 14000}, Expected: 200 * time.Millisecond}},
	}
}

func (h *harness) submit(id string, tasks int, ref uint64) {
	h.step(0, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: ref}, Job: job(id, tasks)})
}

// confirmStarts confirms the starts that were ordered and returns them.
func (h *harness) confirmStarts() []placement.StartOrder {
	starts := take[placement.StartOrder](h)
	for i := range starts {
		h.step(time.Millisecond, placement.OrderResponse{Order: starts[i].Order, Result: placement.OK, ClockMS: 1100, BootUnixMS: 7})
	}
	return starts
}

var _ = Describe("targets", func() {
	// Guards against a start on a target that may hold runs of an earlier owner.
	It("get no start before a poll without unknown runs", func() {
		h := newHarness()
		h.step(0, placement.Heartbeat{Description: description("t", 1)})
		h.submit("0000000000000001", 1, 1)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		poll := take[placement.PollOrder](h)[0]
		Expect(poll.ExpiresMS).To(BeZero(), "a first poll extends no lease")
		unknown := placement.RunningEntry{Task: "ffff.0.0.0", Run: 1}
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7, Running: []placement.RunningEntry{unknown},
		})
		stops := take[placement.StopOrder](h)
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Task).To(Equal("ffff.0.0.0"))
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		h.step(time.Millisecond, placement.OrderResponse{Order: stops[0].Order, Result: placement.OK, ClockMS: 1001, BootUnixMS: 7})
		poll = take[placement.PollOrder](h)[0]
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1002, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: "ffff.0.0.0", Run: 1, Kind: placement.EndStopped}},
		})
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
	})

	// Guards against a target over its capacity while a start is pending, and
	// against a start that is still in flight when its task starts elsewhere.
	It("reserve capacity for a start without a response until a poll under a newer token", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 2, 1)
		starts := take[placement.StartOrder](h)
		Expect(starts).To(HaveLen(2))
		h.step(200*time.Millisecond, placement.OrderResponse{Order: starts[0].Order, Result: placement.Unknown})
		poll := take[placement.PollOrder](h)
		Expect(poll).NotTo(BeEmpty())
		newest := poll[len(poll)-1]
		Expect(newest.Token).To(BeNumerically(">", starts[0].Token))
		h.submit("0000000000000002", 1, 2)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		h.step(time.Millisecond, placement.OrderResponse{
			Order: newest.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7,
			Running: []placement.RunningEntry{{Task: starts[1].Task, Run: 1}},
		})
		again := take[placement.StartOrder](h)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Token).To(BeNumerically(">=", newest.Token))
	})

	// Guards against a lease that is extended for ever at a target whose responses
	// are lost, so that its runs are alive when they start elsewhere.
	It("get no lease extension while polls fail", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		h.confirmStarts()
		var leases []int64
		for range 4 {
			polls := take[placement.PollOrder](h)
			last := polls[len(polls)-1]
			leases = append(leases, last.ExpiresMS)
			h.step(last.Timeout, placement.OrderResponse{Order: last.Order, Result: placement.Unknown})
		}
		Expect(leases[2:]).To(HaveEach(BeZero()))
	})

	// Guards against new work on a draining target, also when only a peer has
	// acknowledged the drain.
	It("get no start after they or a peer have reported their drain", func() {
		h := newHarness()
		h.acquire("t")
		h.step(0, placement.TargetDraining{Target: "t", BootUnixMS: 7})
		h.submit("0000000000000001", 1, 1)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		late := newHarness()
		late.step(0, placement.TargetDraining{Target: "t", BootUnixMS: 7})
		late.acquire("t")
		late.submit("0000000000000001", 1, 1)
		Expect(take[placement.StartOrder](late)).To(BeEmpty())
	})

	// Guards against tasks that make no progress on a target that responds.
	It("have a stalled run stopped and started elsewhere", func() {
		h := newHarness()
		h.acquire("t")
		h.acquire("u")
		h.submit("0000000000000001", 1, 1)
		start := h.confirmStarts()[0]
		for range 2 {
			poll := lastPoll(h, start.Target.ID)
			h.step(poll.Wait, placement.OrderResponse{
				Order: poll.Order, Result: placement.OK, ClockMS: 1500, BootUnixMS: 7,
				Running: []placement.RunningEntry{{Task: start.Task, Run: 1, Percent: 10}},
			})
		}
		stops := take[placement.StopOrder](h)
		Expect(stops).To(HaveLen(1))
		h.step(time.Millisecond, placement.OrderResponse{Order: stops[0].Order, Result: placement.OK, ClockMS: 1900, BootUnixMS: 7})
		poll := lastPoll(h, start.Target.ID)
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1950, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: start.Task, Run: 1, Kind: placement.EndStopped}},
		})
		again := take[placement.StartOrder](h)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Target.ID).NotTo(Equal(start.Target.ID))
		Expect(again[0].Run).To(Equal(2))
	})

	// Guards against a restarted coordinator that waits for heartbeats, and
	// against one that takes over targets that another one owns by now.
	It("that an earlier process owned are polled soon, unless a peer owns them", func() {
		h := newHarness()
		h.step(0, placement.TargetsRestored{Targets: []placement.Description{description("t", 0), description("u", 0)}})
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{{Target: "u", Service: "desk"}}})
		h.step(100*time.Millisecond, placement.Tick{})
		Expect(take[placement.PollOrder](h)).To(BeEmpty())
		h.step(300*time.Millisecond, placement.Tick{})
		polls := take[placement.PollOrder](h)
		Expect(polls).To(HaveLen(1))
		Expect(polls[0].Target.ID).To(Equal("t"))
	})
})

// lastPoll returns the newest poll of a target.
func lastPoll(h *harness, id string) placement.PollOrder {
	var found placement.PollOrder
	for _, poll := range take[placement.PollOrder](h) {
		if poll.Target.ID == id {
			found = poll
		}
	}
	Expect(found.Order).NotTo(BeZero(), "no poll of "+id)
	return found
}

var _ = Describe("jobs", func() {
	// Guards against a refusal of a job that has run, and against a job that waits
	// for longer than a quarter of its objective.
	It("are refused as not run only while no task has started", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 3, 1)
		h.submit("0000000000000002", 1, 2)
		h.confirmStarts()
		h.step(110*time.Millisecond, placement.Tick{})
		answers := take[placement.AnswerJob](h)
		Expect(answers).To(HaveLen(1))
		Expect(answers[0].JobID).To(Equal("0000000000000002"))
		Expect(answers[0].Outcome).To(Equal(placement.NotRun))
		Expect(answers[0].RetryAfter).To(BeNumerically(">", 0))
	})

	// Guards against a second run beside the first one after a resubmission.
	It("keep their tasks when their ID is submitted again", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		start := h.confirmStarts()[0]
		h.submit("0000000000000001", 1, 2)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(HaveField("Caller.Ref", uint64(1))))
		poll := lastPoll(h, "t")
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: start.Task, Run: 1, Kind: placement.EndDone}},
		})
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(And(
			HaveField("Caller.Ref", uint64(2)), HaveField("Outcome", placement.Completed),
		)))
	})

	// Guards against a job that starts again while runs of its first submission
	// are being stopped.
	It("start again only after the runs of a withdrawn submission have ended", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		start := h.confirmStarts()[0]
		h.step(0, placement.Withdraw{Caller: placement.Caller{Gateway: "g", Ref: 1}})
		Expect(take[placement.StopOrder](h)).To(HaveLen(1))
		h.submit("0000000000000001", 1, 2)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		poll := lastPoll(h, "t")
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: start.Task, Run: 1, Kind: placement.EndStopped}},
		})
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
	})

	// Guards against a step that begins before the steps it follows are done.
	It("start a step after the steps before it", func() {
		h := newHarness()
		h.acquire("t")
		two := job("0000000000000001", 1)
		second := two.Steps[0]
		second.After = []int{0}
		two.Steps = append(two.Steps, second)
		h.step(0, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: 1}, Job: two})
		first := h.confirmStarts()
		Expect(first).To(HaveLen(1))
		poll := lastPoll(h, "t")
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: first[0].Task, Run: 1, Kind: placement.EndDone}},
		})
		Expect(take[placement.StartOrder](h)).To(ConsistOf(HaveField("Task", "0000000000000001.0.1.0")))
	})

	// Guards against attempts beyond the limit and a wrong outcome.
	It("fail when a task has used up its attempts", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		for number := range uint64(2) {
			start := h.confirmStarts()
			Expect(start).To(HaveLen(1))
			poll := lastPoll(h, "t")
			h.step(time.Millisecond, placement.OrderResponse{
				Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7,
				Ended: []placement.EndedEntry{{Number: number + 1, Task: start[0].Task, Run: start[0].Run, Kind: placement.EndFailed}},
			})
		}
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(HaveField("Outcome", placement.Failed)))
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	})

	// Guards against runs of another home that go on after the link to it has
	// failed: the home starts them elsewhere.
	It("are stopped here when the link to their home is lost", func() {
		h := newHarness()
		h.acquire("t")
		h.step(0, placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{{
			Ref: 5, Task: "0000000000000001.0.0.0", Run: 1, Service: "desk", Target: "t",
			Need: placement.Resources{CPUMillis: 14000},
		}}})
		Expect(h.confirmStarts()).To(HaveLen(1))
		h.step(0, placement.PeerDisconnected{Peer: "c1"})
		Expect(take[placement.StopOrder](h)).To(ConsistOf(HaveField("Task", "0000000000000001.0.0.0")))
	})

	// Guards against runs that go on after a cancel.
	It("are stopped when they are cancelled", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		h.confirmStarts()
		h.step(0, placement.Cancel{JobID: "0000000000000001"})
		Expect(take[placement.StopOrder](h)).To(HaveLen(1))
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(HaveField("Outcome", placement.Cancelled)))
	})
})

var _ = Describe("a target that is handed over", func() {
	// Guards against a job that is never answered: the home of a run has no link
	// to the target's new owner yet when the run's end is reported.
	It("has the ends of its runs reported to a home that connects later", func() {
		h := newHarness()
		h.step(0, placement.PeerAvailability{Peer: "c1"})
		h.step(0, placement.HandOverReceived{Peer: "c1", HandOver: placement.HandOver{
			Description: description("t", 1), Token: 5,
			Runs: []placement.HandedRun{{
				Home: "c2", Ref: 77, Task: "0000000000000001.0.0.0", Run: 1, Need: placement.Resources{CPUMillis: 14000},
			}},
		}})
		poll := lastPoll(h, "t")
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: "0000000000000001.0.0.0", Run: 1, Kind: placement.EndDone}},
		})
		Expect(take[placement.SendReports](h)).To(BeEmpty(), "there is no link to c2")
		h.step(300*time.Millisecond, placement.PeerAvailability{Peer: "c2"})
		Expect(take[placement.SendReports](h)).To(ContainElement(And(
			HaveField("Peer", "c2"), HaveField("Reports", ContainElement(And(
				HaveField("Ref", uint64(77)), HaveField("Kind", placement.RunDone),
			))),
		)))
	})
})

var _ = Describe("a target that is handed over and is not valid", func() {
	// Guards against jobs that are never answered because their target is left out.
	It("has its runs reported as lost, and gets no orders", func() {
		h := newHarness()
		h.step(0, placement.PeerAvailability{Peer: "c1"})
		h.step(0, placement.HandOverReceived{Peer: "c1", Invalid: "port 0", HandOver: placement.HandOver{
			Description: description("t", 1), Token: 5, Runs: []placement.HandedRun{{Home: "c1", Ref: 77, Task: "0000000000000001.0.0.0", Run: 1}},
		}})
		h.step(300*time.Millisecond, placement.Tick{})
		Expect(take[placement.SendReports](h)).To(ConsistOf(HaveField("Reports", ConsistOf(And(
			HaveField("Ref", uint64(77)), HaveField("Kind", placement.RunLost), HaveField("SafeAfter", BeNumerically(">", time.Second)),
		)))))
		Expect(take[placement.PollOrder](h)).To(BeEmpty())
	})
})

var _ = Describe("available targets", func() {
	// Guards against a new peer that receives idle targets only when they change.
	It("are announced again when a coordinator connects", func() {
		h := newHarness()
		h.acquire("t")
		take[placement.AvailabilityChanged](h)
		h.step(time.Second, placement.Tick{})
		Expect(take[placement.AvailabilityChanged](h)).To(BeEmpty())
		h.step(0, placement.PeerConnected{Peer: "c1"})
		Expect(take[placement.AvailabilityChanged](h)).To(HaveLen(1))
		Expect(h.core.AvailableTargets()).To(ConsistOf(HaveField("Target", "t")))
	})
})

var _ = Describe("a draining coordinator", func() {
	// Guards against a planned shutdown that ends running tasks: the target goes to
	// the peer with its runs, and their ends are reported to the home.
	It("hands its targets over with their runs", func() {
		h := newHarness()
		h.acquire("t")
		h.step(0, placement.PeerAvailability{Peer: "c1"})
		h.submit("0000000000000001", 1, 1)
		start := h.confirmStarts()[0]
		h.step(0, placement.Drain{})
		handOvers := take[placement.SendHandOver](h)
		Expect(handOvers).To(HaveLen(1))
		Expect(handOvers[0].HandOver.Runs).To(ConsistOf(And(HaveField("Task", start.Task), HaveField("Home", "c0"))))

		peer := placement.New(placement.Options{Name: "c1", Lease: time.Second, UnixMS: 1_700_000_000_000})
		peer.Step(h.now, placement.HandOverReceived{Peer: "c0", HandOver: handOvers[0].HandOver})
		var poll placement.PollOrder
		for _, effect := range peer.Ready() {
			if e, ok := effect.(placement.PollOrder); ok {
				poll = e
			}
		}
		Expect(poll.Token).To(BeNumerically(">", start.Token))
		peer.Step(h.now+time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7,
			Ended: []placement.EndedEntry{{Number: 1, Task: start.Task, Run: 1, Kind: placement.EndDone}},
		})
		var reports []placement.Report
		for _, effect := range peer.Ready() {
			if e, ok := effect.(placement.SendReports); ok {
				reports = append(reports, e.Reports...)
			}
		}
		h.step(0, placement.PlacementsReported{Peer: "c1", Reports: reports})
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(HaveField("Outcome", placement.Completed)))
		Expect(h.core.Idle()).To(BeTrue())
	})
})
