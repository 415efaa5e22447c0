package cluster

import (
	"context"
	"errors"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

var _ = Describe("a coordinator whose copy of the log lags", func() {
	var c *Coordinator
	var reads atomic.Int32
	submission := &wire.Submission{JobId: "00000000000000aa", Stored: true}
	BeforeEach(func() {
		c = newTestCoordinator("10.1.0.1", "z1")
		reads.Store(0)
	})

	// Guards against jobs that are accepted and never run, because their home never gets
	// the log that has them; and against an answer after which the gateway gives up.
	It("accepts no stored job, so that another one is tried", func() {
		c.logNode.catchUp.read = func(context.Context) error {
			reads.Add(1)
			return errors.New("wait for applied index 7")
		}
		answer := c.storeJob(context.Background(), submission)
		Expect(answer.GetOutcome()).To(Equal(wire.JobOutcome_JOB_OUTCOME_NOT_RUN))
		Expect(answer.GetReason()).To(ContainSubstring("log is not read to its end"))
		Expect(answer.GetRetryAfterMs()).To(BeNumerically("<=", ms(placement.RetryElsewhere)))
		Expect(reads.Load()).To(Equal(int32(1)))
	})

	// Guards against a round trip to the leader for each stored job.
	It("reads the log once for many jobs", func() {
		c.logNode.catchUp.read = func(context.Context) error {
			reads.Add(1)
			return nil
		}
		for range 20 {
			Expect(c.logNode.catchUp.check(context.Background())).To(Succeed())
		}
		Expect(reads.Load()).To(Equal(int32(1)))
	})
})
