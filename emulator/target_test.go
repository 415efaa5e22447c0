package emulator_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/emulator"
	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
)

func TestEmulator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "emulator")
}

const (
	long  = 30 * time.Second // reached only if a test hangs
	short = 20 * time.Millisecond
)

var job = structs.JobIDAt(time.UnixMilli(1_700_000_000_000), 1)

func id(task int) structs.AttemptID { return structs.AttemptID{Job: job, Task: task, Number: 1} }

var _ = Describe("Target", func() {
	var (
		ctx     context.Context
		client  *targetapi.Client
		record  string
		options emulator.Options
		target  *emulator.Target
		served  chan error
	)

	BeforeEach(func() {
		ctx = context.Background()
		client = targetapi.NewClient(targetapi.Options{})
		record = filepath.Join(GinkgoT().TempDir(), "starts")
		options = emulator.Options{ID: "t1", Slots: 2, StartRecord: record, RunTime: emulator.Fixed(time.Millisecond)}
	})

	run := func() {
		GinkgoHelper()
		var err error
		target, err = emulator.New(options)
		Expect(err).NotTo(HaveOccurred())
		served = make(chan error, 1)
		go func(t *emulator.Target, ended chan error) { ended <- t.Serve() }(target, served)
		DeferCleanup(func() {
			client.Close()
			target.Close()
		})
	}
	startOf := func(task int, payload string) targetapi.StartCall {
		return targetapi.StartCall{
			Attempt:       id(task),
			Request:       targetapi.StartRequest{Payload: json.RawMessage(payload)},
			AckTimeout:    long,
			ReportTimeout: long,
		}
	}
	start := func(task int, payload string) targetapi.StartResult {
		return client.Start(ctx, target.Ref(), startOf(task, payload))
	}
	// begin starts a task that runs until it is cancelled and returns a channel for its result.
	begin := func(task int) chan targetapi.StartResult {
		GinkgoHelper()
		accepted := make(chan struct{})
		result := make(chan targetapi.StartResult, 1)
		call := startOf(task, `{"run_ms":60000}`)
		call.OnAccepted = func() { close(accepted) }
		go func(ref structs.TargetRef) { result <- client.Start(ctx, ref, call) }(target.Ref())
		Eventually(accepted).Should(BeClosed())
		return result
	}
	recorded := func() []string {
		GinkgoHelper()
		lines, err := emulator.ReadStartRecord(record)
		Expect(err).NotTo(HaveOccurred())
		var ids []string
		for _, line := range lines {
			ids = append(ids, line.AttemptID)
		}
		return ids
	}
	report := func(f func(context.Context, structs.TargetRef, structs.AttemptID) (targetapi.AttemptReport, error), task int) targetapi.AttemptReport {
		GinkgoHelper()
		r, err := f(ctx, target.Ref(), id(task))
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	// Guards against swapped answers that a test can't detect.
	It("returns the caller's own data, so that swapped answers can be detected", func() {
		run()
		result := start(3, `{"run_ms":1,"echo":{"lot":7}}`)
		Expect(result.Outcome).To(Equal(targetapi.StartDone))
		Expect(result.Report.Output).To(MatchJSON(`{"attempt_id":"` + id(3).String() + `","target_id":"t1","echo":{"lot":7}}`))
		Expect(recorded()).To(Equal([]string{id(3).String()}))
	})

	// Guards against a second start by a repeated message.
	It("starts an attempt once when its start is sent repeatedly", func() {
		run()
		var calls sync.WaitGroup
		for range 20 {
			calls.Go(func() {
				defer GinkgoRecover()
				Expect(start(0, `{"run_ms":5}`).Outcome).To(Equal(targetapi.StartDone))
			})
		}
		calls.Wait()
		Expect(start(0, `{"run_ms":5}`).Outcome).To(Equal(targetapi.StartDone))
		Expect(recorded()).To(HaveLen(1))
		Expect(target.Starts()).To(Equal(1))
	})

	// Guards against a start that was refused and runs later.
	It("refuses an attempt permanently when all slots are in use", func() {
		run()
		begin(0)
		begin(1)
		Expect(start(2, "").Report.Cause).To(Equal(targetapi.CauseBusy))
		report(client.Cancel, 0)
		Eventually(func() targetapi.AttemptState { return report(client.Query, 0).State }).Should(Equal(targetapi.AttemptFailed))
		Expect(start(2, "").Outcome).To(Equal(targetapi.StartRefused), "a refused attempt was started later")
		Expect(start(3, "").Outcome).To(Equal(targetapi.StartDone), "the slot was not freed")
	})

	// Guards against a delayed start that runs after its tombstone.
	It("never starts a tombstoned attempt", func() {
		run()
		Expect(report(client.Query, 0).State).To(Equal(targetapi.AttemptUnknown))
		Expect(report(client.Tombstone, 0).Cause).To(Equal(targetapi.CauseTombstone))
		Expect(start(0, "").Report.Cause).To(Equal(targetapi.CauseTombstone))
		Expect(recorded()).To(BeEmpty())
	})

	// Guards against a tombstone that takes effect on a running attempt.
	It("does not stop a running attempt when a tombstone arrives late", func() {
		run()
		begin(0)
		Expect(report(client.Resolve, 0).State).To(Or(Equal(targetapi.AttemptAccepted), Equal(targetapi.AttemptRunning)))
		Expect(target.Announcement().Running).To(Equal(1))
	})

	// Guards against requests for an earlier incarnation that reach its successor.
	It("refuses requests for an earlier incarnation", func() {
		run()
		old := target.Ref()
		old.Incarnation = "earlier"
		result := client.Start(ctx, old, startOf(0, ""))
		Expect(result.Report.Cause).To(Equal(targetapi.CauseIncarnation))
		Expect(result.Report.Incarnation).To(Equal(target.Ref().Incarnation))
		_, err := client.Tombstone(ctx, old, id(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(start(1, "").Outcome).To(Equal(targetapi.StartDone), "a tombstone for another incarnation took effect")
		Expect(recorded()).To(Equal([]string{id(1).String()}))
	})

	// Guards against a cancelled attempt that runs because its start arrives later.
	It("applies a cancellation that arrives before its start", func() {
		run()
		Expect(report(client.Cancel, 0).State).To(Equal(targetapi.AttemptRefused))
		Expect(start(0, "").Outcome).To(Equal(targetapi.StartRefused))
		result := begin(1)
		report(client.Cancel, 1)
		report(client.Cancel, 1)
		Expect((<-result).Report.Message).To(Equal("cancelled"))
	})

	// Guards against an attempt that ends with the connection of its caller.
	It("continues an attempt when its caller disconnects", func() {
		run()
		ctx, cancel := context.WithCancel(ctx)
		call := startOf(0, `{"run_ms":30}`)
		call.OnAccepted = cancel
		Expect(client.Start(ctx, target.Ref(), call).Outcome).To(Equal(targetapi.StartUnknown))
		Eventually(func() targetapi.AttemptState { return report(client.Query, 0).State }).Should(Equal(targetapi.AttemptDone))
	})

	// Guards against a requested failure that is reported as done.
	It("fails tasks on request", func() {
		run()
		Expect(start(0, `{"fail":true}`).Outcome).To(Equal(targetapi.StartFailed))
		Expect(start(1, ``).Outcome).To(Equal(targetapi.StartDone))
		target.SetFaults(emulator.Faults{FailAll: true})
		Expect(start(2, ``).Outcome).To(Equal(targetapi.StartFailed))
	})

	// Guards against a task that runs without a line in the start record.
	It("refuses a start that it cannot record", func() {
		options.StartRecord = "/dev/full"
		run()
		Expect(start(0, "").Report.Cause).To(Equal(targetapi.CauseFault))
		Expect(target.Starts()).To(BeZero())
	})

	// Guards against a leaving target that aborts attempts or accepts new ones.
	It("finishes running attempts and refuses new ones when it leaves", func() {
		run()
		running := begin(0)
		left := make(chan error, 1)
		go func() { left <- target.Leave(ctx) }()
		Eventually(func() structs.TargetState { return target.Announcement().State }).Should(Equal(structs.TargetLeaving))
		Expect(start(1, "").Report.Cause).To(Equal(targetapi.CauseLeaving))
		Expect(left).NotTo(Receive())
		report(client.Cancel, 0)
		Expect((<-running).Outcome).To(Equal(targetapi.StartFailed), "the final report was lost")
		Eventually(left).Should(Receive(BeNil()))
		Eventually(served).Should(Receive(BeNil()))
		Expect(recorded()).To(HaveLen(1))
	})

	// Guards against starts to a leaving target that its record does not show.
	It("records the starts sent to a leaving target if it is set to accept them", func() {
		options.Faults = emulator.Faults{AcceptWhileLeaving: true, Linger: long}
		run()
		go target.Leave(ctx)
		Eventually(func() structs.TargetState { return target.Announcement().State }).Should(Equal(structs.TargetLeaving))
		Expect(start(0, "").Outcome).To(Equal(targetapi.StartDone))
		Expect(recorded()).To(HaveLen(1))
	})

	// Guards against a pause that does not suspend responses.
	It("does not respond while paused and responds again afterwards", func() {
		run()
		target.Pause()
		call := startOf(0, "")
		call.AckTimeout = short
		Expect(client.Start(ctx, target.Ref(), call).Outcome).To(Equal(targetapi.StartUnknown))
		target.Resume()
		Expect(start(1, "").Outcome).To(Equal(targetapi.StartDone))
	})

	// Guards against a target that becomes unknown when one entry instance fails.
	It("announces to another entry instance when one fails, and the state leaving at once", func() {
		unreachable, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		unreachable.Close()
		failing := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(failing.Close)
		seen := make(chan structs.Announcement, 100)
		entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var a structs.Announcement
			_ = json.NewDecoder(r.Body).Decode(&a)
			seen <- a
		}))
		DeferCleanup(entry.Close)
		options.Entries = []string{unreachable.Addr().String(), failing.Listener.Addr().String(), entry.Listener.Addr().String()}
		options.Faults.Linger = long
		run()
		var first structs.Announcement
		Eventually(seen).Should(Receive(&first))
		Expect(first.State).To(Equal(structs.TargetReady))
		Expect(first.Address).To(Equal(target.Ref().Address))
		go target.Leave(ctx)
		Eventually(seen).Should(Receive(HaveField("State", structs.TargetLeaving)))
	})
})

// Guards against a typing error in a distribution that selects other run times.
var _ = DescribeTable("ParseRunTime rejects malformed distributions",
	func(text string) {
		_, err := emulator.ParseRunTime(text)
		Expect(err).To(HaveOccurred())
	},
	Entry(nil, ""), Entry(nil, "fixed"), Entry(nil, "fixed:-1s"), Entry(nil, "fixed:1s,2s"),
	Entry(nil, "uniform:2s,1s"), Entry(nil, "lognormal:1s,NaN"), Entry(nil, "lognormal:1s,-1"), Entry(nil, "pareto:1s"),
)
