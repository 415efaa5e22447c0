package cluster

import (
	"fmt"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

func newTestCoordinator(name, centre string) *Coordinator {
	return NewCoordinator(CoordinatorOptions{
		Name: name, DataCentre: centre, Logger: zerolog.New(io.Discard),
		Placement: placement.Options{Name: name}, Decode: func([]byte) (*Deployment, error) { return &Deployment{}, nil },
	})
}

var _ = Describe("the owner of a target", func() {
	// Guards against targets that belong to a coordinator of another data centre
	// while their own has one, and against one that is leaving or gone.
	It("is a coordinator of its data centre, while one is linked", func() {
		c := newTestCoordinator("10.1.0.1", "z1")
		Expect(c.owner("i-1", "z2")).To(Equal("10.1.0.1"))
		c.LinkUp(&wire.Hello{Instance: "10.2.0.1", DataCentre: "z2", Voter: true})
		c.LinkUp(&wire.Hello{Instance: "10.2.0.9", DataCentre: "z2"})
		Expect(c.owner("i-1", "z2")).To(Equal("10.2.0.1"))
		Expect(c.owner("i-1", "z1")).To(Equal("10.1.0.1"))
		c.heard("10.2.0.1", &wire.Heartbeat{Draining: true})
		Expect(c.owner("i-1", "z2")).To(Equal("10.1.0.1"))
		c.LinkDown("10.2.0.1", nil)
		Expect(c.owner("i-1", "z2")).To(Equal("10.1.0.1"))
	})

	// Guards against an uneven split between the coordinators of a data centre.
	It("is spread over the coordinators of a data centre", func() {
		c := newTestCoordinator("10.1.0.1", "z1")
		c.LinkUp(&wire.Hello{Instance: "10.1.0.2", DataCentre: "z1", Voter: true})
		counts := map[string]int{}
		for i := range 200 {
			counts[c.owner(fmt.Sprintf("i-%d", i), "z1")]++
		}
		Expect(counts).To(HaveLen(2))
		Expect(counts["10.1.0.1"]).To(BeNumerically("~", 100, 40))
	})
})

var _ = Describe("a request", func() {
	// Guards against a job that is run without what its caller counts on.
	DescribeTable("is refused for what is not supported", func(request JobRequest) {
		Expect(request.unsupported()).NotTo(BeEmpty())
	},
		Entry("stored", JobRequest{Stored: true}),
		Entry("timed", JobRequest{Timed: true}),
		Entry("gang", JobRequest{Gang: true}),
		Entry("lasting", JobRequest{Lasting: true}),
	)
})
