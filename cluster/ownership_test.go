package cluster

import (
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/jobtable/homes"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

func newTestCoordinator(name, centre string) *Coordinator {
	return NewCoordinator(CoordinatorOptions{
		Name: name, DataCentre: centre, Logger: zerolog.New(io.Discard),
		Placement: placement.Options{Name: name}, Decode: func([]byte) (*Deployment, error) { return &Deployment{}, nil },
	})
}

var _ = Describe("the assigned owner of a target", func() {
	// Guards against targets assigned to a coordinator of another data centre while
	// their own has one, or to one that is draining or disconnected.
	It("is a coordinator of its data centre, while one is linked", func() {
		c := newTestCoordinator("10.1.0.1", "z1")
		Expect(c.assignedOwner("i-1", "z2")).To(Equal("10.1.0.1"))
		c.LinkUp(&wire.Hello{Instance: "10.2.0.1", DataCentre: "z2", Voter: true})
		c.LinkUp(&wire.Hello{Instance: "10.2.0.9", DataCentre: "z2"})
		Expect(c.assignedOwner("i-1", "z2")).To(Equal("10.2.0.1"))
		Expect(c.assignedOwner("i-1", "z1")).To(Equal("10.1.0.1"))
		c.handleHeartbeat("10.2.0.1", &wire.Heartbeat{Draining: true})
		Expect(c.assignedOwner("i-1", "z2")).To(Equal("10.1.0.1"))
		c.LinkDown("10.2.0.1", nil)
		Expect(c.assignedOwner("i-1", "z2")).To(Equal("10.1.0.1"))
	})

	// Guards against runs whose ends are never recorded, because the owner of their target
	// does not follow the log, although it is linked.
	It("is none that has lost the log while another one follows it", func() {
		c := newTestCoordinator("10.1.0.1", "z1")
		c.owners = homes.NewWatch(0)
		c.LinkUp(&wire.Hello{Instance: "10.2.0.1", DataCentre: "z2", Voter: true, ReportsLogReads: true})
		Expect(c.assignedOwner("i-1", "z2")).To(Equal("10.2.0.1"), "none follows the log")
		c.logNode.catchUp.confirm(boottimeNow())
		Expect(c.assignedOwner("i-1", "z2")).To(Equal("10.1.0.1"))
		c.handleHeartbeat("10.2.0.1", &wire.Heartbeat{LogReadAgeMs: proto.Int64(100)})
		Expect(c.assignedOwner("i-1", "z2")).To(Equal("10.2.0.1"))
	})

	// Guards against an uneven split between the coordinators of a data centre.
	It("is spread over the coordinators of a data centre", func() {
		c := newTestCoordinator("10.1.0.1", "z1")
		c.LinkUp(&wire.Hello{Instance: "10.1.0.2", DataCentre: "z1", Voter: true})
		counts := map[string]int{}
		for i := range 200 {
			counts[c.assignedOwner(fmt.Sprintf("i-%d", i), "z1")]++
		}
		Expect(counts).To(HaveLen(2))
		Expect(counts["10.1.0.1"]).To(BeNumerically("~", 100, 40))
	})
})

var _ = Describe("a job query", func() {
	// Guards against a job that is reported as unknown while a draining coordinator
	// holds it.
	It("goes to draining coordinators too, after the others", func() {
		g := NewGateway(GatewayOptions{Name: "10.1.0.9", DataCentre: "z1", Logger: zerolog.New(io.Discard)})
		g.coordinators["10.1.0.1"] = &linkedCoordinator{dataCentre: "z1", draining: true, heardAt: time.Now()}
		g.coordinators["10.2.0.1"] = &linkedCoordinator{dataCentre: "z2", heardAt: time.Now()}
		Expect(g.submitOrder()).To(HaveExactElements("10.2.0.1"))
		Expect(g.queryOrder()).To(HaveExactElements("10.2.0.1", "10.1.0.1"))
	})
})

var _ = Describe("the number of voters", func() {
	// Guards against a group that loses its majority with one data centre.
	It("covers the loss of the largest data centre, also after it is lost", func() {
		c := newTestCoordinator("10.1.0.1", "z1")
		c.options.TolerableCoordinatorLosses = 1
		c.LinkUp(&wire.Hello{Instance: "10.2.0.1", DataCentre: "z2", Voter: true})
		c.LinkUp(&wire.Hello{Instance: "10.2.0.2", DataCentre: "z2", Voter: true})
		c.LinkUp(&wire.Hello{Instance: "10.2.0.9", DataCentre: "z2"})
		Expect(c.desiredVoters()).To(Equal(3), "no loss of a data centre is tolerated")
		c.options.TolerateDataCentreLoss = true
		Expect(c.desiredVoters()).To(Equal(5))
		c.LinkDown("10.2.0.1", nil)
		c.LinkDown("10.2.0.2", nil)
		Expect(c.desiredVoters()).To(Equal(5))
	})
})

var _ = Describe("a coordinator partitioned from most others", func() {
	// Guards against targets owned by the small side of a partition, where most
	// callers cannot use them, and against targets without an owner.
	It("rejects the heartbeats of other data centres' targets once", func() {
		c := newTestCoordinator("10.1.0.1", "z1")
		local, remote := &placement.Description{ID: "i-1", DataCentre: "z1"}, &placement.Description{ID: "i-2", DataCentre: "z2"}
		for _, name := range []string{"10.2.0.1", "10.3.0.1", "10.4.0.1"} {
			c.LinkUp(&wire.Hello{Instance: name, DataCentre: "z" + name[3:4], Voter: true})
		}
		Expect(c.rejectTarget(remote)).To(BeFalse(), "it is linked to all")
		c.LinkDown("10.2.0.1", nil)
		c.LinkDown("10.3.0.1", nil)
		Expect(c.rejectTarget(remote)).To(BeFalse(), "its side has half of the coordinators")
		c.LinkDown("10.4.0.1", nil)
		Expect(c.rejectTarget(local)).To(BeFalse())
		Expect(c.rejectTarget(remote)).To(BeTrue())
		Expect(c.rejectTarget(local)).To(BeFalse())
		Expect(c.rejectTarget(remote)).To(BeFalse(), "it has found no other coordinator")
	})
})

var _ = Describe("a heartbeat of a target assigned to another coordinator", func() {
	ownTarget := func(l *placementLoop) placement.Description {
		d := placement.Description{ID: "i-1", Service: "s", Capacity: placement.Resources{CPUMillis: 1000}, BootUnixMS: 7, Sequence: 1}
		l.core.Step(0, placement.PeerAvailability{Peer: "10.2.0.1"})
		l.core.Step(0, placement.Heartbeat{Description: d})
		return d
	}
	answerPolls := func(l *placementLoop) {
		for _, effect := range l.core.Ready() {
			if poll, ok := effect.(placement.PollOrder); ok {
				l.core.Step(0, placement.OrderResponse{Order: poll.Order, Result: placement.OK, BootUnixMS: 7})
			}
		}
		l.core.Ready()
	}

	// Guards against a forwarded heartbeat that overtakes the hand-over of its
	// target: the new owner then stops the target's runs as unknown.
	It("goes with the hand-over of the target", func() {
		l := newPlacementLoop(newTestCoordinator("10.1.0.1", "z1"))
		d := ownTarget(l)
		answerPolls(l)
		d.Sequence = 2
		Expect(l.handOverOrKeep(0, d, "10.2.0.1")).To(Equal(targetHandedOver))
		Expect(l.core.Ready()).To(ContainElement(HaveField("HandOver.Description.Sequence", uint64(2))))
		Expect(l.handOverOrKeep(0, d, "10.2.0.1")).To(Equal(targetNotOwned))
	})

	// Guards against a hand-over that loses track of orders in flight, and against a
	// drain that is acknowledged before the ownership is confirmed.
	It("is processed here while orders are in flight, and while the target drains", func() {
		l := newPlacementLoop(newTestCoordinator("10.1.0.1", "z1"))
		d := ownTarget(l)
		d.Sequence = 2
		Expect(l.handOverOrKeep(0, d, "10.2.0.1")).To(Equal(targetKept))
		answerPolls(l)
		d.Sequence, d.Draining = 3, true
		Expect(l.handOverOrKeep(0, d, "10.2.0.1")).To(Equal(targetKept))
		Expect(l.core.AvailableTargets()).To(BeEmpty(), "the target is draining")
	})
})

var _ = Describe("a request", func() {
	// Guards against a job that runs without an option that its caller requires.
	DescribeTable("is rejected if an option is not supported", func(request JobRequest) {
		Expect(request.unsupported()).NotTo(BeEmpty())
	},
		Entry("scheduled", JobRequest{Scheduled: true}),
		Entry("gang", JobRequest{Gang: true}),
		Entry("long-running", JobRequest{LongRunning: true}),
	)
})
