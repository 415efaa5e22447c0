package deployment_test

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

// submitInterval is the time between two submissions.
const submitInterval = 25 * time.Millisecond

var _ = Describe("a deployment of separate processes", func() {
	// Guards against coordinators that get no link because they are not seeds, and
	// against gateways that cannot reach the targets of other data centres.
	It("serves jobs that need the targets of all coordinators", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 4, 8)
		caller := &jobCaller{}
		for i := range 40 {
			caller.submit(ctx, d, d.Gateways[i%2], 1+i%6)
			time.Sleep(4 * submitInterval)
		}
		caller.expectGuarantees(ctx, d)
		Expect(caller.count(200)).To(Equal(40), "refused or unanswered: %v", caller.answers)
	})

	// Guards against duplicate runs after a coordinator was killed, and against a
	// document that has an older version after its restart.
	It("keeps its guarantees when a coordinator is killed and restarted", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		caller := &jobCaller{}
		killed := d.Coordinators[1]
		for i := range 120 {
			switch i {
			case 20:
				Expect(killed.Kill()).To(Succeed())
				Expect(d.ReplaceDocument(ctx, d.Coordinators[0])).Error().To(Or(BeNil(), HaveOccurred()))
			case 40:
				Expect(killed.Start()).To(Succeed())
			}
			caller.submit(ctx, d, d.Gateways[i%2], 1+i%3)
			time.Sleep(submitInterval)
		}
		caller.expectGuarantees(ctx, d)
		Eventually(ctx, func() (uint64, error) { return d.DocumentVersion(ctx, killed) }).WithTimeout(20 * time.Second).
			Should(BeNumerically(">=", d.AcknowledgedVersion()))
		Expect(d.WaitServing(ctx, jobID(999_998))).To(Succeed())
	})

	// Guards against a gateway that obeys an older configuration after its restart, beside
	// a coordinator that has missed the changes, and against a queue that was added and is
	// not served.
	It("obeys acknowledged documents everywhere, beside a coordinator that has missed them", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 1)
		Expect(d.Coordinators[2].Signal(syscall.SIGSTOP)).To(Succeed())
		for range 8 {
			Eventually(ctx, func() error { return d.ReplaceDocument(ctx, d.Coordinators[0]) }).WithTimeout(20 * time.Second).Should(Succeed())
		}
		Expect(d.Gateways[1].Kill()).To(Succeed())
		Expect(d.Gateways[1].Start()).To(Succeed())
		Expect(d.Coordinators[2].Signal(syscall.SIGCONT)).To(Succeed())
		for _, gateway := range d.Gateways {
			Eventually(ctx, func() (uint64, error) { return d.ObeyedVersion(ctx, gateway) }).WithTimeout(20 * time.Second).
				Should(Equal(d.AcknowledgedVersion()))
			Consistently(ctx, func() (uint64, error) { return d.ObeyedVersion(ctx, gateway) }).WithTimeout(2 * time.Second).
				Should(Equal(d.AcknowledgedVersion()))
		}
	})

	// Guards against a resumed coordinator that acts on expired leases and closed
	// links.
	It("keeps its guarantees when a coordinator is paused", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		caller := &jobCaller{}
		for i := range 120 {
			switch i {
			case 20:
				Expect(d.Coordinators[2].Signal(syscall.SIGSTOP)).To(Succeed())
			case 100:
				Expect(d.Coordinators[2].Signal(syscall.SIGCONT)).To(Succeed())
			}
			caller.submit(ctx, d, d.Gateways[i%2], 1+i%3)
			time.Sleep(submitInterval)
		}
		caller.expectGuarantees(ctx, d)
	})

	// Guards against graceful stops of either role that abort requests.
	It("loses no request when a gateway and a coordinator stop on SIGTERM", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		caller := &jobCaller{}
		for range 20 {
			caller.submit(ctx, d, d.Gateways[0], 2)
			caller.submit(ctx, d, d.Gateways[1], 2)
			time.Sleep(2 * submitInterval)
		}
		for _, stopping := range []*deployment.Process{d.Coordinators[2], d.Gateways[0]} {
			done := make(chan error, 1)
			go func() { done <- stopping.Stop(deployment.GracePeriod) }()
			for range 20 {
				caller.submit(ctx, d, d.Gateways[1], 2)
				time.Sleep(2 * submitInterval)
			}
			Expect(<-done).To(Succeed())
			Expect(stopping.Start()).To(Succeed())
		}
		caller.expectGuarantees(ctx, d)
		Expect(caller.count(0)).To(BeZero(), "requests without an answer: %v", caller.answers)
		Expect(caller.count(502)).To(BeZero(), "aborted requests: %v", caller.answers)
	})

	// Guards against starts on a target after the heartbeat in which it reported
	// that it drains was acknowledged.
	It("starts nothing on a target after its drain report is acknowledged", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 4)
		draining := d.Targets[0]
		draining.Drain()
		before := draining.Acknowledged()
		Eventually(ctx, draining.Acknowledged).WithTimeout(20 * time.Second).Should(BeNumerically(">=", before+2))
		Eventually(ctx, draining.Runs).WithTimeout(20 * time.Second).Should(BeEmpty())
		records := len(draining.Records())
		caller := &jobCaller{}
		for range 20 {
			caller.submit(ctx, d, d.Gateways[0], 2)
			time.Sleep(submitInterval)
		}
		caller.expectGuarantees(ctx, d)
		Expect(draining.Records()).To(HaveLen(records))
	})

	// Guards against a task that is placed on another target while a silent target
	// still runs it.
	It("runs no task twice when a target executes orders without answering", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 4)
		caller := &jobCaller{}
		for i := range 120 {
			switch i {
			case 20, 70:
				d.Targets[1].Silence(true)
			case 50, 100:
				d.Targets[1].Silence(false)
			}
			caller.submit(ctx, d, d.Gateways[0], 1+i%2)
			time.Sleep(submitInterval)
		}
		caller.expectGuarantees(ctx, d)
	})
})
