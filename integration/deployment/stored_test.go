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
	firstStored  = 500_000
	storeRetry   = 200 * time.Millisecond
	storeRetries = 60
)

// storedJobs hands in jobs that have to be stored, again and again until they are
// accepted.
type storedJobs struct {
	group    sync.WaitGroup
	mu       sync.Mutex
	accepted []string
	next     int
}

func (s *storedJobs) submit(ctx context.Context, d *deployment.Deployment, first, tasks int) {
	s.mu.Lock()
	s.next++
	id := jobID(firstStored + s.next)
	s.mu.Unlock()
	s.group.Go(func() {
		for attempt := range storeRetries {
			answer := d.SubmitStored(ctx, d.Gateways[(first+attempt)%len(d.Gateways)], id, tasks)
			if answer.Status == 200 {
				s.mu.Lock()
				s.accepted = append(s.accepted, id)
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

// expectPromises checks that each accepted job is completed, and stays so.
func (s *storedJobs) expectPromises(ctx context.Context, d *deployment.Deployment) {
	GinkgoHelper()
	s.group.Wait()
	for i, id := range s.accepted {
		Eventually(ctx, func() string { return d.JobState(ctx, d.Gateways[i%len(d.Gateways)], id) }).
			WithTimeout(40*time.Second).Should(Equal("completed"), func() string { return "job " + id + "\n" + d.LogLines(id) })
	}
	Expect(d.Violations()).To(BeEmpty())
}

var _ = Describe("stored jobs in a deployment of separate processes", func() {
	// Guards against accepted jobs that are lost, or whose tasks run again after
	// they are done, when their home dies, and when all coordinators do.
	It("are completed although coordinators are killed", limit, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 6)
		jobs, load := &storedJobs{}, &callers{}
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
			load.submit(ctx, d, d.Gateways[i%2], 1+i%2)
			time.Sleep(pace)
		}
		jobs.expectPromises(ctx, d)
		load.expectPromises(ctx, d)
		Expect(len(jobs.accepted)).To(BeNumerically(">", 60))
	})

	// Guards against a home that wakes up and goes on although its jobs have
	// another home by then.
	It("are completed although a coordinator is suspended", limit, func(ctx SpecContext) {
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
			time.Sleep(2 * pace)
		}
		jobs.expectPromises(ctx, d)
	})

	// Guards against a job that goes on after its cancelling was acknowledged, and
	// against an answer that forgets it.
	It("stop when they are cancelled", limit, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 1)
		id := jobID(firstStored)
		Eventually(ctx, func() int { return d.SubmitStored(ctx, d.Gateways[0], id, 60).Status }).WithTimeout(20 * time.Second).Should(Equal(200))
		Eventually(ctx, d.Idle).WithTimeout(20 * time.Second).Should(BeFalse())
		Expect(d.Cancel(ctx, d.Gateways[0], id)).To(BeTrue())
		Eventually(ctx, d.Idle).WithTimeout(20 * time.Second).Should(BeTrue())
		started, _ := d.RunCounts()
		Consistently(ctx, func() int { again, _ := d.RunCounts(); return again[id] }).WithTimeout(time.Second).Should(Equal(started[id]))
		Expect(d.JobState(ctx, d.Gateways[0], id)).To(Equal("cancelled"))
		Expect(d.JobState(ctx, d.Gateways[0], jobID(firstStored+1))).To(BeEmpty(), "nobody has submitted this job")
	})
})
