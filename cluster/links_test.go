package cluster

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the refs of a process", func() {
	// Guards against reports for an earlier process that the next one takes for its own.
	It("are not those of another process, whatever the time of day", func() {
		coordinators, gateways := map[uint64]bool{}, map[uint64]bool{}
		for range 100 {
			coordinators[NewCoordinator(CoordinatorOptions{Name: "c", DataFolder: GinkgoT().TempDir()}).options.Placement.FirstRef] = true
			gateways[NewGateway(GatewayOptions{Name: "g"}).lastRef] = true
		}
		Expect(coordinators).To(HaveLen(100))
		Expect(gateways).To(HaveLen(100))
	})
})
