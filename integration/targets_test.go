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

// logged reports whether any instance has logged an event.
func logged(c *integration.Cluster, event string) bool {
	for _, instance := range c.Instances {
		if strings.Contains(instance.Log(), "event="+event) {
			return true
		}
	}
	return false
}

var _ = Describe("targets", func() {
	// Guards against a retry of a start that a paused target has in its receive
	// buffers and executes when it resumes.
	DescribeTable("G1, G5: a target that was paused and resumed starts no task twice",
		func(ctx SpecContext, pause time.Duration, idempotent bool) {
			c, caller := newCluster(), &jobCaller{}
			addTargets(ctx, c, 4, "t1", "t2")
			Expect(c.Targets["t1"].Pause()).To(Succeed())
			work := integration.Work{RunMS: 50, Idempotent: idempotent}
			for _, name := range []string{"north-1", "north-2", "north-3"} {
				caller.submitAsync(ctx, c.Instances[name], c.NewJob(c.Instances[name], 3*time.Second, work, work, work, work))
			}
			time.Sleep(pause)
			Expect(c.Targets["t1"].Resume()).To(Succeed())
			caller.expectGuarantees(c)
			Expect(logged(c, "attempt_silent")).To(BeTrue(), "no start was sent to the paused target")
		},
		Entry("for less than the deadline", specTimeout, 800*time.Millisecond, false),
		Entry("for longer than the deadline", specTimeout, 4*time.Second, false),
		Entry("for longer than the deadline, idempotent tasks", specTimeout, 4*time.Second, true),
	)

	// Guards against a start that is treated as lost, or sent again, when its
	// connection becomes silent while new connections work.
	DescribeTable("G1: a silent connection to a target loses no task and starts none twice",
		func(ctx SpecContext, direction faultproxy.Direction) {
			c, caller := newCluster(), &jobCaller{}
			addTargets(ctx, c, 8, "t1", "t2")
			for _, target := range c.Targets {
				target.Proxy.Set(direction, dropFault, faultproxy.ExistingOnly)
			}
			job := c.NewJob(c.Instances["north-1"], 10*time.Second, slow, slow)
			Expect(caller.submit(ctx, c.Instances["north-1"], job).Outcome).To(Equal(structs.OutcomeComplete))
			caller.expectGuarantees(c)
			Expect(logged(c, "attempt_silent")).To(BeTrue(), "no start was sent on a silent connection")
		},
		Entry("when the answer is lost", specTimeout, faultproxy.ToClient),
		Entry("when the start is lost", specTimeout, faultproxy.ToServer),
	)

	// Guards against a second start of tasks whose target was killed after it
	// acknowledged them, when the restarted process has no record of them.
	It("G1, G5: tasks of a killed and restarted target are not started elsewhere", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 4, "t1", "t2")
		job := c.NewJob(c.Instances["north-1"], 6*time.Second, integration.Repeat(8, slow)...)
		caller.submitAsync(ctx, c.Instances["north-2"], job)
		Expect(c.WaitStarts(ctx, job.ID, 8)).To(Succeed())
		Expect(c.Targets["t1"].Kill()).To(Succeed())
		Expect(c.Targets["t1"].Start()).To(Succeed())
		caller.expectGuarantees(c)
		Expect(caller.outcomes()).NotTo(HaveKey(structs.OutcomeComplete), "the results of the killed target are lost")
	})

	// Guards against a wrong outcome of a job that lost a target: it is unknown if
	// every task may have completed, and failed if another task has certainly been
	// stopped.
	DescribeTable("answer of a job whose target was killed and restarted",
		func(ctx SpecContext, targets []string, want structs.Outcome) {
			c, caller := newCluster(), &jobCaller{}
			addTargets(ctx, c, 4, targets...)
			job := c.NewJob(c.Instances["north-1"], 6*time.Second, integration.Repeat(4*len(targets), slow)...)
			caller.submitAsync(ctx, c.Instances["north-2"], job)
			Expect(c.WaitStarts(ctx, job.ID, 4*len(targets))).To(Succeed())
			Expect(c.Targets["t1"].Kill()).To(Succeed())
			Expect(c.Targets["t1"].Start()).To(Succeed())
			caller.wait()
			Expect(caller.outcomes()).To(Equal(map[structs.Outcome]int{want: 1}))
		},
		Entry("is unknown if all tasks ran there", specTimeout, []string{"t1"}, structs.OutcomeUnknown),
		Entry("is failed if other tasks were stopped because of it", specTimeout, []string{"t1", "t2"}, structs.OutcomeFailed),
	)

	// Guards against a start that is sent to another target because the one that
	// executed it was killed before its acknowledgement arrived.
	It("G1, G5: a lost acknowledgement of a killed target leads to no second start", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 4, "t1", "t2")
		t1 := c.Targets["t1"]
		t1.Proxy.Set(faultproxy.ToClient, dropFault, faultproxy.ExistingAndNew)
		job := c.NewJob(c.Instances["north-1"], 6*time.Second, integration.Repeat(8, slow)...)
		caller.submitAsync(ctx, c.Instances["north-2"], job)
		Expect(c.WaitStarts(ctx, job.ID, 8)).To(Succeed())
		Expect(t1.Kill()).To(Succeed())
		t1.Proxy.Set(faultproxy.ToClient, faultproxy.Fault{}, faultproxy.ExistingAndNew)
		Expect(t1.Start()).To(Succeed())
		caller.expectGuarantees(c)
	})

	// Guards against new tasks for a leaving target. The target accepts all starts,
	// so that its start record shows them.
	It("G6: a leaving target gets no new work after 3 s and its tasks finish", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		t1 := addTarget(c, "t1", 4, "--accept-while-leaving", "--linger", "8s")
		addTargets(ctx, c, 4, "t2")
		at := []*integration.Instance{c.Instances["north-1"], c.Instances["north-2"], c.Instances["north-3"]}
		caller.submitAsync(ctx, at[0], c.NewJob(nil, 20*time.Second, integration.Repeat(6, integration.Work{RunMS: 2000})...))
		var left time.Time
		for i := range 300 { // 6 s
			if i == 50 {
				var err error
				left, err = t1.Leave()
				Expect(err).NotTo(HaveOccurred())
			}
			caller.submitAsync(ctx, at[i%len(at)], c.NewJob(nil, 15*time.Second, quick))
			time.Sleep(20 * time.Millisecond)
		}
		caller.expectGuarantees(c)
		Expect(caller.outcomes()).To(Equal(map[structs.Outcome]int{structs.OutcomeComplete: 301}))
		before, after := countStarts(t1, left.Add(structs.TargetTimeout))
		Expect(before).To(BeNumerically(">", 0), "the target got no task before it left")
		Expect(after).To(BeZero())
		_, after = countStarts(c.Targets["t2"], left.Add(structs.TargetTimeout))
		Expect(after).To(BeNumerically(">", 0), "no task was left to be started after 3 s")
		Eventually(ctx, t1.Running).Should(BeFalse())
	})

	// Guards against a target that fails every task and attracts the tasks of the
	// whole fleet, and against retries of failed tasks.
	It("G1, G2: a target that fails everything is ejected and its tasks are not repeated", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 2, "t2", "t3", "t4")
		addTarget(c, "t1", 2, "--fail-all")
		at := []*integration.Instance{c.Instances["north-1"], c.Instances["north-2"], c.Instances["north-3"]}
		for i := 0; i < 600 && !logged(c, "target_ejected"); i++ {
			caller.submitAsync(ctx, at[i%len(at)], c.NewJob(nil, 10*time.Second, quick, quick))
			time.Sleep(10 * time.Millisecond)
		}
		caller.expectGuarantees(c)
		Expect(logged(c, "target_ejected")).To(BeTrue())
		Expect(caller.outcomes()[structs.OutcomeComplete]).To(BeNumerically(">", 0))
	})

	// Guards against partial answers: one failed task makes the job failed.
	It("G2: one failed task makes its job failed, without results", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 4, "t1", "t2")
		for i, work := range [][]integration.Work{
			{{RunMS: 5, Fail: true}, slow, slow},
			{quick, quick, {RunMS: 400, Fail: true}},
			{{RunMS: 5, Fail: true, Idempotent: true}, {RunMS: 5, Idempotent: true}},
		} {
			at := c.Instances[[]string{"north-1", "north-2", "north-3"}[i]]
			Expect(caller.submit(ctx, at, c.NewJob(nil, 5*time.Second, work...)).Outcome).To(Equal(structs.OutcomeFailed))
		}
		caller.expectGuarantees(c)
	})
})

// countStarts returns the number of a target's starts before and after a time.
func countStarts(t *integration.Target, at time.Time) (before, after int) {
	GinkgoHelper()
	lines, err := t.Starts()
	Expect(err).NotTo(HaveOccurred())
	for _, line := range lines {
		if line.UnixMS > at.UnixMilli() {
			after++
		} else {
			before++
		}
	}
	return before, after
}
