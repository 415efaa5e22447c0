package system

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/structs"
)

var _ = Describe("Takeover of partitions", Ordered, func() {
	var cluster *cluster
	var caller *jobCaller

	BeforeAll(func() {
		cluster = sharedClusters.takeover
		caller = &jobCaller{cluster: cluster}
		caller.waitAllServing(jobDataCentre, cluster.names)
	})
	AfterEach(func() { cluster.showLogs() })

	// Guards against a resumed owner that still acts on its lease after its partitions
	// were taken over while it was paused: it has queued jobs that it would start.
	It("starts no task twice when a paused owner resumes after its partitions were taken over", func() {
		owner, others := "d", cluster.others("d")
		const slots = 16
		list := jobs(slots+14, owner, cluster.names, 1000) // more than fit into the slots
		caller.submitAll(others[0], list)
		cluster.waitStarted(list, slots)
		cluster.pause(owner)
		Eventually(func() []string { return cluster.agreedMembers(others[0], jobDataCentre) }, startTimeout).Should(ConsistOf(others))
		caller.submitAll(others[1], list)
		caller.waitForPartitionsOf(others[1], jobDataCentre, owner, cluster.names)
		cluster.waitReady(others...) // each new owner's recovery horizon has passed
		// The paused owner's socket holds these jobs unread. Their IDs are newer than
		// the new owner's recovery horizon, so the new owner starts them; only the
		// expired lease stops the resumed owner from starting them again.
		duplicated := jobs(8, owner, cluster.names, 20)
		caller.submitAll(owner, duplicated)
		for _, job := range duplicated {
			Expect(caller.submit(others[0], job)).To(Equal(structs.OutcomeComplete), describe(job))
		}
		cluster.resume(owner)
		cluster.waitReady(owner)
		list = append(list, duplicated...)
		for _, job := range list {
			outcomes := caller.outcomes()[job.ID]
			Expect(outcomes).To(HaveLen(2), describe(job))
			Expect(outcomes).To(HaveEach(BeElementOf(structs.OutcomeComplete, structs.OutcomeUnknown)), describe(job))
		}
		caller.expectAllAnswered()
		caller.expectNoViolation()
	})

	// Guards against jobs that no instance serves after their owner was killed, and
	// against a new owner that restarts jobs that the old one had admitted.
	It("serves a killed owner's partitions and does not restart jobs that it had admitted", func() {
		owner := cluster.leader("a", "b", "c")
		others := cluster.others(owner)
		finished := jobs(6, owner, cluster.names, 1)
		caller.submitAll(others[0], finished)
		for _, job := range finished {
			Expect(caller.outcomes()[job.ID]).To(ConsistOf(structs.OutcomeComplete), describe(job))
		}
		running := jobs(10, owner, cluster.names, 1500)
		caller.submitAll(others[0], running)
		cluster.waitStarted(running, len(running))
		cluster.kill(owner)
		caller.submitAll(others[1], running)
		caller.submitAll(others[1], finished)
		caller.waitForPartitionsOf(others[1], jobDataCentre, owner, cluster.names)
		outcomes := caller.outcomes()
		for _, job := range running {
			Expect(outcomes[job.ID]).To(HaveLen(2), describe(job))
			Expect(outcomes[job.ID]).To(HaveEach(BeElementOf(structs.OutcomeComplete, structs.OutcomeUnknown)), describe(job))
		}
		for _, job := range finished {
			Expect(outcomes[job.ID]).To(HaveEach(structs.OutcomeComplete), "%s, answered from the claim copy", describe(job))
		}
		caller.expectAllAnswered()
		caller.expectNoViolation()
	})
})

var _ = Describe("A data centre isolated from the others", func() {
	// Guards against owners that stop serving in a data centre without a majority of
	// the voters, and against two data centres that both start a job.
	It("keeps serving its own jobs", func() {
		cluster := sharedClusters.twoDataCentres
		DeferCleanup(cluster.showLogs)
		caller := &jobCaller{cluster: cluster}
		caller.waitAllServing("north", north)
		caller.waitAllServing("south", south)
		cluster.setFaultBetween(north, south, faultproxy.Drop, faultproxy.ExistingAndNew)
		Eventually(func() string { return cluster.status("s1").Leader }, startTimeout).Should(BeEmpty(), "leader according to isolated s1")
		remoteJob := newJob("north", "n1", north, 1)
		// The job can't be forwarded and is answered unknown at its deadline. A fifth of
		// the usual time to the deadline shortens the wait.
		remoteJob.DeadlineUnixMS -= (jobDeadline.Milliseconds() * 4) / 5
		caller.submitAll("s1", []structs.Job{remoteJob})
		// The 20 jobs of 200 ms run one after the other and so for longer than a lease
		// (structs.OwnerLease).
		for n := range 20 {
			via, owner := south[n%2], south[n/2%2]
			job := newJob("south", owner, south, 200)
			Expect(caller.submit(via, job)).To(Equal(structs.OutcomeComplete), "%s of %s through %s", describe(job), owner, via)
		}
		Expect(caller.submit("n1", newJob("north", "n2", north, 1))).To(Equal(structs.OutcomeComplete))
		Expect(caller.outcomes()[remoteJob.ID]).To(ConsistOf(structs.OutcomeUnknown), "a job of the other data centre")
		cluster.setFaultBetween(north, south, faultproxy.Forward, faultproxy.ExistingAndNew)
		caller.waitForPartitionsOf("s1", "north", "n1", north)
		caller.expectAllAnswered()
		caller.expectNoViolation()
	})
})
