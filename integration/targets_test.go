package integration_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration"
	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/structs"
)

// logged tells whether an instance has logged an event.
func logged(c *integration.Cluster, event string) bool {
	for _, instance := range c.Instances {
		if strings.Contains(instance.Log(), "event="+event) {
			return true
		}
	}
	return false
}

var _ = Describe("targets", func() {
	// Guards against a retry of a start that a frozen target finds in its
	// buffers and carries out when it continues.
	DescribeTable("G1, G5: a target that was stopped and continued starts nothing twice",
		func(ctx SpecContext, frozen time.Duration, idempotent bool) {
			c, calls := newCluster(), &callers{}
			addTargets(ctx, c, 4, "t1", "t2")
			Expect(c.Targets["t1"].Pause()).To(Succeed())
			work := integration.Work{RunMS: 50, Idempotent: idempotent}
			for _, name := range []string{"north-1", "north-2", "north-3"} {
				calls.submitLater(ctx, c.Instances[name], c.NewJob(c.Instances[name], 3*time.Second, work, work, work, work))
			}
			time.Sleep(frozen)
			Expect(c.Targets["t1"].Resume()).To(Succeed())
			calls.expectGuarantees(c)
			Expect(logged(c, "attempt_silent")).To(BeTrue(), "no start met the frozen target")
		},
		Entry("for less than the deadline", limit, 800*time.Millisecond, false),
		Entry("for longer than the deadline", limit, 4*time.Second, false),
		Entry("for longer than the deadline, idempotent tasks", limit, 4*time.Second, true),
	)

	// Guards against a start that is taken for lost, or sent again, when the
	// connection that carried it goes silent and new connections work.
	DescribeTable("G1: a silent connection to a target costs no task and starts none twice",
		func(ctx SpecContext, direction faultproxy.Direction) {
			c, calls := newCluster(), &callers{}
			addTargets(ctx, c, 8, "t1", "t2")
			for _, target := range c.Targets {
				target.Proxy.Set(direction, silent, faultproxy.ExistingOnly)
			}
			job := c.NewJob(c.Instances["north-1"], 10*time.Second, slow, slow)
			Expect(calls.submit(ctx, c.Instances["north-1"], job).Outcome).To(Equal(structs.OutcomeComplete))
			calls.expectGuarantees(c)
			Expect(logged(c, "attempt_silent")).To(BeTrue(), "no start met a silent connection")
		},
		Entry("when the answer is lost", limit, faultproxy.ToClient),
		Entry("when the start is lost", limit, faultproxy.ToServer),
	)

	// Guards against a second start of tasks whose target was killed after it
	// acknowledged them, when the new process says that it knows nothing.
	It("G1, G5: tasks of a killed and restarted target are not started elsewhere", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 4, "t1", "t2")
		job := c.NewJob(c.Instances["north-1"], 6*time.Second, integration.Repeat(8, slow)...)
		calls.submitLater(ctx, c.Instances["north-2"], job)
		Expect(c.WaitStarts(ctx, job.ID, 8)).To(Succeed())
		Expect(c.Targets["t1"].Kill()).To(Succeed())
		Expect(c.Targets["t1"].Start()).To(Succeed())
		calls.expectGuarantees(c)
		Expect(calls.outcomes()).NotTo(HaveKey(structs.OutcomeComplete), "the answers of the killed target cannot be known")
	})

	// Guards against an answer that claims more, or less, than is known of a job
	// that lost a target: unknown if every task may have run to its end, failed
	// if another task is known to have been stopped.
	DescribeTable("answer of a job whose target was killed and restarted",
		func(ctx SpecContext, targets []string, want structs.Outcome) {
			c, calls := newCluster(), &callers{}
			addTargets(ctx, c, 4, targets...)
			job := c.NewJob(c.Instances["north-1"], 6*time.Second, integration.Repeat(4*len(targets), slow)...)
			calls.submitLater(ctx, c.Instances["north-2"], job)
			Expect(c.WaitStarts(ctx, job.ID, 4*len(targets))).To(Succeed())
			Expect(c.Targets["t1"].Kill()).To(Succeed())
			Expect(c.Targets["t1"].Start()).To(Succeed())
			calls.wait()
			Expect(calls.outcomes()).To(Equal(map[structs.Outcome]int{want: 1}))
		},
		Entry("is unknown if all tasks ran there", limit, []string{"t1"}, structs.OutcomeUnknown),
		Entry("is failed if other tasks were stopped because of it", limit, []string{"t1", "t2"}, structs.OutcomeFailed),
	)

	// Guards against a start that is sent elsewhere because the target that
	// carried it out was killed before its acknowledgement arrived.
	It("G1, G5: a lost acknowledgement of a killed target leads to no second start", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 4, "t1", "t2")
		t1 := c.Targets["t1"]
		t1.Proxy.Set(faultproxy.ToClient, silent, faultproxy.ExistingAndNew)
		job := c.NewJob(c.Instances["north-1"], 6*time.Second, integration.Repeat(8, slow)...)
		calls.submitLater(ctx, c.Instances["north-2"], job)
		Expect(c.WaitStarts(ctx, job.ID, 8)).To(Succeed())
		Expect(t1.Kill()).To(Succeed())
		t1.Proxy.Set(faultproxy.ToClient, faultproxy.Fault{}, faultproxy.ExistingAndNew)
		Expect(t1.Start()).To(Succeed())
		calls.expectGuarantees(c)
	})

	// Guards against new work for a leaving target. The target accepts what it
	// is sent, so that its start record shows it.
	It("G6: a leaving target gets no new work after 3 s and its tasks finish", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		t1 := addTarget(c, "t1", 4, "--accept-while-leaving", "--linger", "8s")
		addTargets(ctx, c, 4, "t2")
		at := []*integration.Instance{c.Instances["north-1"], c.Instances["north-2"], c.Instances["north-3"]}
		calls.submitLater(ctx, at[0], c.NewJob(nil, 20*time.Second, integration.Repeat(6, integration.Work{RunMS: 2000})...))
		var left time.Time
		for i := range 300 { // 6 s
			if i == 50 {
				var err error
				left, err = t1.Leave()
				Expect(err).NotTo(HaveOccurred())
			}
			calls.submitLater(ctx, at[i%len(at)], c.NewJob(nil, 15*time.Second, quick))
			time.Sleep(20 * time.Millisecond)
		}
		calls.expectGuarantees(c)
		Expect(calls.outcomes()).To(Equal(map[structs.Outcome]int{structs.OutcomeComplete: 301}))
		before, after := startsAround(t1, left.Add(structs.TargetTimeout))
		Expect(before).To(BeNumerically(">", 0), "the target got no work before it left")
		Expect(after).To(BeZero())
		_, after = startsAround(c.Targets["t2"], left.Add(structs.TargetTimeout))
		Expect(after).To(BeNumerically(">", 0), "no work was left to be sent after 3 s")
		Eventually(ctx, t1.Running).Should(BeFalse())
	})

	// Guards against a target that fails everything taking the work of the
	// fleet, and against retries of tasks that failed.
	It("G1, G2: a target that fails everything is ejected and its tasks are not repeated", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 2, "t2", "t3", "t4")
		addTarget(c, "t1", 2, "--fail-all")
		at := []*integration.Instance{c.Instances["north-1"], c.Instances["north-2"], c.Instances["north-3"]}
		for i := 0; i < 600 && !logged(c, "target_ejected"); i++ {
			calls.submitLater(ctx, at[i%len(at)], c.NewJob(nil, 10*time.Second, quick, quick))
			time.Sleep(10 * time.Millisecond)
		}
		calls.expectGuarantees(c)
		Expect(logged(c, "target_ejected")).To(BeTrue())
		Expect(calls.outcomes()[structs.OutcomeComplete]).To(BeNumerically(">", 0))
	})

	// Guards against partial answers: one failed task decides the job.
	It("G2: one failed task makes its job failed, without results", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 4, "t1", "t2")
		for i, work := range [][]integration.Work{
			{{RunMS: 5, Fail: true}, slow, slow},
			{quick, quick, {RunMS: 400, Fail: true}},
			{{RunMS: 5, Fail: true, Idempotent: true}, {RunMS: 5, Idempotent: true}},
		} {
			at := c.Instances[[]string{"north-1", "north-2", "north-3"}[i]]
			Expect(calls.submit(ctx, at, c.NewJob(nil, 5*time.Second, work...)).Outcome).To(Equal(structs.OutcomeFailed))
		}
		calls.expectGuarantees(c)
	})
})

// startsAround counts a target's starts before and after a time.
func startsAround(t *integration.Target, limit time.Time) (before, after int) {
	GinkgoHelper()
	lines, err := t.Starts()
	Expect(err).NotTo(HaveOccurred())
	for _, line := range lines {
		if line.UnixMS > limit.UnixMilli() {
			after++
		} else {
			before++
		}
	}
	return before, after
}
