package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

var _ = Describe("the cost order", func() {
	// Guards against stored jobs that fresh jobs of their class pass over as long as an
	// overload lasts.
	It("starts stored jobs within a bounded time in a lasting overload of 3", func() {
		l := newShortage(placement.CostOrder, 1, 2, loads([]int{0, 1, 2}, 1, 1, 1))
		stored, objective, firstStart := map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}
		l.started = func(start placement.StartOrder) {
			id := placement.JobID(start.Task)
			if _, known := firstStart[id]; !known {
				firstStart[id] = l.now
			}
		}
		l.before = func(l *shortage) {
			random := rand.New(rand.NewPCG(1, 8))
			for i := range 18 {
				l.after(time.Second+time.Duration(i)*250*time.Millisecond, func() {
					job := l.newClassJob(i%3, random)
					job.Stored, job.Budget = true, 0
					// Narrow jobs are worth more, and the widest ones have a floor.
					job.Steps[0].Count = l.classes[i%3].maxTasks - 1
					for t := range job.Steps[0].Count {
						l.works[fmt.Sprintf("%s.0.0.%d", job.ID, t)] = l.classes[i%3].task
					}
					stored[job.ID] = l.now
					objective[job.ID] = time.Duration(job.Stretch*float64(job.Steps[0].Expected)) + job.Allowance
					l.submit(job)
				})
			}
		}
		l.play()
		Expect(stored).To(HaveLen(18))
		for id, at := range stored {
			Expect(firstStart).To(HaveKey(id))
			Expect(firstStart[id]-at).To(BeNumerically("<", objective[id]+500*time.Millisecond), "class %d", l.jobClass[id])
		}
	})

	// Guards against refusals because of work that never starts or cannot start now, and
	// against a backlog that overflows.
	DescribeTable("refuses no job because of a stored one that cannot run",
		func(step placement.Step, confirmed bool) {
			h := newHarnessWith(placement.CostOrder)
			h.acquire("t")
			h.runLong(14000, 2)
			if confirmed {
				h.step(0, placement.LogReadConfirmed{StartedAt: h.now})
			}
			for id, queue := range map[string]string{"00000000000000aa": "q", "00000000000000ab": "other"} {
				stored := storedShortageJob(id)
				stored.Queue, stored.Steps = queue, []placement.Step{step}
				h.step(0, placement.StoredJobChanged{Job: stored, Home: "c0/1", RunLimit: 1000, Tasks: [][]placement.TaskProgress{make([]placement.TaskProgress, step.Count)}})
			}
			h.submitStep(2, placement.Step{Count: 2, Need: placement.Resources{CPUMillis: 14000}, Expected: 200 * time.Millisecond})
			h.step(placement.TickInterval, placement.Tick{})
			Expect(take[placement.AnswerJob](h)).To(BeEmpty())
		},
		Entry("because its need exceeds all targets", placement.Step{Count: 20, Need: placement.Resources{CPUMillis: 64000}, Expected: time.Minute}, true),
		Entry("because its need exceeds all machines", placement.Step{Count: 20, Need: placement.Resources{CPUMillis: 1 << 40}, Expected: time.Hour}, true),
		Entry("because the log is not confirmed", placement.Step{Count: 20, Need: placement.Resources{CPUMillis: 14000}, Expected: time.Minute}, false),
	)
})
