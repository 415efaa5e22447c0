package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
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

var _ = Describe("the timing of links", func() {
	// Guards against homes that start a task again before the other end of a failed
	// link has stopped its run.
	It("is within the bound that homes assume", func() {
		const networkDelay = 15 * time.Millisecond
		Expect(linkTimeout + linkHeartbeatInterval + networkDelay).To(BeNumerically("<=", placement.MaxLinkSkew))
	})
})
