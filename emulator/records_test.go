package emulator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
)

var _ = Describe("attempt records", func() {
	var target *Target
	job := structs.JobIDAt(time.UnixMilli(1_700_000_000_000), 1)
	first := structs.AttemptID{Job: job, Task: 0, Number: 1}
	second := structs.AttemptID{Job: job, Task: 1, Number: 1}

	BeforeEach(func() {
		var err error
		target, err = New(Options{ID: "t1", Slots: 2, RunTime: Fixed(time.Hour)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
	})

	// Guards against records that accumulate, and against a second start of a running
	// attempt whose record was removed.
	It("are removed after their retention, but not while the attempt runs", func() {
		now := time.Now()
		target.startAttempt(first, targetapi.StartRequest{}, now)
		target.tombstone(second)
		target.pruneAttempts(now.Add(recordRetention - time.Second))
		Expect(target.attempts).To(HaveLen(2))
		target.pruneAttempts(now.Add(recordRetention + time.Hour))
		Expect(target.attempts).To(HaveLen(1))
		Expect(target.attempts).To(HaveKey(first))
	})

	// Guards against a start that is executed after its sender has given up on it.
	It("refuse a start whose start window passed before it was processed", func() {
		request := targetapi.StartRequest{StartWithinMS: 10}
		a := target.startAttempt(first, request, time.Now().Add(-time.Minute))
		Expect(a.report.Cause).To(Equal(targetapi.CauseExpired))
		Expect(target.startAttempt(second, request, time.Now().Add(time.Minute)).report.State).To(Equal(targetapi.AttemptAccepted))
	})

	// Guards against a start that is accepted and then lost with the target.
	It("refuse a start that arrives while the target closes", func() {
		Expect(target.Close()).To(Succeed())
		Expect(target.startAttempt(first, targetapi.StartRequest{}, time.Now()).report.State).To(Equal(targetapi.AttemptRefused))
	})
})
