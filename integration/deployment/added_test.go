package deployment_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

// recoveryTime is how long after the end of its faults a deployment may take to serve.
const recoveryTime = 12 * time.Second

// expectAllFollow checks that each coordinator reads the document, which it can only while
// it follows the log.
func expectAllFollow(ctx context.Context, d *deployment.Deployment) {
	GinkgoHelper()
	for _, coordinator := range d.Coordinators {
		Eventually(ctx, func() (uint64, error) { return d.DocumentVersion(ctx, coordinator) }).WithTimeout(recoveryTime).
			Should(BeNumerically(">=", d.AcknowledgedVersion()), "document at "+coordinator.Machine.IP)
	}
}

// restartInTurn restarts coordinators as for planned work, one after the other.
func restartInTurn(d *deployment.Deployment, coordinators []*deployment.Process, pause time.Duration) {
	GinkgoHelper()
	for _, coordinator := range coordinators {
		Expect(coordinator.Stop(deployment.GracePeriod)).To(Succeed())
		Expect(coordinator.Start()).To(Succeed())
		time.Sleep(pause)
	}
}

var _ = Describe("a coordinator that is added while the others are split", func() {
	// Guards against an added coordinator that stays outside of the log for good, because
	// the leader that it has heard of lost its term before the addition was committed, and
	// against stored jobs that move there at later restarts and never run.
	It("follows the log afterwards, and no stored job is lost", specTimeout, func(ctx SpecContext) {
		d := startWith(ctx, deployment.Options{Gateways: 2, Coordinators: 3, Spares: 1, Targets: 6, ProxyLinks: true})
		Eventually(ctx, d.Leader).WithTimeout(recoveryTime).ShouldNot(BeNil())
		leader, first := d.Leader(), d.Coordinators
		added, err := d.AddCoordinator()
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(300 * time.Millisecond)
		d.Split(leader, added)
		time.Sleep(4 * time.Second)
		d.Split()
		expectAllFollow(ctx, d)

		jobs := &storedJobs{}
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 100 {
				jobs.submit(ctx, d, i, 1+i%4)
				time.Sleep(2 * submitInterval)
			}
		}()
		restartInTurn(d, first, 2*time.Second)
		<-done
		jobs.expectGuarantees(ctx, d)
		expectAllFollow(ctx, d)
		Expect(len(jobs.accepted)).To(BeNumerically(">", 60))
	})
})
