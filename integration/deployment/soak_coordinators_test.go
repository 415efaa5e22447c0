package deployment_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

// coordinatorFaults splits, adds and restarts coordinators, and moves the queues between
// two services.
type coordinatorFaults struct {
	d      *deployment.Deployment
	random *rand.Rand
}

// inject causes one random fault or change. A split lasts until a later one ends it.
func (f *coordinatorFaults) inject(ctx context.Context) (description string) {
	coordinators := f.d.Coordinators
	process := coordinators[f.random.IntN(len(coordinators))]
	switch f.random.IntN(8) {
	case 0:
		return f.addDuringSplit()
	case 1:
		f.d.Split(process, coordinators[f.random.IntN(len(coordinators))])
		return "split " + process.Machine.IP + " and another one from the rest"
	case 2, 3:
		f.d.Split()
		return "no split"
	case 4, 5:
		return fmt.Sprintf("queues move: %v", f.d.MoveQueues(ctx, process)) // the end of the run sends the last document again
	case 6:
		Expect(process.Kill()).To(Succeed())
		Expect(process.Start()).To(Succeed())
		return "kill " + process.Machine.IP
	default:
		Expect(process.Stop(deployment.GracePeriod)).To(Succeed())
		Expect(process.Start()).To(Succeed())
		return "terminate " + process.Machine.IP
	}
}

// addDuringSplit adds a coordinator, while there are spares, and splits it and the leader
// from the rest.
func (f *coordinatorFaults) addDuringSplit() string {
	leader := f.d.Leader()
	added, err := f.d.AddCoordinator()
	if err != nil || leader == nil {
		f.d.Split()
		return "no split"
	}
	time.Sleep(time.Duration(50+f.random.IntN(900)) * time.Millisecond)
	f.d.Split(leader, added)
	return "add " + added.Machine.IP + ", split with " + leader.Machine.IP
}

var _ = Describe("soak of coordinators", func() {
	first, count, duration := soakOptions()
	for seed := first; seed < first+count; seed++ {
		// Guards against coordinators that stay outside of the log, stored jobs that wait for
		// good at one or for a service that their queue no longer has, and tasks that run
		// twice, under random sequences of splits, additions, restarts and documents.
		It(fmt.Sprintf("loses no stored job and leaves no coordinator outside of the log, seed %d", seed), SpecTimeout(duration+180*time.Second), func(ctx SpecContext) {
			d := startWith(ctx, deployment.Options{Gateways: 2, Coordinators: 3 + int(seed%2), Spares: 2, Targets: 3, OtherTargets: 3, ProxyLinks: true})
			faults := &coordinatorFaults{d: d, random: rand.New(rand.NewPCG(seed, 11))}
			stored, caller := &storedJobs{}, &jobCaller{}
			for end := time.Now().Add(duration); time.Now().Before(end); {
				GinkgoWriter.Printf("%s: %s\n", time.Now().Format(time.TimeOnly), faults.inject(ctx))
				for range 10 + faults.random.IntN(50) {
					gateway := faults.random.IntN(len(d.Gateways))
					stored.submit(ctx, d, gateway, 1+faults.random.IntN(4))
					if faults.random.IntN(3) == 0 {
						caller.submit(ctx, d, d.Gateways[gateway], 1+faults.random.IntN(2))
					}
					time.Sleep(time.Duration(5+faults.random.IntN(30)) * time.Millisecond)
				}
			}
			d.Split()
			Eventually(ctx, func() error { return d.ReplaceDocument(ctx, d.Coordinators[0]) }).WithTimeout(recoveryTime).Should(Succeed())
			expectAllFollow(ctx, d)
			stored.expectGuarantees(ctx, d)
			caller.expectGuarantees(ctx, d)
			expectAllFollow(ctx, d)
			Expect(stored.accepted).NotTo(BeEmpty())
		})
	}
})
