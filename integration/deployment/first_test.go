package deployment_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

var _ = Describe("the first start of a deployment", func() {
	// Guards against a group of coordinators that never forms, because it waits for one
	// seed of three that is lost, although one may be lost at any time.
	DescribeTable("ends without one of the seeds", func(ctx SpecContext, absent int) {
		d := startWith(ctx, deployment.Options{Gateways: 2, Coordinators: 4, Targets: 2, Absent: absent})
		Expect(d.Coordinators[absent-1].Start()).To(Succeed())
		time.Sleep(time.Second)
		expectAllFollow(ctx, d)
	},
		Entry("the first one", specTimeout, 1),
		Entry("the last one", specTimeout, 3),
	)
})
