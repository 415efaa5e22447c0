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
	var cluster *cluster
	var caller *jobCaller
	var members []string

	BeforeAll(func() {
		cluster = sharedClusters.drain
		caller = &jobCaller{cluster: cluster}
		members = cluster.names
		caller.waitAllServing(jobDataCentre, members)
	})
	AfterEach(func() { cluster.showLogs() })

	// Guards against requests that a stop aborts, and against ownership that is
	// handed over without the records, which makes the outcome of jobs unknown.
	DescribeTable("cuts no request and loses no job", func(leaving string, stop func(*instance)) {
		others := slices.DeleteFunc(slices.Clone(members), func(name string) bool { return name == leaving })
		running := jobs(8, leaving, members, 1500)
		caller.submitAll(leaving, running[:4])
		caller.submitAll(others[0], running[4:])
		cluster.waitStarted(running, len(running))

		// Other callers keep submitting through the other instances until the end.
		var ended atomic.Bool
		background := &jobCaller{cluster: cluster}
		for n := range 4 {
			background.pending.Go(func() {
				for !ended.Load() {
					background.submit(others[n%len(others)], newJob(jobDataCentre, cluster.names[n], cluster.names, 20))
				}
			})
		}
		stop(cluster.instances[leaving])
		cluster.instances[leaving].process.expectCleanExit()
		members = others
		Eventually(func() []string { return cluster.agreedMembers(others[0], jobDataCentre) }, inForceTimeout).Should(ConsistOf(others))
		caller.waitForPartitionsOf(others[0], jobDataCentre, leaving, cluster.names)
		ended.Store(true)

		caller.submitAll(others[1], running) // the new owner answers from the records
		for _, job := range running {
			Expect(caller.outcomes()[job.ID]).To(And(HaveLen(2), HaveEach(structs.OutcomeComplete)), describe(job))
		}
		for id, outcomes := range background.outcomes() {
			Expect(outcomes).To(HaveEach(structs.OutcomeComplete), "job %s", id)
		}
		Expect(len(background.exchanges)).To(BeNumerically(">", 20), "jobs during the stop")
		for _, c := range []*jobCaller{caller, background} {
			c.expectAllAnswered()
			c.expectNoViolation()
		}
	},
		Entry("on hawthornctl drain", "d", func(i *instance) {
			output, err := exec.Command(filepath.Join(programs, "hawthornctl"), "-a", i.http(), "drain").CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), string(output))
		}),
		Entry("on SIGTERM", "a", func(i *instance) { i.process.signal(syscall.SIGTERM) }),
	)
})
