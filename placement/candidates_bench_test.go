package placement_test

import (
	"fmt"
	"testing"
	"time"

	"hawthornshore.example/placement"
)

// BenchmarkPlacement measures the placement of a job of four tasks among the targets of
// another coordinator, of which a tenth has capacity. It guards against a search that
// becomes slower with what is known of the targets.
func BenchmarkPlacement(b *testing.B) {
	for _, count := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("%d targets", count), func(b *testing.B) {
			core := placement.New(benchmarkOptions())
			targets := make([]placement.AvailableTarget, count)
			for i := range targets {
				targets[i] = placement.AvailableTarget{Target: fmt.Sprintf("t%05d", i), Service: "desk", Labels: []string{"a", "r1"}}
				if i%10 == 0 {
					targets[i].Free = placement.Resources{CPUMillis: 16000, MemoryMB: 4096}
				}
			}
			now := time.Hour
			core.Step(now, placement.PeerConnected{Peer: "c1"})
			for i := range b.N {
				b.StopTimer()
				copied := append([]placement.AvailableTarget(nil), targets...)
				core.Step(now, placement.PeerAvailability{Peer: "c1", Targets: copied})
				core.Ready()
				id := fmt.Sprintf("%016x", i)
				caller := placement.Caller{Gateway: "g", Ref: uint64(i)}
				b.StartTimer()
				core.Step(now, placement.Submit{Caller: caller, Job: job(id, 4)})
				core.Ready()
				b.StopTimer()
				core.Step(now, placement.Withdraw{Caller: caller})
				core.Step(now, placement.PeerDisconnected{Peer: "c1"})
				now += 5 * time.Second
				core.Step(now, placement.Tick{})
				core.Ready()
				b.StartTimer()
			}
		})
	}
}
