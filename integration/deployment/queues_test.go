package deployment_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

var _ = Describe("stored jobs whose queue gets another service", func() {
	// Guards against jobs that wait for good for a service that the document has dropped,
	// also after their home or all coordinators have restarted.
	DescribeTable("are completed by the new one", func(ctx SpecContext, restart func(d *deployment.Deployment)) {
		d := startWith(ctx, deployment.Options{Gateways: 2, Coordinators: 3, Targets: 1, OtherTargets: 2})
		jobs := &storedJobs{}
		for i := range 40 {
			jobs.submit(ctx, d, i, 4)
		}
		jobs.requests.Wait()
		Expect(len(jobs.accepted)).To(BeNumerically(">", 20))
		Eventually(ctx, func() error { return d.MoveQueues(ctx, d.Coordinators[0]) }).WithTimeout(20 * time.Second).Should(Succeed())
		restart(d)
		jobs.expectGuarantees(ctx, d)
		Expect(d.Targets[1].Records()).NotTo(BeEmpty(), "nothing has waited for the change")
	},
		Entry("as they are", specTimeout, func(*deployment.Deployment) {}),
		Entry("after a kill of all coordinators", specTimeout, func(d *deployment.Deployment) {
			for _, p := range d.Coordinators {
				Expect(p.Kill()).To(Succeed())
			}
			for _, p := range d.Coordinators {
				Expect(p.Start()).To(Succeed())
			}
		}),
		Entry("while the coordinators are restarted in turn", specTimeout, func(d *deployment.Deployment) {
			restartInTurn(d, d.Coordinators, time.Second)
		}),
	)
})
