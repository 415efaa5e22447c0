package placement_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// acquireWith makes a target with labels and a capacity ready.
func (h *harness) acquireWith(id string, cpu int64, labels ...string) {
	d := description(id, 1)
	d.Labels, d.Capacity.CPUMillis = labels, cpu
	h.step(0, placement.Heartbeat{Description: d})
	polls := take[placement.PollOrder](h)
	Expect(polls).To(HaveLen(1))
	h.step(time.Millisecond, placement.OrderResponse{Order: polls[0].Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
}

// submitStep submits a job of one step, with a number as its ID.
func (h *harness) submitStep(number uint64, step placement.Step) {
	submitted := job(fmt.Sprintf("%016x", number), 1)
	submitted.Steps = []placement.Step{step}
	h.step(0, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: number}, Job: submitted})
}

// runLong has job 1 run tasks of 10 s, which a tick has seen.
func (h *harness) runLong(cpu int64, count int) {
	h.submitStep(1, placement.Step{Count: count, Need: placement.Resources{CPUMillis: cpu}, Expected: 10 * time.Second})
	Expect(h.confirmStarts()).To(HaveLen(count))
	h.step(placement.TickInterval, placement.Tick{})
}

var _ = Describe("the cost order", func() {
	// Guards against a job that waits beside free capacity because the CPU that comes free
	// was counted without regard to targets, labels and other homes.
	DescribeTable("starts a part of a step at once, as the priority order does",
		func(targets map[string]int64, label string, long int64, step placement.Step, starts int) {
			for _, order := range []placement.QueueOrder{placement.PriorityOrder, placement.CostOrder} {
				h := newHarnessWith(order)
				for _, id := range []string{"t", "u"} {
					switch {
					case targets[id] == 0:
					case id == "t" && label != "":
						h.acquireWith(id, targets[id], label)
					default:
						h.acquireWith(id, targets[id])
					}
				}
				h.runLong(long, 1)
				step.Expected = 200 * time.Millisecond
				h.submitStep(2, step)
				Expect(take[placement.StartOrder](h)).To(HaveLen(starts), "%s", order)
			}
		},
		Entry("with a limit for each target", map[string]int64{"t": 32000, "u": 32000}, "", int64(1000),
			placement.Step{Count: 4, Need: placement.Resources{CPUMillis: 4000}, PerTarget: 1}, 2),
		Entry("with a requirement that one target meets", map[string]int64{"t": 32000, "u": 32000}, "L", int64(1000),
			placement.Step{Count: 3, Need: placement.Resources{CPUMillis: 14000}, Requirement: "L"}, 2),
		Entry("with room for at least half of it", map[string]int64{"t": 32000}, "", int64(4000),
			placement.Step{Count: 8, Need: placement.Resources{CPUMillis: 4000}}, 7),
		Entry("while the home's own tasks hold less than the missing part", map[string]int64{"t": 9000}, "", int64(1000),
			placement.Step{Count: 8, Need: placement.Resources{CPUMillis: 4000}}, 2),
	)

	// Guards against a job that waits for its last useful moment although nothing can run it.
	It("refuses a job at its start timeout if its service has no usable target", func() {
		h := newHarnessWith(placement.CostOrder)
		h.submit("0000000000000001", 2, 1)
		submitted := job("0000000000000001", 2)
		h.step(submitted.StartTimeout()-time.Millisecond, placement.Tick{})
		Expect(take[placement.AnswerJob](h)).To(BeEmpty())
		h.step(time.Millisecond, placement.Tick{})
		Expect(take[placement.AnswerJob](h)).To(HaveExactElements(And(
			HaveField("Outcome", placement.NotRun), HaveField("RetryAfter", BeNumerically(">=", time.Second)))))
	})

	// Guards against a late job that is refused although no job in time waits, and against one
	// that waits beyond any use.
	It("keeps a late job until its last useful moment", func() {
		h := newHarnessWith(placement.CostOrder)
		h.acquire("t")
		h.runLong(14000, 2)
		h.submit("0000000000000002", 1, 2)
		for range 25 { // the objective is 380 ms
			h.step(placement.TickInterval, placement.Tick{})
		}
		Expect(take[placement.AnswerJob](h)).To(BeEmpty())
		for range 25 {
			h.step(placement.TickInterval, placement.Tick{})
		}
		Expect(take[placement.AnswerJob](h)).To(ContainElement(HaveField("JobID", "0000000000000002")), "its last useful moment has passed")
	})
})
