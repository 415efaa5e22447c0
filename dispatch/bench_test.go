package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// BenchmarkStart measures a task from admission to its result, with three
// quarters of the slots in use. One operation is one start.
func BenchmarkStart(b *testing.B) {
	for _, targets := range []int{50, 2000} {
		for _, tasks := range []int{1, 10} {
			b.Run(fmt.Sprintf("targets=%d/tasks=%d", targets, tasks), func(b *testing.B) {
				benchmarkStart(b, targets, tasks)
			})
		}
	}
}

func benchmarkStart(b *testing.B, targets, tasks int) {
	const slots = 8
	c := dispatch.New(dispatch.Options{Instance: "i1", Seed: 1})
	now := startTime
	c.Step(now, dispatch.ConfigChanged{Config: structs.SystemConfig{
		Version: 1,
		Classes: map[string]structs.Class{"a": {}, "b": {Rank: 1}, "c": {Rank: 2}},
		Tenants: map[string]structs.Tenant{"t1": {}, "t2": {}, "t3": {}},
	}})
	c.Step(now, dispatch.LeaseChanged{Held: true})
	announceAll := func() {
		for n := range targets {
			c.Step(now, dispatch.TargetAnnounced{Announcement: announcement(fmt.Sprint("w", n), "a", slots)})
		}
	}
	announceAll()
	announced := now
	body := make([]structs.Task, tasks)
	running := make([]structs.AttemptID, 0, targets*slots+tasks)
	collect := func() {
		for _, e := range c.Ready() {
			if s, ok := e.(dispatch.StartAttempt); ok {
				running = append(running, s.Attempt)
			}
		}
	}
	seq, first := uint64(0), 0
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += tasks {
		seq++
		now = now.Add(20 * time.Microsecond)
		if now.Sub(announced) > time.Second {
			announced = now
			announceAll()
		}
		j := structs.Job{
			ID: structs.JobIDAt(now, seq), Tenant: []string{"t1", "t2", "t3"}[seq%3], Class: []string{"a", "b", "c"}[seq/3%3],
			DeadlineUnixMS: now.Add(10 * time.Second).UnixMilli(), Tasks: body,
		}
		c.Step(now, dispatch.AdmitJob{Job: j})
		c.Step(now, dispatch.ReleaseJob{JobID: j.ID})
		collect()
		for len(running)-first > targets*slots*3/4 {
			c.Step(now, dispatch.AttemptAccepted{Attempt: running[first]})
			c.Step(now, dispatch.AttemptDone{Attempt: running[first], RunMS: 100})
			first++
			collect()
		}
		if first > targets*slots {
			running = append(running[:0], running[first:]...)
			first = 0
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
}
