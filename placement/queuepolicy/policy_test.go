package queuepolicy_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement/queuepolicy"
)

func TestQueuePolicy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queuepolicy")
}

const (
	now  = time.Hour
	core = 1000
)

// waitingJob returns a job of tasks of one core and 200 ms that was tried.
func waitingJob(id, class string, priority, width int, age time.Duration) *queuepolicy.Job {
	const task = 200 * time.Millisecond
	return &queuepolicy.Job{
		ID: id, Pool: "desk", Class: class, Priority: priority, Width: width, Age: age,
		Objective: 380 * time.Millisecond, Useful: 1140 * time.Millisecond, Path: task,
		Work: int64(width) * core * task.Milliseconds(), Ready: int64(width) * core * task.Milliseconds(), Tried: true,
	}
}

// order returns the IDs of jobs in the order of the policy.
func order(p *queuepolicy.Policy, jobs ...*queuepolicy.Job) []string {
	slices.SortStableFunc(jobs, func(a, b *queuepolicy.Job) int { return p.Rank(now, a).Compare(p.Rank(now, b)) })
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.ID)
	}
	return ids
}

func refuse(p *queuepolicy.Policy, cores int, jobs ...*queuepolicy.Job) []queuepolicy.Refusal {
	var ends []queuepolicy.End
	for i := range cores {
		ends = append(ends, queuepolicy.End{After: time.Duration(i) * time.Millisecond, CPU: core})
	}
	return p.Refuse(now, jobs, map[string]*queuepolicy.Capacity{"desk": {Ends: ends}})
}

// serve offers jobs of a class and starts a share of them.
func serve(p *queuepolicy.Policy, class string, width, offered, started int) {
	for i := range offered {
		j := waitingJob("", class, 0, width, 0)
		p.Offered(now, j)
		if i < started {
			p.Started(now, j)
		}
	}
}

var _ = Describe("the order", func() {
	// Guards against work spent that is lost, and against late jobs that take the
	// capacity of those in time.
	It("has started jobs first, then those in time by priority, then late ones", func() {
		started := waitingJob("started", "b", 2, 2, 300*time.Millisecond)
		started.Started = true
		late := waitingJob("late", "a", 0, 2, 300*time.Millisecond)
		Expect(order(queuepolicy.New(), late, waitingJob("2", "b", 2, 2, 0), waitingJob("0", "a", 0, 2, 0), started)).
			To(Equal([]string{"started", "0", "2", "late"}))
	})

	// Guards against a class that is starved by more urgent ones.
	It("has a class below its floor before more urgent classes", func() {
		p := queuepolicy.New()
		serve(p, "urgent", 4, 100, 95)
		serve(p, "other", 4, 100, 50)
		Expect(order(p, waitingJob("urgent", "urgent", 0, 4, 0), waitingJob("other", "other", 2, 4, 0))).
			To(Equal([]string{"other", "urgent"}))
	})

	// Guards against stored jobs that fresh ones pass over without end, and against stored
	// jobs that displace classes below their floor.
	It("has stored jobs beyond their objective by arrival, after classes below their floor", func() {
		p := queuepolicy.New()
		serve(p, "urgent", 4, 100, 95)
		serve(p, "other", 4, 100, 50)
		older, newer := waitingJob("older", "urgent", 2, 8, 2*time.Second), waitingJob("newer", "urgent", 0, 2, time.Second)
		older.Stored, newer.Stored = true, true
		Expect(order(p, waitingJob("fresh", "urgent", 0, 2, 0), newer, older, waitingJob("floor", "other", 2, 4, 0))).
			To(Equal([]string{"floor", "older", "newer", "fresh"}))
	})

	// Guards against a burst of a class that raises its floor at the expense of the others.
	It("serves a class at its usual load before one in a burst, whatever was refused of the burst", func() {
		p := queuepolicy.New()
		serve(p, "usual", 4, 30, 28)
		serve(p, "burst", 4, 300, 90)
		Expect(order(p, waitingJob("burst", "burst", 2, 4, 0), waitingJob("usual", "usual", 0, 4, 0))).
			To(Equal([]string{"usual", "burst"}))
	})

	// Guards against wide jobs that are passed over for narrow ones of their class.
	It("has the wide jobs of a class first that were served less than the class", func() {
		p := queuepolicy.New()
		serve(p, "c", 2, 90, 90)
		serve(p, "c", 8, 15, 5)
		Expect(order(p, waitingJob("narrow", "c", 1, 2, 0), waitingJob("wide", "c", 1, 8, 0))).To(Equal([]string{"wide", "narrow"}))
	})

	// Guards against a class of one width that is taken for wide throughout.
	It("has no wide jobs in a class of one width", func() {
		p := queuepolicy.New()
		serve(p, "c", 8, 100, 10)
		old := waitingJob("old", "c", 1, 8, 60*time.Millisecond)
		Expect(order(p, old, waitingJob("new", "c", 1, 8, 0))).To(Equal([]string{"new", "old"}), "the fresh job is more likely in time")
	})
})

var _ = Describe("refusals", func() {
	// Guards against a job that waits although the capacity goes to others, and against
	// refusals of what still can be served.
	It("are for jobs that the work ahead makes late", func() {
		var jobs []*queuepolicy.Job
		for i := range 20 {
			jobs = append(jobs, waitingJob(fmt.Sprint(i), "c", 0, 4, 0))
		}
		refusals := refuse(queuepolicy.New(), 20, jobs...)
		Expect(refusals).To(HaveEach(HaveField("Reason", queuepolicy.ReasonBacklog)))
		// 4 tasks of 200 ms take 20 cores 40 ms; a job may wait about 112 ms.
		Expect(refusals[0].Index).To(Equal(3))
		Expect(refusals).To(HaveLen(17))
	})

	It("are for late jobs only while others in time wait, or after the latest useful start", func() {
		p := queuepolicy.New()
		late := waitingJob("late", "c", 0, 2, 250*time.Millisecond)
		Expect(refuse(p, 20, late)).To(BeEmpty())
		Expect(refuse(p, 20, waitingJob("new", "c", 0, 2, 0), late)).To(HaveExactElements(And(
			HaveField("Index", 1), HaveField("Reason", queuepolicy.ReasonNoCapacity))))
		late.Age = late.Useful - late.Path
		Expect(refuse(p, 20, late)).To(BeEmpty(), "late but useful")
		Expect(refuse(p, 0, late)).To(BeEmpty(), "other homes have all of the capacity")
		late.Age++
		Expect(refuse(p, 20, late)).To(HaveExactElements(HaveField("Reason", queuepolicy.ReasonNoCapacity)))
	})

	// Guards against late jobs that are refused for a job that no target can run now.
	It("of late jobs need others in time that can start", func() {
		blocked := waitingJob("new", "c", 0, 2, 0)
		blocked.Ready = 0
		Expect(refuse(queuepolicy.New(), 20, blocked, waitingJob("late", "c", 0, 2, 250*time.Millisecond))).To(BeEmpty())
	})

	// Guards against refusals of what has not been offered any capacity, has started, or
	// was accepted for good.
	It("never include jobs that are untried, started or stored", func() {
		untried, started, stored := waitingJob("u", "c", 0, 2, time.Second), waitingJob("s", "c", 0, 2, time.Second), waitingJob("l", "c", 0, 2, time.Second)
		untried.Tried, started.Started, stored.Stored = false, true, true
		Expect(refuse(queuepolicy.New(), 1, waitingJob("new", "c", 0, 2, 0), untried, started, stored)).To(BeEmpty())
	})

	// Guards against refusals by a backlog that cannot be predicted: nothing is known of
	// the capacity, or only some targets may run the job.
	It("by the backlog need a known capacity", func() {
		restricted := waitingJob("r", "c", 0, 2, 0)
		restricted.Restricted = true
		Expect(refuse(queuepolicy.New(), 0, waitingJob("a", "c", 0, 90, 0), waitingJob("b", "c", 0, 2, 0))).To(BeEmpty())
		Expect(refuse(queuepolicy.New(), 1, waitingJob("a", "c", 0, 90, 0), restricted)).To(BeEmpty())
	})
})

// Guards against callers that return at one moment, at once, or only after many seconds.
var _ = DescribeTable("the retry delay is spread over the backlog's time", func(backlog, least, most time.Duration) {
	var delays []time.Duration
	for i := range 1000 {
		delays = append(delays, queuepolicy.RetryAfter(fmt.Sprintf("%016x", i), backlog))
	}
	Expect(slices.Min(delays)).To(And(BeNumerically(">=", least), BeNumerically("<", least+50*time.Millisecond)))
	Expect(slices.Max(delays)).To(And(BeNumerically("<=", most), BeNumerically(">", most-50*time.Millisecond)))
},
	Entry("none", time.Duration(0), time.Second, 1500*time.Millisecond),
	Entry("two seconds", 2*time.Second, time.Second, 3*time.Second),
	Entry("a minute", time.Minute, time.Second, 4*time.Second),
)

// BenchmarkTick ranks and refuses 500 waiting jobs, as a tick does.
func BenchmarkTick(b *testing.B) {
	p := queuepolicy.New()
	var jobs []*queuepolicy.Job
	for i := range 500 {
		j := waitingJob(fmt.Sprint(i), fmt.Sprint("c", i%3), i%3, 2+i%7, time.Duration(i%100)*time.Millisecond)
		j.Tried = false
		p.Offered(now, j)
		jobs = append(jobs, j)
	}
	at := now
	for b.Loop() {
		at += 20 * time.Millisecond
		for _, j := range jobs {
			p.Rank(at, j)
		}
		p.Refuse(at, jobs, nil)
	}
}
