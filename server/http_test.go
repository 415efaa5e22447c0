package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/ingress"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

// newTestServer returns a server without voters and targets, with its core loop
// running, and its HTTP handler.
func newTestServer(change func(*Options)) (*Server, http.Handler) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	options := Options{
		Name: "a", DataCentre: "north", Incarnation: 1,
		HTTPListener: listener, LinkListener: listener,
		Config: structs.SystemConfig{
			Classes: map[string]structs.Class{"c": {Name: "c"}},
			Tenants: map[string]structs.Tenant{"t": {Name: "t", Weight: 1}},
		},
		Logger: zerolog.Nop(), DrainTimeout: time.Second,
	}
	if change != nil {
		change(&options)
	}
	s := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = s.coreLoop.run(ctx) }()
	return s, s.routes()
}

func call(handler http.Handler, method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

// jobBody returns a valid submission whose ID has the given time.
func jobBody(at time.Time, change func(*structs.Job)) string {
	job := structs.Job{
		ID: structs.JobIDAt(at, uint64(GinkgoRandomSeed())), DataCentre: "north", Tenant: "t", Class: "c",
		DeadlineUnixMS: time.Now().Add(5 * time.Second).UnixMilli(),
		Tasks:          []structs.Task{{DeclaredMS: 10}},
	}
	if change != nil {
		change(&job)
	}
	body, err := json.Marshal(job)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = Describe("Submissions", func() {
	// admissibleTime is after the recovery horizon of an instance that starts now, and
	// within the tolerated clock skew when the request arrives.
	admissibleTime := func() time.Time { return time.Now().Add(2*structs.ClockSkewTolerance + 100*time.Millisecond) }

	answer := func(recorder *httptest.ResponseRecorder) structs.Answer {
		var answer structs.Answer
		Expect(json.Unmarshal(recorder.Body.Bytes(), &answer)).To(Succeed())
		return answer
	}

	// Guards against rejections without a machine-readable reason, and against
	// a definite outcome for an old ID, whose job may have run.
	DescribeTable("are rejected with a typed reason",
		func(at func() time.Time, change func(*structs.Job), status int, outcome structs.Outcome, reason structs.Reason) {
			_, handler := newTestServer(nil)
			recorder := call(handler, http.MethodPost, "/v1/jobs", jobBody(at(), change))
			Expect(answer(recorder)).To(And(HaveField("Outcome", outcome), HaveField("Reason", reason)))
			Expect(recorder.Code).To(Equal(status))
		},
		Entry("far in the past", func() time.Time { return time.Now().Add(-time.Hour) }, nil,
			http.StatusGone, structs.OutcomeUnknown, structs.ReasonExpiredJobID),
		Entry("before the horizon", time.Now, nil,
			http.StatusGatewayTimeout, structs.OutcomeUnknown, structs.ReasonHorizon),
		Entry("far in the future", func() time.Time { return time.Now().Add(time.Hour) }, nil,
			http.StatusBadRequest, structs.OutcomeNotRun, structs.ReasonFutureJobID),
		Entry("unknown data centre", admissibleTime, func(j *structs.Job) { j.DataCentre = "south" },
			http.StatusBadRequest, structs.OutcomeUnknown, structs.ReasonUnknownHome),
	)

	// Guards against an invalid job that reaches targets.
	It("with invalid fields never reach the owner", func() {
		_, handler := newTestServer(nil)
		recorder := call(handler, http.MethodPost, "/v1/jobs", `{"job_id":"x"}`)
		Expect(recorder.Code).To(Equal(http.StatusBadRequest))
		Expect(answer(recorder)).To(And(
			HaveField("Outcome", structs.OutcomeNotRun), HaveField("Reason", structs.ReasonBadJobID)))
	})
})

var _ = Describe("A body without room", func() {
	// Guards against an answer not-run for a job of which an earlier copy may have run.
	It("is refused without an outcome", func() {
		_, handler := newTestServer(nil)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/jobs", iotest.ErrReader(ingress.ErrOverloaded)))
		Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(recorder.Header().Get("Retry-After")).To(Equal("1"))
		Expect(recorder.Body.String()).NotTo(ContainSubstring(string(structs.OutcomeNotRun)))
	})
})

var _ = Describe("Operator changes", func() {
	// Guards against changes by clients without an operator certificate.
	It("need a certificate if the options require one", func() {
		_, handler := newTestServer(func(o *Options) { o.RequireOperatorCertificate = true })
		for _, path := range []string{operatorapi.PathDrain, operatorapi.PathConfig} {
			method := http.MethodPost
			if path == operatorapi.PathConfig {
				method = http.MethodPut
			}
			recorder := call(handler, method, path, `{}`)
			Expect(recorder.Code).To(Equal(http.StatusForbidden))
			var reply operatorapi.ErrorReply
			Expect(json.Unmarshal(recorder.Body.Bytes(), &reply)).To(Succeed())
			Expect(reply.Message).To(ContainSubstring("certificate"))
		}
		Expect(call(handler, http.MethodGet, operatorapi.PathStatus, "").Code).To(Equal(http.StatusOK))
	})

	// Guards against an invalid configuration that is applied.
	It("are validated before they are proposed", func() {
		_, handler := newTestServer(nil)
		recorder := call(handler, http.MethodPut, operatorapi.PathConfig,
			`{"operation_id":"o","operator":"p","classes":{"c":{"name":"c","rank":-5}},"tenants":{}}`)
		Expect(recorder.Code).To(Equal(http.StatusBadRequest))
		Expect(recorder.Body.String()).To(ContainSubstring("rank"))
	})
})

var _ = Describe("Readiness", func() {
	// Guards against a load balancer that sends jobs to an instance which can only
	// answer with outcome unknown, or which is draining.
	It("waits for the recovery horizon and ends with a drain", func() {
		s, handler := newTestServer(nil)
		s.post(input{}) // makes the loop publish its ownership
		Eventually(func() string { return call(handler, http.MethodGet, "/readyz", "").Body.String() }).
			Should(ContainSubstring("horizon"))
		Eventually(func() int { return call(handler, http.MethodGet, "/readyz", "").Code }, "20s").Should(Equal(http.StatusOK))
		s.shutdown.draining.Store(true)
		Expect(call(handler, http.MethodGet, "/readyz", "").Code).To(Equal(http.StatusServiceUnavailable))
	})
})
