package cluster

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
	"hawthornshore.example/wire"
)

var _ = Describe("a cancelled job that is not stored", func() {
	const id = "00000000000000aa"
	var c *Coordinator
	cancelled := func() bool { return c.loop.core.Cancelled(id) }
	BeforeEach(func() { c = newTestCoordinator("10.1.0.1", "z1") })

	// Guards against a repeat of its request that starts the job at a coordinator that has
	// the cancellation from the log only, or was down when it was acknowledged.
	It("is remembered by each coordinator that applies the log, or gets a snapshot of it", func() {
		command, err := proto.Marshal(&wire.LogCommand{Jobs: []*wire.JobCommand{{
			Body: &wire.JobCommand_Cancel{Cancel: &wire.JobCancel{JobId: id, NotStored: true}},
		}}})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.logNode.store.Apply(&consensus.Entry{Data: command})
		Expect(err).NotTo(HaveOccurred())
		c.loop.stepCancelled(time.Second)
		Expect(cancelled()).To(BeTrue())
		snapshot, err := c.logNode.store.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		c = newTestCoordinator("10.1.0.2", "z1")
		Expect(c.logNode.store.Restore(snapshot)).To(Succeed())
		c.loop.stepCancelled(time.Second)
		Expect(cancelled()).To(BeTrue())
	})

	// Guards against a coordinator that starts the job because it restarts and has the
	// cancellation on disk, but applies it after the next election only.
	It("is remembered by a coordinator that has it on disk", func() {
		command, err := proto.Marshal(&wire.LogCommand{Jobs: []*wire.JobCommand{{
			Body: &wire.JobCommand_Cancel{Cancel: &wire.JobCancel{JobId: id, NotStored: true}},
		}}})
		Expect(err).NotTo(HaveOccurred())
		c.logNode.store.noteLogged([]*consensus.Entry{{Kind: consensus.EntryKind_ENTRY_KIND_EMPTY}, {Data: command}})
		c.loop.stepCancelled(time.Second)
		Expect(cancelled()).To(BeTrue())
	})

	// Guards against a coordinator that starts the job because the log reaches it after
	// the cancellation was acknowledged.
	It("is remembered by a coordinator that another one tells of it", func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { _ = c.loop.run(ctx) }()
		_, err := c.HandleCall(ctx, "10.1.0.2", &wire.Envelope{Body: &wire.Envelope_JobQuestion{
			JobQuestion: &wire.JobQuestion{JobId: id, Cancel: true, Cancelled: true},
		}})
		Expect(err).NotTo(HaveOccurred())
		found := false
		Expect(c.loop.do(ctx, func(time.Duration) { found = cancelled() })).To(Succeed())
		Expect(found).To(BeTrue())
	})

	// Guards against a coordinator that was cut off during the cancellation and starts the
	// job before the log has reached it again.
	It("is remembered by a coordinator that links up later", func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { _ = c.loop.run(ctx) }()
		c.HandleMessage(&wire.Hello{Instance: "10.1.0.2"}, &wire.Envelope{Body: &wire.Envelope_CancelledJobs{
			CancelledJobs: &wire.CancelledJobs{JobIds: []string{id}},
		}})
		found := false
		Expect(c.loop.do(ctx, func(time.Duration) { found = cancelled() })).To(Succeed())
		Expect(found).To(BeTrue())
	})

	// Guards against a repeated cancellation that is answered as unknown, because the
	// first one has ended the job and was not acknowledged.
	It("is found by a repeated cancellation, not by a query", func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { _ = c.loop.run(ctx) }()
		Expect(c.rememberCancelled(ctx, id)).To(Succeed())
		_, again, err := c.loop.queryJob(ctx, id, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(BeTrue())
		_, again, err = c.loop.queryJob(ctx, id, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(BeFalse())
	})
})
