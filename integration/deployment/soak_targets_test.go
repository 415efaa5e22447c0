package deployment_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
	"hawthornshore.example/placement"
)

// targetFaults injects random faults of the targets themselves, beside those of a
// soak. It has a random source of its own, so that a seed keeps its other faults.
type targetFaults struct {
	d      *deployment.Deployment
	random *rand.Rand
	stored *storedJobs
}

// inject injects one random fault and returns a function that undoes it.
func (f *targetFaults) inject(ctx context.Context) (description string, undo func()) {
	i := f.random.IntN(len(f.d.Targets))
	target := f.d.Targets[i]
	seconds := func(least, most int) time.Duration {
		return time.Duration(least*1000+f.random.IntN((most-least)*1000)) * time.Millisecond
	}
	none := func() {}
	switch f.random.IntN(6) {
	case 0:
		delay, step := seconds(0, 4), -seconds(0, 20)
		target.Crash(delay, step)
		return fmt.Sprintf("target %d crashes for %s, its next start differs by %s", i, delay, step), none
	case 1:
		target.DelayOrders(true)
		return fmt.Sprintf("orders to target %d are late", i), func() { target.DelayOrders(false) }
	case 2, 3:
		capacity := deployment.TargetCapacity
		capacity.CPUMillis = capacity.CPUMillis * int64(1+f.random.IntN(3)) / 4
		target.SetCapacity(capacity)
		return fmt.Sprintf("target %d has a capacity of %+v", i, capacity), func() { target.SetCapacity(deployment.TargetCapacity) }
	case 4:
		acknowledged, err := f.d.SendOddEntries(ctx, target)
		Expect(acknowledged).To(BeEmpty())
		return fmt.Sprintf("odd entries beside target %d: %v", i, err), none // a coordinator may be down
	default:
		linger, delay := seconds(1, 5), seconds(0, 3)
		target.Leave(ctx, linger, delay)
		return fmt.Sprintf("target %d leaves after %s for %s", i, linger, delay), none
	}
}

// run submits a task that crashes targets and injects faults until the context ends.
func (f *targetFaults) run(ctx context.Context) {
	f.stored.submitDeadly(ctx, f.d, 0)
	for ctx.Err() == nil {
		description, undo := f.inject(ctx)
		GinkgoWriter.Printf("fault: %s\n", description)
		select {
		case <-time.After(time.Duration(200+f.random.IntN(2000)) * time.Millisecond):
		case <-ctx.Done():
		}
		undo()
	}
}

var _ = Describe("a task that crashes the targets that start it", func() {
	// Guards against a task that crashes target after target, against a job that is shown as
	// failed though no run has ended as failed, and against other jobs that are not served
	// meanwhile.
	It("is started a few times, and its job is not shown as failed", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 6)
		jobs := &storedJobs{}
		jobs.submitDeadly(ctx, d, 0)
		for i := range 40 {
			jobs.submit(ctx, d, i, 1)
			time.Sleep(2 * submitInterval)
		}
		starts := func() int {
			started, _ := d.RunCounts()
			return started[jobID(firstStoredID+1)]
		}
		// The delay after the third crash that counts is 8 s; a crash may not count.
		Eventually(ctx, func() bool {
			before := starts()
			time.Sleep(3 * time.Second)
			return before >= 3 && starts() == before
		}).WithTimeout(60 * time.Second).Should(BeTrue())
		jobs.expectGuarantees(ctx, d)
	})
})

var _ = Describe("a target that crashes and returns", func() {
	// Guards against a job that never ends: its only target returns under its ID with a
	// lower start, and with its clock and its counts anew.
	It("gets the tasks again that it has lost", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 1, 3, 1)
		target := d.Targets[0]
		Expect(d.SubmitStored(ctx, d.Gateways[0], jobID(firstStoredID), 20).Status).To(Equal(200))
		Eventually(ctx, target.Runs).WithTimeout(20 * time.Second).ShouldNot(BeEmpty())
		target.Crash(time.Second, -time.Minute)
		Expect(target.Runs()).To(BeEmpty())
		Expect(target.Records()).To(ContainElement(HaveField("Kind", placement.EndOther)))
		Eventually(ctx, func() string { return d.JobState(ctx, d.Gateways[0], jobID(firstStoredID)) }).WithTimeout(40 * time.Second).
			Should(Equal("completed"))
	})
})
