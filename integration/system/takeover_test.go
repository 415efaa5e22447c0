package system

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/structs"
)

var _ = Describe("Takeover of job IDs", Ordered, func() {
	var f *fleet
	var client *jobClient

	BeforeAll(func() {
		f = sharedFleets.takeover
		client = &jobClient{fleet: f}
		client.waitServing(jobDataCentre, f.names)
	})
	AfterEach(func() { f.showLogs() })

	// Guards against a resumed owner that acts on a lease that was taken over while
	// it was paused: it has queued jobs that it would start.
	It("starts no task twice when a paused owner resumes after its lease was taken over", func() {
		owner, others := "d", f.others("d")
		const slots = 16
		list := jobs(slots+14, owner, f.names, 1000) // more than fit into the slots
		client.submitAll(others[0], list)
		f.waitStarted(list, slots)
		f.pause(owner)
		Eventually(func() []string { return f.agreedMembers(others[0], jobDataCentre) }, startTimeout).Should(ConsistOf(others))
		client.submitAll(others[1], list)
		client.waitServed(others[1], jobDataCentre, owner, f.names)
		f.waitReady(others...) // each new owner's recovery horizon has passed
		// The paused owner has these unread, and they are above the new owner's
		// horizon, so that only the lease keeps the paused owner from a second start.
		duplicated := jobs(8, owner, f.names, 20)
		client.submitAll(owner, duplicated)
		for _, job := range duplicated {
			Expect(client.submit(others[0], job)).To(Equal(structs.OutcomeComplete), describe(job))
		}
		f.resume(owner)
		f.waitReady(owner)
		list = append(list, duplicated...)
		for _, job := range list {
			outcomes := client.outcomes()[job.ID]
			Expect(outcomes).To(HaveLen(2), describe(job))
			Expect(outcomes).To(HaveEach(BeElementOf(structs.OutcomeComplete, structs.OutcomeUnknown)), describe(job))
		}
		client.expectAllAnswered()
		client.expectNoViolation()
	})

	// Guards against jobs that no instance serves after their owner was killed, and
	// against a new owner that starts again what the old one had admitted.
	It("serves a killed owner's partitions and starts nothing that it had admitted", func() {
		owner := f.leader("a", "b", "c")
		others := f.others(owner)
		finished := jobs(6, owner, f.names, 1)
		client.submitAll(others[0], finished)
		for _, job := range finished {
			Expect(client.outcomes()[job.ID]).To(ConsistOf(structs.OutcomeComplete), describe(job))
		}
		running := jobs(10, owner, f.names, 1500)
		client.submitAll(others[0], running)
		f.waitStarted(running, len(running))
		f.kill(owner)
		client.submitAll(others[1], running)
		client.submitAll(others[1], finished)
		client.waitServed(others[1], jobDataCentre, owner, f.names)
		outcomes := client.outcomes()
		for _, job := range running {
			Expect(outcomes[job.ID]).To(HaveLen(2), describe(job))
			Expect(outcomes[job.ID]).To(HaveEach(BeElementOf(structs.OutcomeComplete, structs.OutcomeUnknown)), describe(job))
		}
		for _, job := range finished {
			Expect(outcomes[job.ID]).To(HaveEach(structs.OutcomeComplete), "%s, answered from the claim copy", describe(job))
		}
		client.expectAllAnswered()
		client.expectNoViolation()
	})
})

var _ = Describe("A data centre that is cut off", func() {
	// Guards against owners that stop serving while the voters' majority is
	// unreachable, and against two data centres that both start a job.
	It("keeps serving its own jobs", func() {
		f := sharedFleets.twoDataCentres
		DeferCleanup(f.showLogs)
		client := &jobClient{fleet: f}
		client.waitServing("north", north)
		client.waitServing("south", south)
		f.setFaultBetween(north, south, faultproxy.Drop, faultproxy.ExistingAndNew)
		Eventually(func() string { return f.status("s1").Leader }, startTimeout).Should(BeEmpty(), "leader according to isolated s1")
		foreign := newJob("north", "n1", north, 1)
		foreign.DeadlineUnixMS -= (jobDeadline.Milliseconds() * 4) / 5
		client.submitAll("s1", []structs.Job{foreign})
		// Jobs are submitted one after the other for longer than a lease.
		for n := range 20 {
			via, owner := south[n%2], south[n/2%2]
			job := newJob("south", owner, south, 200)
			Expect(client.submit(via, job)).To(Equal(structs.OutcomeComplete), "%s of %s through %s", describe(job), owner, via)
		}
		Expect(client.submit("n1", newJob("north", "n2", north, 1))).To(Equal(structs.OutcomeComplete))
		Expect(client.outcomes()[foreign.ID]).To(ConsistOf(structs.OutcomeUnknown), "a job of the other data centre")
		f.setFaultBetween(north, south, faultproxy.Forward, faultproxy.ExistingAndNew)
		client.waitServed("s1", "north", "n1", north)
		client.expectAllAnswered()
		client.expectNoViolation()
	})
})
