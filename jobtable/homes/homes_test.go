package homes_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/jobtable/homes"
)

func TestHomes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "homes")
}

const second = time.Second

// reader is a coordinator whose newest read of the log began at a time.
func reader(home string, readAt time.Duration) homes.Coordinator {
	return homes.Coordinator{Home: home, ReportsReads: true, HasRead: true, ReadAt: readAt}
}

var _ = Describe("Candidates", func() {
	// Guards against jobs that move to a coordinator that never learns of them.
	It("are linked, follow the log and are not draining", func() {
		draining := reader("draining", 10*second)
		draining.Draining = true
		Expect(homes.Candidates(10*second, []homes.Coordinator{
			reader("follows", 9*second),
			reader("stopped", 8*second),
			{Home: "joins", ReportsReads: true},
			{Home: "earlier version"},
			draining,
			reader("from", 10*second),
		}, "from")).To(ConsistOf("follows", "earlier version"))
	})
})

var _ = Describe("Watch", func() {
	var watch *homes.Watch
	BeforeEach(func() { watch = homes.NewWatch(homes.LostAfter) })

	lost := func(now time.Duration, coordinators ...homes.Coordinator) []homes.Loss {
		return watch.Lost(now, []string{"a", "b"}, coordinators)
	}

	// Guards against jobs that wait for good at a home that is linked but no longer
	// follows the log.
	It("gives up a home that is linked and does not read the log", func() {
		Expect(lost(10*second, reader("a", 10*second), reader("b", 8*second))).To(BeEmpty())
		Expect(lost(11*second, reader("a", 11*second), reader("b", 8*second))).To(BeEmpty())
		Expect(lost(12*second, reader("a", 12*second), reader("b", 8*second))).To(ConsistOf(
			homes.Loss{Home: "b", Linked: true, ReadAge: 4 * second}))
	})

	// Guards against jobs that wait for good at a home that has never followed the log.
	It("gives up a home that has read nothing", func() {
		never := homes.Coordinator{Home: "b", ReportsReads: true}
		Expect(lost(10*second, reader("a", 10*second), never)).To(BeEmpty())
		Expect(lost(12*second, reader("a", 12*second), never)).To(ConsistOf(homes.Loss{Home: "b", Linked: true}))
	})

	// Guards against jobs that move away, and wait for it, because of a short outage.
	It("keeps a home that reads again in time", func() {
		Expect(lost(10*second, reader("a", 10*second))).To(BeEmpty())
		Expect(lost(11*second, reader("a", 11*second), reader("b", 11*second))).To(BeEmpty())
		Expect(lost(12*second, reader("a", 12*second))).To(BeEmpty())
		Expect(lost(13*second, reader("a", 13*second))).To(BeEmpty())
		Expect(lost(14*second, reader("a", 14*second))).To(ConsistOf(homes.Loss{Home: "b"}))
	})

	// Guards against the ends of runs that an owner outside of the log never records, and
	// against targets without an owner, or that change it, while there is no leader.
	It("gives up an owner that does not follow the log, while another one does", func() {
		watch = homes.NewWatch(homes.OwnerLostAfter)
		never := homes.Coordinator{Home: "b", ReportsReads: true}
		Expect(watch.LostOwners(10*second, []homes.Coordinator{reader("a", 10*second), never})).To(BeEmpty())
		Expect(watch.LostOwners(12*second, []homes.Coordinator{reader("a", 12*second), never})).To(BeEmpty())
		Expect(watch.LostOwners(13*second, []homes.Coordinator{reader("a", 13*second), never})).To(HaveKey("b"))
		Expect(watch.LostOwners(20*second, []homes.Coordinator{reader("a", 13*second), never})).To(BeEmpty())
		Expect(watch.LostOwners(21*second, []homes.Coordinator{reader("a", 21*second), reader("b", 13*second)})).To(BeEmpty())
		Expect(watch.LostOwners(22*second, []homes.Coordinator{reader("a", 22*second), reader("b", 22*second)})).To(BeEmpty())
	})

	// Guards against homes that a new leader gives up by what it saw before.
	It("observes anew after a reset", func() {
		Expect(lost(10 * second)).To(BeEmpty())
		watch.Reset()
		Expect(lost(12 * second)).To(BeEmpty())
		Expect(lost(14 * second)).To(HaveLen(2))
	})
})
