package targetapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
)

func TestTargetAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targetapi")
}

const (
	incarnation = "inc-1"
	// hangTimeout is not reached unless a test hangs.
	hangTimeout = 30 * time.Second
	// expiringTimeout is short enough for a test to wait until it has passed.
	expiringTimeout = 20 * time.Millisecond
)

var attempt = structs.AttemptID{Job: structs.JobIDAt(time.UnixMilli(1_700_000_000_000), 1), Number: 1}

// reportOf returns a report of the expected attempt and incarnation.
func reportOf(state targetapi.AttemptState) targetapi.AttemptReport {
	return targetapi.AttemptReport{AttemptID: attempt.String(), Incarnation: incarnation, State: state}
}

// stream responds with reports and then ends the stream.
func stream(reports ...targetapi.AttemptReport) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, report := range reports {
			_ = json.NewEncoder(w).Encode(report)
		}
	}
}

// hang sends reports and then nothing more until the client disconnects.
func hang(reports ...targetapi.AttemptReport) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body
		stream(reports...)(w, r)
		if len(reports) > 0 {
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}
}

var _ = Describe("Client", func() {
	var (
		ctx        context.Context
		client     *targetapi.Client
		mismatches atomic.Int32
		opened     atomic.Int32 // connections opened to the server
	)

	serve := func(handler http.HandlerFunc) structs.TargetRef {
		server := httptest.NewUnstartedServer(handler)
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		server.Start()
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return structs.TargetRef{TargetID: "t1", Incarnation: incarnation, Address: server.Listener.Addr().String()}
	}
	call := func() targetapi.StartCall {
		return targetapi.StartCall{Attempt: attempt, AckTimeout: hangTimeout, ReportTimeout: hangTimeout}
	}
	expectStepError := func(err error, step string) {
		GinkgoHelper()
		var stepError *structs.StepError
		Expect(errors.As(err, &stepError)).To(BeTrue())
		Expect(stepError.Step).To(Equal(step))
		Expect(stepError.Peer).To(Equal("t1"))
	}

	BeforeEach(func() {
		ctx = context.Background()
		mismatches.Store(0)
		opened.Store(0)
		client = targetapi.NewClient(targetapi.Options{
			OnMismatch: func(structs.TargetRef, structs.AttemptID, targetapi.AttemptReport) { mismatches.Add(1) },
		})
		DeferCleanup(client.Close)
	})

	// Guards against a caller that counts one start as several.
	It("calls OnAccepted once if the target repeats its accepted report", func() {
		acks := 0
		start := call()
		start.OnAccepted = func() { acks++ }
		target := serve(stream(reportOf("accepted"), reportOf("accepted"), reportOf("running"), reportOf("done")))
		result := client.Start(ctx, target, start)
		Expect(result.Outcome).To(Equal(targetapi.StartDone))
		Expect(result.Err).NotTo(HaveOccurred())
		Expect(acks).To(Equal(1))
	})

	// Guards against an attempt that may run, or has failed, under another outcome,
	// and against a refusal that counts as an acknowledgement.
	DescribeTable("distinguishes the outcomes of a start",
		func(want targetapi.StartOutcome, accepted bool, reports ...targetapi.AttemptReport) {
			result := client.Start(ctx, serve(stream(reports...)), call())
			Expect(result.Outcome).To(Equal(want))
			Expect(result.Accepted).To(Equal(accepted))
		},
		Entry("failed task", targetapi.StartFailed, true, reportOf("accepted"), reportOf("failed")),
		Entry("refusal is no acknowledgement", targetapi.StartRefused, false, reportOf("refused")),
		Entry("done without a preceding accepted report", targetapi.StartDone, true, reportOf("done")),
		Entry("attempt may run after its stream ended early", targetapi.StartUnknown, true, reportOf("accepted"), reportOf("running")),
		Entry("attempt may have started without a report", targetapi.StartUnknown, false),
	)

	// Guards against an attempt that counts as possibly running although no byte of
	// it was sent, and so is not tried at another target.
	It("reports a start to a closed port as not sent, so that another target may be tried", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener.Close()
		target := structs.TargetRef{TargetID: "t1", Incarnation: incarnation, Address: listener.Addr().String()}
		result := client.Start(ctx, target, call())
		Expect(result.Outcome).To(Equal(targetapi.StartNotSent))
		expectStepError(result.Err, "start")
	})

	// Guards against a second start of a task whose first start may have arrived.
	It("reports a start without acknowledgement as unknown, never as not sent", func() {
		start := call()
		start.AckTimeout = expiringTimeout
		result := client.Start(ctx, serve(hang()), start)
		Expect(result.Outcome).To(Equal(targetapi.StartUnknown))
		Expect(result.Accepted).To(BeFalse())
		Expect(errors.Is(result.Err, targetapi.ErrReportTimeout)).To(BeTrue())
		expectStepError(result.Err, "start")
	})

	// Guards against a start that waits for ever for a target that has stopped
	// reporting.
	It("detects that an acknowledged attempt sends no further reports", func() {
		start := call()
		start.ReportTimeout = expiringTimeout
		result := client.Start(ctx, serve(hang(reportOf("accepted"))), start)
		Expect(result.Outcome).To(Equal(targetapi.StartUnknown))
		Expect(result.Accepted).To(BeTrue())
		Expect(errors.Is(result.Err, targetapi.ErrReportTimeout)).To(BeTrue())
	})

	// Guards against a task that runs twice because the transport repeats its start.
	It("does not send a start again when a reused connection is closed after the start was sent", func() {
		var starts atomic.Int32
		target := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				stream(reportOf("running"))(w, r)
				return
			}
			starts.Add(1)
			panic(http.ErrAbortHandler)
		})
		_, err := client.Query(ctx, target, attempt)
		Expect(err).NotTo(HaveOccurred())
		result := client.Start(ctx, target, call())
		Expect(result.Outcome).To(Equal(targetapi.StartUnknown))
		Expect(starts.Load()).To(BeEquivalentTo(1))
	})

	// Guards against the result of another attempt, or of a target from before its
	// restart, that is returned to the caller.
	It("discards reports of another attempt or incarnation and counts them", func() {
		otherAttempt, otherIncarnation := reportOf("done"), reportOf("done")
		otherAttempt.AttemptID = structs.AttemptID{Job: attempt.Job, Number: 2}.String()
		otherIncarnation.Incarnation = "inc-2"
		own := reportOf("done")
		own.Output = json.RawMessage(`"own"`)
		result := client.Start(ctx, serve(stream(otherAttempt, reportOf("accepted"), otherIncarnation, own)), call())
		Expect(result.Report.Output).To(MatchJSON(`"own"`))
		Expect(mismatches.Load()).To(BeEquivalentTo(2))

		_, err := client.Query(ctx, serve(stream(otherIncarnation)), attempt)
		Expect(errors.Is(err, targetapi.ErrMismatch)).To(BeTrue())
		expectStepError(err, "ask")
		Expect(mismatches.Load()).To(BeEquivalentTo(3))
	})

	// Guards against a restarted target whose refusal is discarded as a mismatch.
	It("accepts the refusal of a restarted target, which carries its new incarnation", func() {
		refusal := reportOf("refused")
		refusal.Cause = targetapi.CauseIncarnation
		refusal.Incarnation = "inc-2"
		result := client.Start(ctx, serve(stream(refusal)), call())
		Expect(result.Outcome).To(Equal(targetapi.StartRefused))
		Expect(result.Report.Cause).To(Equal(targetapi.CauseIncarnation))
		Expect(mismatches.Load()).To(BeZero())
	})

	// Guards against a call on a path that the target does not serve, and against
	// one that another incarnation of the target executes.
	It("sends each call to the path of the API, with the incarnation", func() {
		var requests []string
		target := serve(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Header.Get(targetapi.IncarnationHeader)).To(Equal(incarnation))
			requests = append(requests, r.Method+" "+r.URL.Path)
			stream(reportOf("running"))(w, r)
		})
		for _, f := range []func(context.Context, structs.TargetRef, structs.AttemptID) (targetapi.AttemptReport, error){
			client.Query, client.Tombstone, client.Cancel, client.Resolve,
		} {
			_, err := f(ctx, target, attempt)
			Expect(err).NotTo(HaveOccurred())
		}
		path := "/v1/attempts/" + attempt.String()
		Expect(requests).To(Equal([]string{"GET " + path, "POST " + path + "/tombstone", "POST " + path + "/cancel", "POST " + path + "/tombstone"}))
	})

	// Guards against a tombstone that waits on a pooled connection that no longer
	// responds.
	It("resolves on a new connection although a pooled one is idle", func() {
		target := serve(stream(reportOf("running")))
		for range 2 {
			_, err := client.Query(ctx, target, attempt)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(opened.Load()).To(BeEquivalentTo(1), "pooled calls share a connection")
		for want := int32(2); want <= 3; want++ {
			_, err := client.Resolve(ctx, target, attempt)
			Expect(err).NotTo(HaveOccurred())
			Expect(opened.Load()).To(Equal(want))
		}
	})

	// Guards against a client that exhausts a target's connections, and against
	// unresponsive starts that leave no connection for Resolve. It does not check how
	// many connections Start may use.
	It("opens at most MaxConnections to a target", func() {
		ctx, cancel := context.WithCancel(ctx)
		target := serve(hang())
		var calls sync.WaitGroup
		for i := range 2 * targetapi.MaxConnections {
			calls.Go(func() {
				start := call()
				start.Attempt.Task = i
				client.Start(ctx, target, start)
			})
		}
		Eventually(opened.Load).Should(BeNumerically(">=", targetapi.MaxConnections/2))
		for range targetapi.MaxConnections {
			calls.Go(func() { _, _ = client.Resolve(ctx, target, attempt) })
		}
		Eventually(opened.Load).Should(BeEquivalentTo(targetapi.MaxConnections))
		Consistently(opened.Load, "50ms").Should(BeEquivalentTo(targetapi.MaxConnections))
		cancel()
		calls.Wait()
	})

	// Guards against a new connection for every start.
	It("reuses the connection of a stream that ended", func() {
		target := serve(stream(reportOf("accepted"), reportOf("done")))
		Expect(client.Start(ctx, target, call()).Outcome).To(Equal(targetapi.StartDone))
		Eventually(func() int32 {
			before := opened.Load()
			client.Start(ctx, target, call())
			return opened.Load() - before
		}).Should(BeZero())
	})

	// Guards against an oversized report that counts as the attempt's result. The
	// report also names no attempt, so either check may reject it.
	It("rejects an oversized report without an attempt", func() {
		target := serve(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"output":"%0*d"}`, targetapi.MaxReportBytes, 0)
		})
		Expect(client.Start(ctx, target, call()).Outcome).To(Equal(targetapi.StartUnknown))
		_, err := client.Query(ctx, target, attempt)
		Expect(err).To(HaveOccurred())
	})
})
