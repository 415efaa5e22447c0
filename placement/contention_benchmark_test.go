package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlaceTask places tasks with 10,000 targets at 5 other coordinators, of which
// each has capacity for many tasks, for few or for none, while other homes compete.
func BenchmarkPlaceTask(b *testing.B) {
	for _, free := range []int{2000, 3, 0} {
		b.Run(fmt.Sprintf("%d free targets", free), func(b *testing.B) {
			c := New(Options{Name: "c0"})
			c.Step(time.Hour, Tick{})
			for peer := range 5 {
				var included uint64
				update := PeerAvailability{Peer: fmt.Sprintf("p%d", peer), IncludedRef: &included, Demand: map[string]uint32{"c0": 40, "p7": 40, "p8": 40}}
				for i := range 2000 {
					t := AvailableTarget{Target: fmt.Sprintf("p%dt%d", peer, i), Service: "desk", Free: Resources{CPUMillis: 1000, MemoryMB: 1000}}
					if i%(2000/max(free, 1)) == 0 && free > 0 {
						t.Free.CPUMillis = 8000
					}
					update.Targets = append(update.Targets, t)
				}
				c.Step(time.Hour, update)
			}
			j := &job{Job: Job{Service: "desk", Steps: []Step{{Need: Resources{CPUMillis: 4000}}}}}
			t := &task{job: j}
			b.ResetTimer()
			for range b.N {
				c.bestCandidate(j, t, &j.Steps[0])
			}
		})
	}
}
