package system

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/structs"
)

var _ = Describe("Takeover of job IDs", Ordered, func() {
	var f *fleet
	var l *ledger

	BeforeAll(func() {
		f = prepared.takeover
		l = &ledger{fleet: f}
		l.waitServing(home, f.names)
	})
	AfterEach(func() { f.showLogs() })

	// Guards against a resumed owner that acts on a lease that has passed to
	// another one while it was frozen: it has queued jobs that it would start.
	It("starts nothing twice when a frozen owner resumes after its lease was taken over", func() {
		owner, others := "d", f.others("d")
		const slots = 16
		list := jobs(slots+14, owner, f.names, 1000) // more than fit into the slots
		l.submitAll(others[0], list)
		f.waitStarted(list, slots)
		f.freeze(owner)
		Eventually(func() []string { return f.agreed(others[0], home) }, startLimit).Should(ConsistOf(others))
		l.submitAll(others[1], list)
		l.served(others[1], home, owner, f.names)
		f.waitReady(others...) // each new owner has passed its horizon
		// These wait unread at the frozen owner, and are above the horizon of the
		// new owner, so that only the lease keeps the frozen one from a second start.
		twins := jobs(8, owner, f.names, 20)
		l.submitAll(owner, twins)
		for _, job := range twins {
			Expect(l.submit(others[0], job)).To(Equal(structs.OutcomeComplete), describe(job))
		}
		f.thaw(owner)
		f.waitReady(owner)
		list = append(list, twins...)
		for _, job := range list {
			outcomes := l.outcomes()[job.ID]
			Expect(outcomes).To(HaveLen(2), describe(job))
			Expect(outcomes).To(HaveEach(BeElementOf(structs.OutcomeComplete, structs.OutcomeUnknown)), describe(job))
		}
		l.expectNoneLost()
		l.expectNoViolation()
	})

	// Guards against jobs that nobody serves after their owner's death, and
	// against a new owner that starts again what the old one had admitted.
	It("serves the dead owner's partitions and starts nothing that it had admitted", func() {
		owner := f.leader("a", "b", "c")
		others := f.others(owner)
		finished := jobs(6, owner, f.names, 1)
		l.submitAll(others[0], finished)
		for _, job := range finished {
			Expect(l.outcomes()[job.ID]).To(ConsistOf(structs.OutcomeComplete), describe(job))
		}
		running := jobs(10, owner, f.names, 1500)
		l.submitAll(others[0], running)
		f.waitStarted(running, len(running))
		f.kill(owner)
		l.submitAll(others[1], running)
		l.submitAll(others[1], finished)
		l.served(others[1], home, owner, f.names)
		outcomes := l.outcomes()
		for _, job := range running {
			Expect(outcomes[job.ID]).To(HaveLen(2), describe(job))
			Expect(outcomes[job.ID]).To(HaveEach(BeElementOf(structs.OutcomeComplete, structs.OutcomeUnknown)), describe(job))
		}
		for _, job := range finished {
			Expect(outcomes[job.ID]).To(HaveEach(structs.OutcomeComplete), "%s, answered from the copy", describe(job))
		}
		l.expectNoneLost()
		l.expectNoViolation()
	})
})

var _ = Describe("A data centre that is cut off", func() {
	// Guards against owners that stop with the voters' majority out of reach,
	// and against two data centres that both start a job.
	It("goes on serving its own jobs", func() {
		f := prepared.centres
		DeferCleanup(f.showLogs)
		l := &ledger{fleet: f}
		l.waitServing("north", north)
		l.waitServing("south", south)
		f.between(north, south, faultproxy.Drop, faultproxy.ExistingAndNew)
		Eventually(func() string { return f.status("s1").Leader }, startLimit).Should(BeEmpty(), "s1 has noticed the cut")
		foreign := newJob("north", "n1", north, 1)
		foreign.DeadlineUnixMS -= (jobDeadline.Milliseconds() * 4) / 5
		l.submitAll("s1", []structs.Job{foreign})
		// The jobs follow each other for longer than a lease.
		for n := range 20 {
			via, owner := south[n%2], south[n/2%2]
			job := newJob("south", owner, south, 200)
			Expect(l.submit(via, job)).To(Equal(structs.OutcomeComplete), "%s of %s through %s", describe(job), owner, via)
		}
		Expect(l.submit("n1", newJob("north", "n2", north, 1))).To(Equal(structs.OutcomeComplete))
		Expect(l.outcomes()[foreign.ID]).To(ConsistOf(structs.OutcomeUnknown), "a job of the other data centre")
		f.between(north, south, faultproxy.Forward, faultproxy.ExistingAndNew)
		l.served("s1", "north", "n1", north)
		l.expectNoneLost()
		l.expectNoViolation()
	})
})
