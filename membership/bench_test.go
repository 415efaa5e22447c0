package membership_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkInstance reports the load on one instance per second in a group with a
// common view: processor time, messages sent and updates in them.
func BenchmarkInstance(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			g := newGroup(1, size)
			g.check = false
			g.runFor(180 * time.Second)
			g.messages, g.updates = 0, 0
			const seconds = 10
			b.ResetTimer()
			for range b.N {
				g.runFor(seconds * time.Second)
			}
			work := float64(b.N) * seconds * float64(size)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/work, "ns/instance-s")
			b.ReportMetric(float64(g.messages)/work, "messages/instance-s")
			b.ReportMetric(float64(g.updates)/work, "updates/instance-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
