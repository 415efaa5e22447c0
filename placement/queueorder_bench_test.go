package placement_test

import (
	"fmt"
	"testing"
	"time"

	"hawthornshore.example/placement"
)

// BenchmarkFullPass measures a tick with a scheduling pass over 350 full targets and 500
// waiting jobs of 2 to 8 tasks.
func BenchmarkFullPass(b *testing.B) {
	for _, order := range []placement.QueueOrder{placement.PriorityOrder, placement.CostOrder} {
		for _, left := range []int64{0, 1000} {
			b.Run(fmt.Sprintf("%s/free=%d", order, left), func(b *testing.B) {
				h := newHarnessWith(order)
				heartbeats(h, 350, 32000+left)
				for i := range uint64(350 * 8) {
					h.benchmarkJob(i+1, 1, 4000, 10_000*time.Hour)
				}
				for i := range uint64(500) {
					h.benchmarkJob(10000+i, 2+int(i%7), 4000+int64(i%7)*500, time.Hour)
				}
				if waits := h.core.Status().Queued; waits != 500 {
					b.Fatalf("%d jobs wait", waits)
				}
				for b.Loop() {
					h.core.Step(h.now, placement.Tick{})
					h.core.Ready()
				}
				if waits := h.core.Status().Queued; waits != 500 {
					b.Fatalf("%d jobs wait at the end", waits)
				}
			})
		}
	}
}

func heartbeats(h *harness, count int, cpu int64) {
	for i := range count {
		d := description(fmt.Sprintf("t%03d", i), 1)
		d.Capacity.CPUMillis = cpu
		h.core.Step(h.now, placement.Heartbeat{Description: d})
	}
	for _, effect := range h.core.Ready() {
		if poll, ok := effect.(placement.PollOrder); ok {
			h.core.Step(h.now, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
		}
	}
}

func (h *harness) benchmarkJob(number uint64, tasks int, cpu int64, expected time.Duration) {
	j := job(fmt.Sprintf("%016x", number), tasks)
	j.Steps[0].Need.CPUMillis, j.Steps[0].Expected, j.Stretch = cpu, expected, 100 // nothing is refused
	h.core.Step(h.now, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: number}, Job: j})
	h.core.Ready()
}
