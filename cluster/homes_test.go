package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/jobtable"
	"hawthornshore.example/jobtable/homes"
	"hawthornshore.example/wire"
)

var _ = Describe("The homes that a coordinator knows", func() {
	var c *Coordinator
	BeforeEach(func() {
		c = newTestCoordinator("self", "dc0")
	})

	link := func(name string, reports bool, age time.Duration) {
		c.LinkUp(&wire.Hello{Instance: name, Incarnation: "1", Voter: true, ReportsLogReads: reports})
		beat := &wire.Heartbeat{}
		if age >= 0 {
			beat.LogReadAgeMs = proto.Int64(ms(age))
		}
		c.handleHeartbeat(name, beat)
	}
	candidates := func() []string { return homes.Candidates(boottimeNow(), c.knownHomes(), "lost/1") }

	// Guards against jobs that move to a coordinator that is linked and does not follow the
	// log, and against earlier versions, which report nothing, that get no jobs.
	It("may take jobs over if they have read the log lately", func() {
		link("follows", true, 0)
		link("stopped", true, time.Minute)
		link("joins", true, -1)
		link("earlier", false, -1)
		Expect(candidates()).To(ConsistOf("follows/1", "earlier/1"))
	})

	// Guards against a coordinator that keeps jobs, or takes them, while it can't read the log.
	It("include the coordinator itself once it has read the log", func() {
		Expect(candidates()).To(BeEmpty())
		Expect(c.Heartbeat().LogReadAgeMs).To(BeNil())
		c.logNode.catchUp.confirm(boottimeNow() - time.Second)
		Expect(candidates()).To(ConsistOf(c.options.Placement.Home))
		Expect(c.Heartbeat().GetLogReadAgeMs()).To(BeNumerically(">=", 1000))
		c.mu.Lock()
		c.draining = true
		c.mu.Unlock()
		Expect(candidates()).To(BeEmpty())
	})

	// Guards against tables that differ: a coordinator of an earlier version applies other
	// ranges of run numbers than those of this version.
	It("get the run numbers of an earlier version while one is linked", func() {
		c.LinkUp(&wire.Hello{Instance: "new", Voter: true, KnowsRunRanges: true})
		c.LinkUp(&wire.Hello{Instance: "gateway"})
		Expect(c.runRange()).To(Equal(int64(jobtable.RunRange)))
		c.LinkUp(&wire.Hello{Instance: "earlier", Voter: true})
		Expect(c.runRange()).To(BeZero())
		c.LinkDown("earlier", nil)
		Expect(c.runRange()).To(Equal(int64(jobtable.RunRange)))
	})

	// Guards against a returned coordinator that counts by what its earlier process read.
	It("count a new process by its own reads", func() {
		link("follows", true, 0)
		link("follows", true, -1)
		Expect(candidates()).To(BeEmpty())
	})
})
