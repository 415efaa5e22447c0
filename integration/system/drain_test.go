package system

import (
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/structs"
)

var _ = Describe("G7: a graceful stop of an owner", Ordered, func() {
	var f *fleet
	var l *ledger
	var members []string

	BeforeAll(func() {
		f = prepared.drain
		l = &ledger{fleet: f}
		members = f.names
		l.waitServing(home, members)
	})
	AfterEach(func() { f.showLogs() })

	// Guards against requests that are cut by a stop, and against ownership that
	// is handed over without the records, which makes jobs unknown.
	DescribeTable("cuts no request and loses no job", func(leaving string, stop func(*instance)) {
		others := slices.DeleteFunc(slices.Clone(members), func(name string) bool { return name == leaving })
		running := jobs(8, leaving, members, 1500)
		l.submitAll(leaving, running[:4])
		l.submitAll(others[0], running[4:])
		f.waitStarted(running, len(running))

		// Other callers go on through the other instances until the end.
		var ended atomic.Bool
		callers := &ledger{fleet: f}
		for n := range 4 {
			callers.pending.Go(func() {
				for !ended.Load() {
					callers.submit(others[n%len(others)], newJob(home, f.names[n], f.names, 20))
				}
			})
		}
		stop(f.instances[leaving])
		f.instances[leaving].process.expectCleanEnd()
		members = others
		Eventually(func() []string { return f.agreed(others[0], home) }, inForceLimit).Should(ConsistOf(others))
		l.served(others[0], home, leaving, f.names)
		ended.Store(true)

		l.submitAll(others[1], running) // the new owner answers from the records
		for _, job := range running {
			Expect(l.outcomes()[job.ID]).To(And(HaveLen(2), HaveEach(structs.OutcomeComplete)), describe(job))
		}
		for id, outcomes := range callers.outcomes() {
			Expect(outcomes).To(HaveEach(structs.OutcomeComplete), "job %s", id)
		}
		Expect(len(callers.exchanges)).To(BeNumerically(">", 20), "jobs during the stop")
		for _, ledger := range []*ledger{l, callers} {
			ledger.expectNoneLost()
			ledger.expectNoViolation()
		}
	},
		Entry("on hawthornctl drain", "d", func(i *instance) {
			output, err := exec.Command(filepath.Join(programs, "hawthornctl"), "-a", i.http(), "drain").CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), string(output))
		}),
		Entry("on SIGTERM", "a", func(i *instance) { i.process.signal(syscall.SIGTERM) }),
	)
})
