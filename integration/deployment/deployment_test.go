package deployment_test

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

// pace is the pause between two jobs of a specs' load.
const pace = 25 * time.Millisecond

var _ = Describe("a deployment of separate processes", func() {
	// Guards against coordinators outside the seeds that get no link, and against
	// gateways that do not reach the targets of other data centres.
	It("serves jobs that need the targets of all coordinators", limit, func(ctx SpecContext) {
		d := start(ctx, 2, 4, 8)
		load := &callers{}
		for i := range 40 {
			load.submit(ctx, d, d.Gateways[i%2], 1+i%6)
			time.Sleep(4 * pace)
		}
		load.expectPromises(ctx, d)
		Expect(load.count(200)).To(Equal(40), "refused or lost: %v", load.answers)
	})

	// Guards against runs that go on twice after a coordinator has died, and
	// against a document that is older after its restart.
	It("keeps its promises when a coordinator is killed and starts again", limit, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		load := &callers{}
		victim := d.Coordinators[1]
		for i := range 120 {
			switch i {
			case 20:
				Expect(victim.Kill()).To(Succeed())
				Expect(d.ReplaceDocument(ctx, d.Coordinators[0])).Error().To(Or(BeNil(), HaveOccurred()))
			case 40:
				Expect(victim.Start()).To(Succeed())
			}
			load.submit(ctx, d, d.Gateways[i%2], 1+i%3)
			time.Sleep(pace)
		}
		load.expectPromises(ctx, d)
		Eventually(ctx, func() (uint64, error) { return d.DocumentVersion(ctx, victim) }).WithTimeout(20 * time.Second).
			Should(BeNumerically(">=", d.AcknowledgedVersion()))
		Expect(d.WaitServing(ctx, jobID(999_998))).To(Succeed())
	})

	// Guards against a coordinator that wakes up and acts on leases and links that
	// are long gone.
	It("keeps its promises when a coordinator is suspended", limit, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		load := &callers{}
		for i := range 120 {
			switch i {
			case 20:
				Expect(d.Coordinators[2].Signal(syscall.SIGSTOP)).To(Succeed())
			case 100:
				Expect(d.Coordinators[2].Signal(syscall.SIGCONT)).To(Succeed())
			}
			load.submit(ctx, d, d.Gateways[i%2], 1+i%3)
			time.Sleep(pace)
		}
		load.expectPromises(ctx, d)
	})

	// Guards against planned stops that cut requests, of either role.
	It("loses no request when a gateway and a coordinator are told to stop", limit, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		load := &callers{}
		for range 20 {
			load.submit(ctx, d, d.Gateways[0], 2)
			load.submit(ctx, d, d.Gateways[1], 2)
			time.Sleep(2 * pace)
		}
		for _, stopped := range []*deployment.Process{d.Coordinators[2], d.Gateways[0]} {
			done := make(chan error, 1)
			go func() { done <- stopped.Stop(deployment.GracePeriod) }()
			for range 20 {
				load.submit(ctx, d, d.Gateways[1], 2)
				time.Sleep(2 * pace)
			}
			Expect(<-done).To(Succeed())
			Expect(stopped.Start()).To(Succeed())
		}
		load.expectPromises(ctx, d)
		Expect(load.count(0)).To(BeZero(), "requests without an answer: %v", load.answers)
		Expect(load.count(502)).To(BeZero(), "requests broken off: %v", load.answers)
	})

	// Guards against starts on a target that has been told that its notice to
	// leave is known.
	It("starts nothing on a target after its notice to leave is acknowledged", limit, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 4)
		leaving := d.Targets[0]
		leaving.Drain()
		before := leaving.Acknowledged()
		Eventually(ctx, leaving.Acknowledged).WithTimeout(20 * time.Second).Should(BeNumerically(">=", before+2))
		Eventually(ctx, leaving.Runs).WithTimeout(20 * time.Second).Should(BeEmpty())
		known := len(leaving.Records())
		load := &callers{}
		for range 20 {
			load.submit(ctx, d, d.Gateways[0], 2)
			time.Sleep(pace)
		}
		load.expectPromises(ctx, d)
		Expect(leaving.Records()).To(HaveLen(known))
	})

	// Guards against a run that is placed elsewhere while a silent target still
	// works on it.
	It("runs nothing twice when a target carries orders out without answering", limit, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 4)
		load := &callers{}
		for i := range 120 {
			switch i {
			case 20, 70:
				d.Targets[1].Silence(true)
			case 50, 100:
				d.Targets[1].Silence(false)
			}
			load.submit(ctx, d, d.Gateways[0], 1+i%2)
			time.Sleep(pace)
		}
		load.expectPromises(ctx, d)
	})
})
