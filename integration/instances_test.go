package integration_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration"
	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/structs"
)

var (
	quick     = integration.Work{RunMS: 20}
	slow      = integration.Work{RunMS: 400}
	dropFault = faultproxy.Fault{Kind: faultproxy.Drop}
)

var _ = Describe("entry instances", func() {
	// Guards against a restarted owner that starts a job again that it had started
	// or answered before the restart.
	DescribeTable("G1, G5: an owner killed with SIGKILL leads to no second start",
		func(ctx SpecContext, beforeKill func(context.Context, *integration.Cluster, *jobCaller, structs.Job)) {
			c, caller := newCluster(), &jobCaller{}
			addTargets(ctx, c, 2, "t1", "t2", "t3")
			owner := c.Instances["north-1"]
			other := c.Other(owner)
			job := c.NewJob(owner, 6*time.Second, integration.Repeat(8, slow)...)
			beforeKill(ctx, c, caller, job)
			Expect(owner.Kill()).To(Succeed())
			caller.submitAsync(ctx, other, job)
			Expect(owner.Start()).To(Succeed())
			Expect(c.WarmUp(ctx)).To(Succeed())
			caller.submitAsync(ctx, other, job)
			caller.submitAsync(ctx, owner, job)
			caller.expectGuarantees(c)
		},
		Entry("before the job reaches it", specTimeout, func(context.Context, *integration.Cluster, *jobCaller, structs.Job) {}),
		Entry("while tasks run and others wait", specTimeout, func(ctx context.Context, c *integration.Cluster, caller *jobCaller, job structs.Job) {
			caller.submitAsync(ctx, c.Instances["north-2"], job)
			Expect(c.WaitStarts(ctx, job.ID, 1)).To(Succeed())
		}),
		Entry("between the first answers of tasks and the last", specTimeout, func(ctx context.Context, c *integration.Cluster, caller *jobCaller, job structs.Job) {
			caller.submitAsync(ctx, c.Instances["north-2"], job)
			Expect(c.WaitStarts(ctx, job.ID, 7)).To(Succeed())
		}),
		Entry("after its answer", specTimeout, func(ctx context.Context, c *integration.Cluster, caller *jobCaller, job structs.Job) {
			Expect(caller.submit(ctx, c.Instances["north-2"], job).Outcome).To(Equal(structs.OutcomeComplete))
		}),
	)

	// Guards against a second run of a job whose claim was lost with its owner and
	// its backup: only the timestamp in its ID shows that it may have run.
	It("G1, G5: a job is not run again when all instances were killed and restarted", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 2, "t1", "t2", "t3")
		job := c.NewJob(nil, 40*time.Second, integration.Repeat(6, quick)...)
		Expect(caller.submit(ctx, c.Instances["north-1"], job).Outcome).To(Equal(structs.OutcomeComplete))
		for _, instance := range c.Instances {
			Expect(instance.Kill()).To(Succeed())
		}
		for _, instance := range c.Instances {
			Expect(instance.Start()).To(Succeed())
		}
		Expect(c.WarmUp(ctx)).To(Succeed())
		for _, instance := range c.Instances {
			Expect(caller.submit(ctx, instance, job).Outcome).To(Equal(structs.OutcomeUnknown))
		}
		caller.expectGuarantees(c)
	})

	// Guards against a job that stays unanswered when the caller's connection or
	// the forwarding instance is lost: a resubmission elsewhere gets its answer.
	It("G1, G3: a lost answer is given to a resubmission at another instance", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 2, "t1", "t2", "t3")
		job := c.NewJob(c.Instances["north-1"], 10*time.Second, integration.Repeat(4, slow)...)
		caller.submitAsync(ctx, c.Instances["north-2"], job)
		Expect(c.WaitStarts(ctx, job.ID, 1)).To(Succeed())
		Expect(c.Instances["north-2"].Kill()).To(Succeed())
		Expect(caller.submit(ctx, c.Instances["north-3"], job).Outcome).To(Equal(structs.OutcomeComplete))
		for range 3 {
			Expect(caller.submit(ctx, c.Instances["north-1"], job).Outcome).To(Equal(structs.OutcomeComplete))
		}
		caller.expectGuarantees(c)
		Expect(caller.unanswered).To(Equal(1), "the request at the killed instance was answered, so no answer was lost")
	})

	// Guards against starts by an owner that was paused beyond its lease.
	It("G1: an owner that was paused and resumed starts no task twice", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 1, "t1", "t2")
		owner := c.Instances["north-1"]
		job := c.NewJob(owner, 12*time.Second, integration.Repeat(6, slow)...)
		caller.submitAsync(ctx, c.Instances["north-2"], job)
		Expect(c.WaitStarts(ctx, job.ID, 1)).To(Succeed())
		Expect(owner.Pause()).To(Succeed())
		caller.submitAsync(ctx, c.Instances["north-3"], job)
		time.Sleep(structs.OwnerLease + time.Second)
		Expect(owner.Resume()).To(Succeed())
		caller.submitAsync(ctx, c.Instances["north-3"], job)
		caller.expectGuarantees(c)
	})

	// Guards against requests that are lost or repeated when the established
	// connection of a link becomes silent. If it is the link to the leader, the
	// owner may lose its lease before the link is replaced; unknown is then a
	// correct answer.
	It("G1, G3: a silent link between instances loses and repeats nothing", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 2, "t1", "t2", "t3")
		owner := c.Instances["north-2"]
		link := c.Instances["north-1"].PeerProxies["north-2"]
		job := c.NewJob(owner, 10*time.Second, integration.Repeat(4, slow)...)
		caller.submitAsync(ctx, c.Instances["north-1"], job)
		Expect(c.WaitStarts(ctx, job.ID, 1)).To(Succeed())
		link.SetBoth(dropFault, faultproxy.ExistingOnly)
		caller.submitAsync(ctx, c.Instances["north-1"], c.NewJob(owner, 10*time.Second, quick))
		caller.expectGuarantees(c)
		Expect(caller.unanswered).To(BeZero())
		Expect(caller.outcomes()).NotTo(HaveKey(structs.OutcomeFailed))
	})

	// Guards against answers that reach the wrong caller when they are delayed or
	// reordered on a link.
	It("G2, G3: each caller gets the whole answer to its own job over slow links", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 8, "t1", "t2", "t3")
		slowLink := faultproxy.Fault{Kind: faultproxy.Delay, Delay: 60 * time.Millisecond}
		c.Instances["north-1"].PeerProxies["north-2"].Set(faultproxy.ToClient, slowLink, faultproxy.ExistingAndNew)
		c.Instances["north-2"].PeerProxies["north-3"].Set(faultproxy.ToServer, slowLink, faultproxy.ExistingAndNew)
		at := []*integration.Instance{c.Instances["north-1"], c.Instances["north-2"], c.Instances["north-3"]}
		for i := range 60 {
			work := []integration.Work{{RunMS: 10 + i*7%50}, {RunMS: 10 + i*11%90}, {RunMS: 10 + i*13%30}}
			caller.submitAsync(ctx, at[i%len(at)], c.NewJob(nil, 15*time.Second, work...))
		}
		caller.expectGuarantees(c)
		Expect(caller.outcomes()).To(Equal(map[structs.Outcome]int{structs.OutcomeComplete: 60}))
	})

	// Guards against a graceful stop that aborts requests, whether their tasks run,
	// wait, or belong to a request that another instance forwarded.
	It("G7: SIGTERM lets every request in flight finish", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 2, "t1", "t2", "t3")
		stopping := c.Instances["north-1"]
		var first structs.Job
		for i := range 9 {
			at := []*integration.Instance{stopping, c.Instances["north-2"], c.Instances["north-3"]}[i%3]
			job := c.NewJob(stopping, 15*time.Second, slow, slow)
			if i == 0 {
				first = job
			}
			caller.submitAsync(ctx, at, job)
		}
		caller.submitAsync(ctx, stopping, c.NewJob(c.Instances["north-2"], 15*time.Second, slow))
		Expect(c.WaitStarts(ctx, first.ID, 1)).To(Succeed())
		Expect(stopping.Stop(30 * time.Second)).To(Succeed())
		caller.expectGuarantees(c)
		Expect(caller.unanswered).To(BeZero())
		Expect(caller.outcomes()).To(Equal(map[structs.Outcome]int{structs.OutcomeComplete: 10}))
	})

	// Guards against a refused job that has started or starts later, also when it
	// is resubmitted once there is free capacity.
	It("G4: jobs answered not-run never start, resubmitted or not", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 2, "t1")
		at := []*integration.Instance{c.Instances["north-1"], c.Instances["north-2"], c.Instances["north-3"]}
		for i := range 60 {
			caller.submitAsync(ctx, at[i%len(at)], c.NewJob(nil, 1500*time.Millisecond, slow, quick))
		}
		caller.wait()
		Expect(caller.outcomes()[structs.OutcomeNotRun]).To(BeNumerically(">", 0), "no job was refused")
		for i, e := range caller.exchanges {
			if e.Answer.Outcome == structs.OutcomeNotRun {
				caller.submitAsync(ctx, at[i%len(at)], e.Job)
			}
		}
		caller.expectGuarantees(c)
	})

	// Guards against a cancellation that is answered not-run although the job
	// starts later.
	It("G4: a job cancelled while it waits does not start", specTimeout, func(ctx SpecContext) {
		c, caller := newCluster(), &jobCaller{}
		addTargets(ctx, c, 1, "t1")
		running := c.NewJob(c.Instances["north-1"], 10*time.Second, integration.Work{RunMS: 1500})
		caller.submitAsync(ctx, c.Instances["north-2"], running)
		Expect(c.WaitStarts(ctx, running.ID, 1)).To(Succeed())
		waiting := c.NewJob(c.Instances["north-1"], 10*time.Second, slow)
		caller.submitAsync(ctx, c.Instances["north-2"], waiting)
		Eventually(ctx, func() structs.Outcome {
			answer, err := c.Instances["north-3"].Cancel(ctx, waiting.ID)
			Expect(err).NotTo(HaveOccurred())
			return answer.Outcome
		}).Should(Equal(structs.OutcomeNotRun))
		caller.expectGuarantees(c)
		Expect(caller.outcomes()).To(Equal(map[structs.Outcome]int{structs.OutcomeComplete: 1, structs.OutcomeNotRun: 1}))
	})
})
