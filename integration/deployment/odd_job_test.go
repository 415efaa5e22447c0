package deployment_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a job with more tasks than fit into a message", func() {
	// Guards against one job that ends coordinator after coordinator, and a stored
	// one that ends each of them again at its start.
	It("is refused, and no process ends", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 4)
		const tasks = 3_000_000_000 // negative in 32 bits
		Expect(d.Submit(ctx, d.Gateways[0], jobID(firstStoredID+1), tasks).Status).To(Equal(400))
		Expect(d.SubmitStored(ctx, d.Gateways[1], jobID(firstStoredID+2), tasks).Status).To(Equal(400))
		Expect(d.WaitServing(ctx, jobID(999_998))).To(Succeed())
		for _, p := range append(d.Gateways, d.Coordinators...) {
			Expect(p.Running()).To(BeTrue(), "process "+p.Machine.IP)
		}
	})
})
