package deployment_test

import (
	"context"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

const (
	firstStoredID = 500_000
	storeRetry    = 200 * time.Millisecond
	storeRetries  = 60
)

// storedJobs submits jobs that have to be stored, and retries until they are
// accepted.
type storedJobs struct {
	requests sync.WaitGroup
	mu       sync.Mutex
	accepted []storedJob
	next     int
}

type storedJob struct {
	id     string
	deadly bool // its task crashes the targets that start it
}

func (s *storedJobs) submit(ctx context.Context, d *deployment.Deployment, first, tasks int) {
	s.send(ctx, d, first, false, func(gateway *deployment.Process, id string) deployment.Answer {
		return d.SubmitStored(ctx, gateway, id, tasks)
	})
}

// submitDeadly submits a job whose task crashes each target that starts it.
func (s *storedJobs) submitDeadly(ctx context.Context, d *deployment.Deployment, first int) {
	s.send(ctx, d, first, true, func(gateway *deployment.Process, id string) deployment.Answer {
		return d.SubmitDeadly(ctx, gateway, id)
	})
}

func (s *storedJobs) send(ctx context.Context, d *deployment.Deployment, first int, deadly bool, send func(gateway *deployment.Process, id string) deployment.Answer) {
	s.mu.Lock()
	s.next++
	id := jobID(firstStoredID + s.next)
	s.mu.Unlock()
	s.requests.Go(func() {
		for attempt := range storeRetries {
			answer := send(d.Gateways[(first+attempt)%len(d.Gateways)], id)
			if answer.Status == 200 {
				s.mu.Lock()
				s.accepted = append(s.accepted, storedJob{id, deadly})
				s.mu.Unlock()
				return
			}
			select {
			case <-time.After(storeRetry):
			case <-ctx.Done():
				return
			}
		}
	})
}

// mostDeadlyStarts bounds the starts of a task that crashes its targets. The delays
// between its trials allow six in two minutes, and each lost home may hide a crash.
const mostDeadlyStarts = 9

// expectGuarantees checks that each accepted job is completed, and that no target observed
// a violation. A job whose task crashes its targets is not shown as failed, since no run
// has ended as failed; it is started a few times and ends when it is cancelled.
func (s *storedJobs) expectGuarantees(ctx context.Context, d *deployment.Deployment) {
	GinkgoHelper()
	s.requests.Wait()
	for i, job := range s.accepted {
		id, gateway := job.id, d.Gateways[i%len(d.Gateways)]
		state := func() string { return d.JobState(ctx, gateway, id) }
		log := func() string { return "job " + id + "\n" + d.LogLines(id) }
		if !job.deadly {
			Eventually(ctx, state).WithTimeout(40*time.Second).Should(Equal("completed"), log)
			continue
		}
		Eventually(ctx, state).WithTimeout(40*time.Second).Should(BeElementOf("queued", "running"), log)
		started, _ := d.RunCounts()
		Expect(started[id]).To(BeNumerically("<=", mostDeadlyStarts), log)
		Eventually(ctx, func() bool { return d.Cancel(ctx, gateway, id) }).WithTimeout(20*time.Second).Should(BeTrue(), log)
		Eventually(ctx, state).WithTimeout(20*time.Second).Should(Equal("cancelled"), log)
	}
	Expect(d.Violations()).To(BeEmpty())
}

var _ = Describe("stored jobs in a deployment of separate processes", func() {
	// Guards against accepted jobs that are lost, or whose tasks run again after
	// they are done, when their home or all coordinators are killed.
	It("are completed although coordinators are killed", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		jobs, caller := &storedJobs{}, &jobCaller{}
		for i := range 90 {
			switch i {
			case 20:
				Expect(d.Coordinators[1].Kill()).To(Succeed())
			case 35:
				Expect(d.Coordinators[1].Start()).To(Succeed())
			case 60:
				for _, p := range d.Coordinators {
					Expect(p.Kill()).To(Succeed())
				}
				for _, p := range d.Coordinators {
					Expect(p.Start()).To(Succeed())
				}
			}
			jobs.submit(ctx, d, i, 1+i%4)
			caller.submit(ctx, d, d.Gateways[i%2], 1+i%2)
			time.Sleep(submitInterval)
		}
		jobs.expectGuarantees(ctx, d)
		caller.expectGuarantees(ctx, d)
		Expect(len(jobs.accepted)).To(BeNumerically(">", 60))
	})

	// Guards against a home that resumes and continues with jobs that have moved
	// to another home meanwhile.
	It("are completed although a coordinator is paused", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		jobs := &storedJobs{}
		for i := range 120 {
			switch i {
			case 20:
				Expect(d.Coordinators[0].Signal(syscall.SIGSTOP)).To(Succeed())
			case 100:
				Expect(d.Coordinators[0].Signal(syscall.SIGCONT)).To(Succeed())
			}
			jobs.submit(ctx, d, i, 1+i%4)
			time.Sleep(2 * submitInterval)
		}
		jobs.expectGuarantees(ctx, d)
	})

	// Guards against a job that continues to run after its cancellation was
	// acknowledged, and against an answer that does not report the cancellation.
	It("stop when they are cancelled", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 1)
		id := jobID(firstStoredID)
		Eventually(ctx, func() int { return d.SubmitStored(ctx, d.Gateways[0], id, 60).Status }).WithTimeout(20 * time.Second).Should(Equal(200))
		Eventually(ctx, d.Idle).WithTimeout(20 * time.Second).Should(BeFalse())
		Expect(d.Cancel(ctx, d.Gateways[0], id)).To(BeTrue())
		Eventually(ctx, d.Idle).WithTimeout(20 * time.Second).Should(BeTrue())
		started, _ := d.RunCounts()
		Consistently(ctx, func() int { again, _ := d.RunCounts(); return again[id] }).WithTimeout(time.Second).Should(Equal(started[id]))
		Expect(d.JobState(ctx, d.Gateways[0], id)).To(Equal("cancelled"))
		Expect(d.JobState(ctx, d.Gateways[0], jobID(firstStoredID+1))).To(BeEmpty(), "this job was not submitted")
	})

	// Guards against a request that was held up and starts a cancelled job that is not
	// stored, at its home or after all processes that knew of the cancellation are gone.
	It("answer late repeats of cancelled jobs that are not stored as cancelled", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 1)
		id := jobID(firstStoredID)
		answers := make(chan deployment.Answer, 1)
		go func() { answers <- d.Submit(ctx, d.Gateways[0], id, 60) }()
		Eventually(ctx, d.Idle).WithTimeout(20 * time.Second).Should(BeFalse())
		Expect(d.Cancel(ctx, d.Gateways[1], id)).To(BeTrue())
		Eventually(ctx, answers).WithTimeout(20 * time.Second).Should(Receive(HaveField("State", "cancelled")))
		Eventually(ctx, d.Idle).WithTimeout(20 * time.Second).Should(BeTrue())
		before, _ := d.RunCounts()
		Expect(d.Submit(ctx, d.Gateways[1], id, 60).State).To(Equal("cancelled"))
		for _, p := range d.Coordinators {
			Expect(p.Kill()).To(Succeed())
		}
		for _, p := range d.Coordinators {
			Expect(p.Start()).To(Succeed())
		}
		Eventually(ctx, func() string { return d.Submit(ctx, d.Gateways[0], id, 60).State }).WithTimeout(20 * time.Second).
			Should(Equal("cancelled"))
		after, _ := d.RunCounts()
		Expect(after[id]).To(Equal(before[id]))
	})
})
