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
	quick  = integration.Work{RunMS: 20}
	slow   = integration.Work{RunMS: 400}
	silent = faultproxy.Fault{Kind: faultproxy.Drop}
)

var _ = Describe("entry instances", func() {
	// Guards against a restarted owner that starts a job again which its
	// earlier process had started or answered.
	DescribeTable("G1, G5: an owner killed with SIGKILL leads to no second start",
		func(ctx SpecContext, kill func(context.Context, *integration.Cluster, *callers, structs.Job)) {
			c, calls := newCluster(), &callers{}
			addTargets(ctx, c, 2, "t1", "t2", "t3")
			owner := c.Instances["north-1"]
			other := c.Other(owner)
			job := c.NewJob(owner, 6*time.Second, integration.Repeat(8, slow)...)
			kill(ctx, c, calls, job)
			Expect(owner.Kill()).To(Succeed())
			calls.submitLater(ctx, other, job)
			Expect(owner.Start()).To(Succeed())
			Expect(c.WarmUp(ctx)).To(Succeed())
			calls.submitLater(ctx, other, job)
			calls.submitLater(ctx, owner, job)
			calls.expectGuarantees(c)
		},
		Entry("before the job reaches it", limit, func(context.Context, *integration.Cluster, *callers, structs.Job) {}),
		Entry("while tasks run and others wait", limit, func(ctx context.Context, c *integration.Cluster, calls *callers, job structs.Job) {
			calls.submitLater(ctx, c.Instances["north-2"], job)
			Expect(c.WaitStarts(ctx, job.ID, 1)).To(Succeed())
		}),
		Entry("between the first answers of tasks and the last", limit, func(ctx context.Context, c *integration.Cluster, calls *callers, job structs.Job) {
			calls.submitLater(ctx, c.Instances["north-2"], job)
			Expect(c.WaitStarts(ctx, job.ID, 7)).To(Succeed())
		}),
		Entry("after its answer", limit, func(ctx context.Context, c *integration.Cluster, calls *callers, job structs.Job) {
			Expect(calls.submit(ctx, c.Instances["north-2"], job).Outcome).To(Equal(structs.OutcomeComplete))
		}),
	)

	// Guards against a second run of a job whose claim was lost with its owner
	// and its backup: only the time in its ID tells that it may have run.
	It("G1, G5: a job is not run again when all instances were killed and restarted", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 2, "t1", "t2", "t3")
		job := c.NewJob(nil, 40*time.Second, integration.Repeat(6, quick)...)
		Expect(calls.submit(ctx, c.Instances["north-1"], job).Outcome).To(Equal(structs.OutcomeComplete))
		for _, instance := range c.Instances {
			Expect(instance.Kill()).To(Succeed())
		}
		for _, instance := range c.Instances {
			Expect(instance.Start()).To(Succeed())
		}
		Expect(c.WarmUp(ctx)).To(Succeed())
		for _, instance := range c.Instances {
			Expect(calls.submit(ctx, instance, job).Outcome).To(Equal(structs.OutcomeUnknown))
		}
		calls.expectGuarantees(c)
	})

	// Guards against the loss of a client's connection or of an instance that
	// only forwards: the job is answered to a resubmission elsewhere.
	It("G1, G3: a lost answer is given to a resubmission at another instance", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 2, "t1", "t2", "t3")
		job := c.NewJob(c.Instances["north-1"], 10*time.Second, integration.Repeat(4, slow)...)
		calls.submitLater(ctx, c.Instances["north-2"], job)
		Expect(c.WaitStarts(ctx, job.ID, 1)).To(Succeed())
		Expect(c.Instances["north-2"].Kill()).To(Succeed())
		Expect(calls.submit(ctx, c.Instances["north-3"], job).Outcome).To(Equal(structs.OutcomeComplete))
		for range 3 {
			Expect(calls.submit(ctx, c.Instances["north-1"], job).Outcome).To(Equal(structs.OutcomeComplete))
		}
		calls.expectGuarantees(c)
		Expect(calls.lost).To(Equal(1), "the request at the killed instance was answered, so no answer was lost")
	})

	// Guards against starts by an owner that slept past its lease.
	It("G1: an owner that was stopped and continued starts nothing twice", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 1, "t1", "t2")
		owner := c.Instances["north-1"]
		job := c.NewJob(owner, 12*time.Second, integration.Repeat(6, slow)...)
		calls.submitLater(ctx, c.Instances["north-2"], job)
		Expect(c.WaitStarts(ctx, job.ID, 1)).To(Succeed())
		Expect(owner.Pause()).To(Succeed())
		calls.submitLater(ctx, c.Instances["north-3"], job)
		time.Sleep(structs.OwnerLease + time.Second)
		Expect(owner.Resume()).To(Succeed())
		calls.submitLater(ctx, c.Instances["north-3"], job)
		calls.expectGuarantees(c)
	})

	// Guards against requests that are lost or repeated with a link whose
	// established connection goes silent. If it is the link to the leader, the
	// owner may lose its lease before the link is replaced; then it is right to
	// answer unknown.
	It("G1, G3: a silent link between instances loses and repeats nothing", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 2, "t1", "t2", "t3")
		owner := c.Instances["north-2"]
		link := c.Instances["north-1"].PeerProxies["north-2"]
		job := c.NewJob(owner, 10*time.Second, integration.Repeat(4, slow)...)
		calls.submitLater(ctx, c.Instances["north-1"], job)
		Expect(c.WaitStarts(ctx, job.ID, 1)).To(Succeed())
		link.SetBoth(silent, faultproxy.ExistingOnly)
		calls.submitLater(ctx, c.Instances["north-1"], c.NewJob(owner, 10*time.Second, quick))
		calls.expectGuarantees(c)
		Expect(calls.lost).To(BeZero())
		Expect(calls.outcomes()).NotTo(HaveKey(structs.OutcomeFailed))
	})

	// Guards against answers that reach the wrong caller when they are late or
	// overtake each other on a link.
	It("G2, G3: each caller gets the whole answer to its own job over slow links", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 8, "t1", "t2", "t3")
		slowLink := faultproxy.Fault{Kind: faultproxy.Delay, Delay: 60 * time.Millisecond}
		c.Instances["north-1"].PeerProxies["north-2"].Set(faultproxy.ToClient, slowLink, faultproxy.ExistingAndNew)
		c.Instances["north-2"].PeerProxies["north-3"].Set(faultproxy.ToServer, slowLink, faultproxy.ExistingAndNew)
		at := []*integration.Instance{c.Instances["north-1"], c.Instances["north-2"], c.Instances["north-3"]}
		for i := range 60 {
			work := []integration.Work{{RunMS: 10 + i*7%50}, {RunMS: 10 + i*11%90}, {RunMS: 10 + i*13%30}}
			calls.submitLater(ctx, at[i%len(at)], c.NewJob(nil, 15*time.Second, work...))
		}
		calls.expectGuarantees(c)
		Expect(calls.outcomes()).To(Equal(map[structs.Outcome]int{structs.OutcomeComplete: 60}))
	})

	// Guards against a planned stop that cuts off requests, whether the tasks
	// run, wait, or belong to a request that another instance forwarded.
	It("G7: SIGTERM lets every request in flight finish", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 2, "t1", "t2", "t3")
		stopped := c.Instances["north-1"]
		var first structs.Job
		for i := range 9 {
			at := []*integration.Instance{stopped, c.Instances["north-2"], c.Instances["north-3"]}[i%3]
			job := c.NewJob(stopped, 15*time.Second, slow, slow)
			if i == 0 {
				first = job
			}
			calls.submitLater(ctx, at, job)
		}
		calls.submitLater(ctx, stopped, c.NewJob(c.Instances["north-2"], 15*time.Second, slow))
		Expect(c.WaitStarts(ctx, first.ID, 1)).To(Succeed())
		Expect(stopped.Stop(30 * time.Second)).To(Succeed())
		calls.expectGuarantees(c)
		Expect(calls.lost).To(BeZero())
		Expect(calls.outcomes()).To(Equal(map[structs.Outcome]int{structs.OutcomeComplete: 10}))
	})

	// Guards against a refusal of a job that has started or is started later,
	// also when it is submitted again after capacity is free.
	It("G4: jobs answered not-run never start, resubmitted or not", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 2, "t1")
		at := []*integration.Instance{c.Instances["north-1"], c.Instances["north-2"], c.Instances["north-3"]}
		for i := range 60 {
			calls.submitLater(ctx, at[i%len(at)], c.NewJob(nil, 1500*time.Millisecond, slow, quick))
		}
		calls.wait()
		Expect(calls.outcomes()[structs.OutcomeNotRun]).To(BeNumerically(">", 0), "no job was refused")
		for i, e := range calls.exchanges {
			if e.Answer.Outcome == structs.OutcomeNotRun {
				calls.submitLater(ctx, at[i%len(at)], e.Job)
			}
		}
		calls.expectGuarantees(c)
	})

	// Guards against a cancellation that is answered not-run although the job
	// starts later.
	It("G4: a job cancelled while it waits does not start", limit, func(ctx SpecContext) {
		c, calls := newCluster(), &callers{}
		addTargets(ctx, c, 1, "t1")
		running := c.NewJob(c.Instances["north-1"], 10*time.Second, integration.Work{RunMS: 1500})
		calls.submitLater(ctx, c.Instances["north-2"], running)
		Expect(c.WaitStarts(ctx, running.ID, 1)).To(Succeed())
		waiting := c.NewJob(c.Instances["north-1"], 10*time.Second, slow)
		calls.submitLater(ctx, c.Instances["north-2"], waiting)
		Eventually(ctx, func() structs.Outcome {
			answer, err := c.Instances["north-3"].Cancel(ctx, waiting.ID)
			Expect(err).NotTo(HaveOccurred())
			return answer.Outcome
		}).Should(Equal(structs.OutcomeNotRun))
		calls.expectGuarantees(c)
		Expect(calls.outcomes()).To(Equal(map[structs.Outcome]int{structs.OutcomeComplete: 1, structs.OutcomeNotRun: 1}))
	})
})
