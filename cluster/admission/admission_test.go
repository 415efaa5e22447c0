package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/cluster/admission"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

// home is a queue that starts work at a fixed rate, in the order of arrival.
type home struct {
	rate    float64 // core-seconds per second
	now     time.Duration
	waiting []waitingJob
	waits   []time.Duration // of the jobs that have started, in their order
	started []time.Duration // their arrivals
}

type waitingJob struct {
	arrived time.Duration
	work    float64
}

func (h *home) backlog() *admission.Backlog {
	b := &admission.Backlog{Work: map[int]float64{}, Rate: h.rate}
	for _, j := range h.waiting {
		b.Work[0] += j.work
	}
	if len(h.waiting) > 0 {
		b.Oldest = h.now - h.waiting[0].arrived
	}
	return b
}

// step starts what fits into a time step.
func (h *home) step(length time.Duration) {
	h.now += length
	capacity := h.rate * length.Seconds()
	for len(h.waiting) > 0 && capacity > 0 {
		j := &h.waiting[0]
		done := min(capacity, j.work)
		capacity -= done
		if j.work -= done; j.work > 1e-9 {
			return
		}
		h.waits = append(h.waits, h.now-j.arrived)
		h.started = append(h.started, j.arrived)
		h.waiting = h.waiting[1:]
	}
}

var _ = Describe("Gate", func() {
	const slack = 200 * time.Millisecond
	job := func(i int) admission.Job { return admission.Job{ID: fmt.Sprintf("%016x", i), Slack: slack} }

	// Guards against a queue that outlasts an overload, so that jobs which arrive
	// after it are late as well.
	It("serves as before within two seconds after a load of three times the capacity", func() {
		h, gate := &home{rate: 100}, admission.NewGate()
		refused, lateRefusals, id := 0, 0, 0
		for h.now < 12*time.Second {
			load := 0.8
			if h.now >= 2*time.Second && h.now < 6*time.Second {
				load = 3
			}
			for range int(load * 10) { // 1 core-second each, per 100 ms
				id++
				if gate.Decide(h.now, job(id), h.backlog()).Reason == "" {
					h.waiting = append(h.waiting, waitingJob{arrived: h.now, work: 1})
				} else if refused++; h.now >= 8*time.Second {
					lateRefusals++
				}
			}
			for range 10 {
				h.step(10 * time.Millisecond)
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(lateRefusals).To(BeZero())
		for i, wait := range h.waits {
			if h.started[i] >= 8*time.Second {
				Expect(wait).To(BeNumerically("<=", 100*time.Millisecond))
			}
			Expect(wait).To(BeNumerically("<=", 3*slack), "accepted and started far too late")
		}
	})

	// Guards against 502 answers for jobs that could have been refused: the outcome
	// of a proposal to a log that does not respond is unknown.
	It("refuses jobs while the log does not respond, but for probes", func() {
		gate := admission.NewGate()
		first := gate.Begin(0, "first")
		Expect(gate.Decide(200*time.Millisecond, job(1), &admission.Backlog{}).Reason).To(BeEmpty())
		proposed := 0
		for now := 300 * time.Millisecond; now < 1300*time.Millisecond; now += time.Millisecond {
			if gate.Decide(now, job(2), &admission.Backlog{}).Reason == "" {
				proposed++
			}
		}
		Expect(proposed).To(Equal(10))
		gate.End(1300*time.Millisecond, first, true)
		Expect(gate.Decide(1300*time.Millisecond, job(3), &admission.Backlog{}).Reason).To(BeEmpty())
	})

	// Guards against a refusal of a job that is in the log: its caller has got no clear
	// answer to the first submission and submits it again.
	It("never refuses a job whose earlier proposal may be in the log", func() {
		gate := admission.NewGate()
		full := &admission.Backlog{Work: map[int]float64{0: 500}, Rate: 100, Oldest: time.Second}
		number := gate.Begin(0, job(7).ID)
		Expect(gate.Decide(800*time.Millisecond, job(7), full).Reason).To(BeEmpty())
		gate.End(900*time.Millisecond, number, false)
		Expect(gate.Decide(10*time.Second, job(7), full).Reason).To(BeEmpty())
		Expect(gate.Decide(10*time.Second, job(8), full).Reason).NotTo(BeEmpty())
		Expect(gate.Decide(20*time.Second, job(7), full).Reason).NotTo(BeEmpty())
	})

	// Guards against a coordinator that refuses everything because it has not started
	// anything lately, and so never starts anything again.
	It("accepts jobs with little wait when nothing has started lately", func() {
		backlog := &admission.Backlog{Work: map[int]float64{0: 7}, Oldest: 150 * time.Millisecond}
		Expect(admission.NewGate().Decide(0, job(1), backlog).Reason).To(BeEmpty())
	})

	// Guards against urgent jobs that are refused because of a queue behind them.
	It("counts only work of the same or a higher priority", func() {
		backlog := &admission.Backlog{Work: map[int]float64{0: 1, 2: 500}, Rate: 100, Oldest: time.Second}
		urgent := admission.Job{ID: "a", Priority: 0, Slack: slack}
		deferrable := admission.Job{ID: "b", Priority: 2, Slack: slack}
		gate := admission.NewGate()
		Expect(gate.Decide(0, urgent, backlog).Reason).To(BeEmpty())
		Expect(gate.Decide(0, deferrable, backlog).Reason).To(Equal("too many jobs wait"))
	})

	// Guards against callers that return at the same moment, or after a time that is
	// too long for them.
	It("spreads the times at which refused callers return", func() {
		backlog := &admission.Backlog{Work: map[int]float64{0: 400}, Rate: 100, Oldest: time.Second}
		gate, seen := admission.NewGate(), map[time.Duration]bool{}
		for i := range 100 {
			retry := gate.Decide(0, job(i), backlog).RetryAfter
			Expect(retry).To(BeNumerically(">=", time.Second))
			Expect(retry).To(BeNumerically("<=", 5*time.Second))
			seen[retry.Truncate(100*time.Millisecond)] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 10))
	})

	// Guards against a refusal of the first jobs, before any has started.
	It("accepts jobs as long as none has waited", func() {
		backlog := &admission.Backlog{Work: map[int]float64{0: 400}}
		Expect(admission.NewGate().Decide(0, job(1), backlog).Reason).To(BeEmpty())
	})
})
