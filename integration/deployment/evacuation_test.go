package deployment_test

import (
	"context"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

// stopDelay is how long a process may run on after a SIGSTOP beside other load.
const stopDelay = 300 * time.Millisecond

var _ = Describe("evacuations in a deployment of separate processes", func() {
	// load submits jobs one after the other.
	load := func(ctx context.Context, d *deployment.Deployment, jobs *storedJobs, caller *jobCaller, count int) {
		for i := range count {
			caller.submit(ctx, d, d.Gateways[0], 1+i%3)
			if i%4 == 0 {
				jobs.submit(ctx, d, 0, 1)
			}
			time.Sleep(submitInterval)
		}
	}

	// expectKept evacuates a data centre, and expects no start there after a fault, until
	// the order is revoked.
	expectKept := func(ctx context.Context, fault func(d *deployment.Deployment)) {
		GinkgoHelper()
		d := start(ctx, 1, 3, 6)
		jobs, caller := &storedJobs{}, &jobCaller{}
		load(ctx, d, jobs, caller, 20)
		Expect(d.StartsIn("dc0")).To(BeNumerically(">", 0))
		Expect(d.Evacuate(ctx, "dc0", true)).To(Succeed())
		load(ctx, d, jobs, caller, 20)
		time.Sleep(deployment.EvacuationBound)
		before := d.StartsIn("dc0")
		fault(d)
		load(ctx, d, jobs, caller, 150)
		Eventually(ctx, d.Idle).WithTimeout(20 * time.Second).Should(BeTrue())
		Expect(d.StartsIn("dc0")).To(Equal(before), d.LogLines("evacuation"))
		Expect(d.Evacuate(ctx, "dc0", false)).To(Succeed())
		Eventually(ctx, func() int {
			load(ctx, d, jobs, caller, 10)
			return d.StartsIn("dc0")
		}).WithTimeout(20 * time.Second).Should(BeNumerically(">", before))
		jobs.expectGuarantees(ctx, d)
		caller.expectGuarantees(ctx, d)
	}

	// Guards against an acknowledged order that a loss of all power undoes, for as long as
	// no leader is elected or for good.
	It("are kept when all coordinators are killed", specTimeout, func(ctx SpecContext) {
		expectKept(ctx, func(d *deployment.Deployment) {
			for _, p := range d.Coordinators {
				Expect(p.Kill()).To(Succeed())
			}
			for _, p := range d.Coordinators {
				Expect(p.Start()).To(Succeed())
			}
		})
	})

	// Guards against a coordinator that starts tasks before it knows the order again.
	It("are kept by a coordinator that loses its disk", specTimeout, func(ctx SpecContext) {
		expectKept(ctx, func(d *deployment.Deployment) {
			p := d.Coordinators[2]
			Expect(p.Kill()).To(Succeed())
			Expect(d.EraseData(p)).To(Succeed())
			Expect(p.Start()).To(Succeed())
		})
	})

	// Guards against starts by a coordinator that has missed the order and resumes after
	// the bound.
	It("are followed by a coordinator that was paused during the order", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 6)
		jobs, caller := &storedJobs{}, &jobCaller{}
		load(ctx, d, jobs, caller, 20)
		Expect(d.Coordinators[0].Signal(syscall.SIGSTOP)).To(Succeed())
		Expect(d.Evacuate(ctx, "dc0", true)).To(Succeed())
		load(ctx, d, jobs, caller, 20)
		time.Sleep(deployment.EvacuationBound)
		Expect(d.Coordinators[0].Signal(syscall.SIGCONT)).To(Succeed())
		load(ctx, d, jobs, caller, 100)
		Expect(d.Evacuate(ctx, "dc0", false)).To(Succeed())
		jobs.expectGuarantees(ctx, d)
		caller.expectGuarantees(ctx, d) // no late starts, among others
	})

	// Guards against an order that takes effect after its operator has given it up, because
	// the coordinator was paused.
	It("are not ordered by callers that have left", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 2)
		for _, coordinator := range d.Coordinators {
			Expect(coordinator.Signal(syscall.SIGSTOP)).To(Succeed())
			time.Sleep(stopDelay)
			Expect(d.OrderEvacuation(ctx, coordinator, "dc0", true)).To(BeZero())
			Expect(coordinator.Signal(syscall.SIGCONT)).To(Succeed())
			time.Sleep(time.Second)
		}
		for _, coordinator := range d.Coordinators {
			Eventually(ctx, func() ([]string, error) { return d.KnownEvacuations(ctx, coordinator) }).
				WithTimeout(20 * time.Second).Should(BeEmpty())
		}
		Expect(d.LogLines("event=evacuation_order")).NotTo(ContainSubstring("outcome=applied"))
	})

	// Guards against a wrong answer to an order.
	It("are answered by the data centre and the state of the log", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 2)
		c := d.Coordinators
		// The machine's disk may take longer than the time limit of the log, so orders are
		// repeated as operators do it.
		expect := func(coordinator *deployment.Process, dataCentre string, start bool) {
			GinkgoHelper()
			Eventually(ctx, func() int { return d.OrderEvacuation(ctx, coordinator, dataCentre, start) }).
				WithTimeout(20 * time.Second).Should(Equal(200))
		}
		Expect(d.OrderEvacuation(ctx, c[0], "dc9", true)).To(Equal(400))
		expect(c[0], "dc2", true) // known, without targets
		for i := range 3 {
			expect(c[i], "dc0", true)
			expect(c[(i+1)%3], "dc0", true) // again
			expect(c[(i+2)%3], "dc0", false)
		}
		Expect(d.Evacuate(ctx, "dc0", true)).To(Succeed())
		Expect(d.Evacuate(ctx, "dc1", true)).To(Succeed())
		for _, coordinator := range c {
			Eventually(ctx, func() ([]string, error) { return d.KnownEvacuations(ctx, coordinator) }).
				WithTimeout(20 * time.Second).Should(Equal([]string{"dc0", "dc1", "dc2"}))
		}
		Eventually(ctx, func() int { return d.Submit(ctx, d.Gateways[0], jobID(700_001), 1).Status }).WithTimeout(20 * time.Second).Should(Equal(503))
		Expect(d.Evacuate(ctx, "dc1", false)).To(Succeed())
		Eventually(ctx, func() int { return d.Submit(ctx, d.Gateways[0], jobID(700_002), 1).Status }).WithTimeout(20 * time.Second).Should(Equal(200))
		Expect(c[0].Kill()).To(Succeed())
		Expect(c[1].Kill()).To(Succeed())
		Consistently(ctx, func() int { return d.OrderEvacuation(ctx, c[2], "dc1", true) }).WithTimeout(3 * time.Second).Should(Equal(503))
	})
})
