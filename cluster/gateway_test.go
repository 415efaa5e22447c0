package cluster

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// Pattern: a coordinator freezes or loses power under load. Its link fails only after
// linkTimeout, and every job that is sent to it until then is lost.
var _ = Describe("jobs beside a coordinator that has stopped responding", func() {
	var g *Gateway
	from := func(name string) *wire.Hello { return &wire.Hello{Instance: name, DataCentre: "z" + name} }
	received := func(ref uint64) *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_SubmissionReceived{SubmissionReceived: &wire.SubmissionReceived{Ref: ref}}}
	}
	BeforeEach(func() {
		g = NewGateway(GatewayOptions{Name: "g", DataCentre: "z1", Logger: zerolog.New(io.Discard)})
		g.LinkUp(from("1"))
		g.LinkUp(from("2"))
		g.pending[1] = &pendingJob{coordinator: "1", sentAt: time.Now()}
	})

	It("go to another one once a submission was not acknowledged in time", func() {
		g.HandleMessage(from("1"), received(1))
		Expect(g.submitOrder()).To(HaveExactElements("1", "2"))
		g.pending[2] = &pendingJob{coordinator: "1", sentAt: time.Now().Add(-2 * receiptTimeout)}
		Expect(g.submitOrder()).To(HaveExactElements("2"))
		Expect(g.queryOrder()).To(HaveExactElements("2", "1"), "it may hold earlier jobs")
		g.HandleMessage(from("1"), &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
		Expect(g.submitOrder()).To(HaveExactElements("1", "2"))
	})

	It("are not sent at all while no coordinator responds", func() {
		for ref, name := range map[uint64]string{3: "1", 4: "2"} {
			g.HandleMessage(from(name), received(0))
			g.pending[ref] = &pendingJob{coordinator: name, sentAt: time.Now().Add(-2 * receiptTimeout)}
		}
		Expect(g.submitOrder()).To(BeEmpty())
	})

	// Pattern: all coordinators lose power. A gateway that finds out about them one
	// after the other loses a job or more for each.
	It("are not sent to one that has sent no heartbeats", func() {
		g.coordinators["1"].heardAt = time.Now().Add(-2 * silenceTimeout)
		Expect(g.submitOrder()).To(HaveExactElements("2"))
	})

	// Pattern: all coordinators lose power under load. Guards against jobs that wait for
	// a share of their objective although nobody can serve them.
	It("are refused at once while all coordinators are down, and wait after a short loss", func() {
		clear(g.pending)
		g.LinkDown("1", nil)
		g.LinkDown("2", nil)
		Expect(g.submitOrder()).To(BeEmpty())
		g.unservedSince = time.Now().Add(-2 * outageGrace)
		Expect(g.awaitCoordinators(context.Background(), time.Hour)).To(BeEmpty())
		g.LinkUp(from("1"))
		Expect(g.awaitCoordinators(context.Background(), time.Hour)).To(HaveExactElements("1"))
		g.LinkDown("1", nil)
		go func() {
			defer GinkgoRecover()
			time.Sleep(outageGrace / 10)
			g.LinkUp(from("2"))
		}()
		Expect(g.awaitCoordinators(context.Background(), time.Hour)).To(HaveExactElements("2"))
	})

	// Guards against a caller that is told to return at once because each coordinator
	// has refused the job in favour of another one.
	It("name a time to return when no coordinator takes them", func() {
		clear(g.pending)
		answer := g.submit(context.Background(), &placement.Job{ID: "00000000000000aa"})
		Expect(answer.Outcome).To(Equal(placement.NotRun))
		Expect(answer.RetryAfter).To(Equal(notRunRetryDelay))
	})

	// Guards against an earlier version, which acknowledges nothing, being left out
	// during an upgrade.
	It("still go to one that has never acknowledged a submission", func() {
		g.pending[1].sentAt = time.Now().Add(-2 * receiptTimeout)
		Expect(g.submitOrder()).To(HaveExactElements("1", "2"))
	})
})
