package deployment_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
	"hawthornshore.example/integration/faultproxy"
)

// soakOptions returns the first seed, the number of seeds and the duration of each
// run. CI does one short run; SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS select others.
// A value that is not a number selects the default.
func soakOptions() (first, count uint64, duration time.Duration) {
	uintFromEnv := func(name string, fallback uint64) uint64 {
		value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
		if err != nil {
			return fallback
		}
		return value
	}
	return uintFromEnv("SOAK_SEED", 1), uintFromEnv("SOAK_SEEDS", 1), time.Duration(uintFromEnv("SOAK_SECONDS", 8)) * time.Second
}

// soak injects random faults into a deployment while callers use it.
type soak struct {
	d      *deployment.Deployment
	random *rand.Rand
	caller *jobCaller
	stored *storedJobs
}

// injectFault injects one random fault and returns a function that undoes it.
// SIGHUP has no lasting effect, so it is sent in place of an undo, after the load.
func (s *soak) injectFault() (description string, undo func() error) {
	process := append(s.d.Coordinators, s.d.Gateways...)[s.random.IntN(len(s.d.Coordinators)+len(s.d.Gateways))]
	target := s.d.Targets[s.random.IntN(len(s.d.Targets))]
	switch s.random.IntN(8) {
	case 0:
		Expect(process.Kill()).To(Succeed())
		return "kill " + process.Machine.IP, process.Start
	case 1:
		Expect(process.Stop(deployment.GracePeriod)).To(Succeed())
		return "terminate " + process.Machine.IP, process.Start
	case 2:
		Expect(process.Signal(syscall.SIGSTOP)).To(Succeed())
		return "pause " + process.Machine.IP, func() error { return process.Signal(syscall.SIGCONT) }
	case 3:
		target.Silence(true)
		return "silence a target", func() error { target.Silence(false); return nil }
	case 4, 5, 6:
		return s.injectLinkFault(s.d.TargetProxies[s.random.IntN(len(s.d.TargetProxies))])
	default:
		return "SIGHUP to " + process.Machine.IP, func() error { return process.Signal(syscall.SIGHUP) }
	}
}

// injectLinkFault delays, drops or cuts the existing connections to a target, or
// the new ones as well, in one or both directions.
func (s *soak) injectLinkFault(link *faultproxy.Proxy) (description string, undo func() error) {
	fault := []faultproxy.Fault{
		{Kind: faultproxy.Delay, Delay: time.Duration(20+s.random.IntN(400)) * time.Millisecond},
		{Kind: faultproxy.Drop},
		{Kind: faultproxy.Cut},
	}[s.random.IntN(3)]
	scope := []faultproxy.Scope{faultproxy.ExistingOnly, faultproxy.ExistingAndNew}[s.random.IntN(2)]
	switch direction := s.random.IntN(3); direction {
	case 2:
		link.SetBoth(fault, scope)
	default:
		link.Set(faultproxy.Direction(direction), fault, scope)
	}
	return fmt.Sprintf("link fault %+v, scope %d", fault, scope), func() error {
		link.SetBoth(faultproxy.Fault{Kind: faultproxy.Forward}, faultproxy.ExistingAndNew)
		return nil
	}
}

// run injects faults one after the other under load, for the given time.
func (s *soak) run(ctx context.Context, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		description, undo := s.injectFault()
		GinkgoWriter.Printf("fault: %s\n", description)
		for range 10 + s.random.IntN(60) {
			gateway := s.random.IntN(len(s.d.Gateways))
			if s.random.IntN(4) == 0 {
				s.stored.submit(ctx, s.d, gateway, 1+s.random.IntN(4))
			} else {
				s.caller.submit(ctx, s.d, s.d.Gateways[gateway], 1+s.random.IntN(4))
			}
			time.Sleep(time.Duration(5+s.random.IntN(40)) * time.Millisecond)
		}
		if s.random.IntN(3) == 0 {
			_ = s.d.ReplaceDocument(ctx, s.d.Coordinators[s.random.IntN(len(s.d.Coordinators))]) // checked at the end
		}
		Expect(undo()).To(Succeed())
	}
}

var _ = Describe("soak", func() {
	first, count, duration := soakOptions()
	for seed := first; seed < first+count; seed++ {
		// Guards against lost accepted jobs, tasks that run twice and lost documents
		// under random sequences of signals to processes, silent targets, faults of the
		// connections to targets, and faults of the targets themselves; against starts in a
		// data centre that operators have evacuated meanwhile; and against gateways that obey
		// an older document than the acknowledged one.
		It(fmt.Sprintf("loses no accepted job and runs no task twice, seed %d", seed), SpecTimeout(duration+120*time.Second), func(ctx SpecContext) {
			s := &soak{d: start(ctx, 2, 3+int(seed%2), 6), random: rand.New(rand.NewPCG(seed, 7)), caller: &jobCaller{}, stored: &storedJobs{}}
			faults := &targetFaults{d: s.d, random: rand.New(rand.NewPCG(seed, 8)), stored: s.stored}
			faultsContext, stopFaults := context.WithCancel(ctx)
			var running sync.WaitGroup
			running.Go(func() {
				defer GinkgoRecover()
				faults.run(faultsContext)
			})
			evacuations := &evacuationOrders{d: s.d, random: rand.New(rand.NewPCG(seed, 9))}
			running.Go(func() {
				defer GinkgoRecover()
				evacuations.run(faultsContext)
			})
			s.run(ctx, duration)
			stopFaults()
			running.Wait()
			evacuations.revoke(ctx)
			s.stored.expectGuarantees(ctx, s.d)
			s.caller.expectGuarantees(ctx, s.d)
			Expect(s.d.WaitServing(ctx, jobID(999_997))).To(Succeed())
			for _, coordinator := range s.d.Coordinators {
				Eventually(ctx, func() (uint64, error) { return s.d.DocumentVersion(ctx, coordinator) }).
					WithTimeout(20*time.Second).Should(BeNumerically(">=", s.d.AcknowledgedVersion()), "document at "+coordinator.Machine.IP)
			}
			for _, gateway := range s.d.Gateways {
				Eventually(ctx, func() (uint64, error) { return s.d.ObeyedVersion(ctx, gateway) }).
					WithTimeout(20*time.Second).Should(BeNumerically(">=", s.d.AcknowledgedVersion()), "obeyed by "+gateway.Machine.IP)
			}
		})
	}
})
