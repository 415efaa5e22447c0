package experiment_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/experiment"
	"hawthornshore.example/structs"
)

var _ = Describe("load over HTTP", func() {
	// serveAnswers starts a test server in place of an entry instance.
	serveAnswers := func(answer func(n int64, job *structs.Job) structs.Answer) (address string, received *atomic.Int64) {
		received = new(atomic.Int64)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			var job structs.Job
			Expect(json.NewDecoder(r.Body).Decode(&job)).To(Succeed())
			Expect(r.URL.Path).To(Equal("/v1/jobs"))
			Expect(job.DataCentre).To(Equal("dc1"))
			Expect(job.Tasks[0].Payload).NotTo(BeEmpty())
			a := answer(received.Add(1), &job)
			Expect(json.NewEncoder(w).Encode(a)).To(Succeed())
		}))
		DeferCleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://"), received
	}
	options := func(address string) *experiment.LoadOptions {
		return &experiment.LoadOptions{
			Workload: experiment.Lanyards(), DataCentre: "dc1", Entries: []string{address},
			Load: 0.8, Duration: 300 * time.Millisecond, Seed: 1, MaxInFlight: 1000,
		}
	}

	// Guards against wrong answers that count as successful ones.
	It("counts every answer once and answers with another job's ID separately", func() {
		address, received := serveAnswers(func(n int64, job *structs.Job) structs.Answer {
			if n%5 == 0 {
				return structs.Answer{JobID: structs.NewJobID(), Outcome: structs.OutcomeComplete}
			}
			return structs.Answer{JobID: job.ID, Outcome: structs.OutcomeComplete}
		})
		result, err := experiment.GenerateLoad(context.Background(), options(address))
		Expect(err).NotTo(HaveOccurred())
		Expect(received.Load()).To(BeNumerically(">", 10))
		Expect(result.WrongID).To(Equal(int(received.Load() / 5)))
		Expect(result.All.Sent + result.WrongID).To(Equal(int(received.Load())))
		Expect(result.Errors).To(BeZero())
	})

	// Guards against a generator that adds jobs without bound while none is answered. The
	// limit is checked for each moment, as the generator may still be sending after the
	// release when the machine is busy.
	It("does not send beyond the limit of jobs in flight, and counts the jobs not sent", func() {
		release := make(chan struct{})
		var inFlight, most atomic.Int64
		address, _ := serveAnswers(func(_ int64, job *structs.Job) structs.Answer {
			now := inFlight.Add(1)
			for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
			}
			<-release
			inFlight.Add(-1)
			return structs.Answer{JobID: job.ID, Outcome: structs.OutcomeComplete}
		})
		o := options(address)
		o.MaxInFlight = 3
		time.AfterFunc(2*o.Duration, func() { close(release) })
		result, err := experiment.GenerateLoad(context.Background(), o)
		Expect(err).NotTo(HaveOccurred())
		Expect(most.Load()).To(Equal(int64(3)))
		Expect(result.NotSent).To(BeNumerically(">", 0))
	})

	// Guards against a measurement without jobs that looks like a successful one.
	It("rejects options that would send nothing", func() {
		_, err := experiment.GenerateLoad(context.Background(), &experiment.LoadOptions{})
		Expect(err).To(HaveOccurred())
	})
})
