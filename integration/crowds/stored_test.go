package crowds_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

const (
	storedFlood   = 1500 // jobs
	storedClients = 24
	storedTasks   = 150 // of each job, the most that callers use
)

// largeStoredJob returns a request for a stored job without an estimate of its run time.
func largeStoredJob(number int) []byte {
	body := fmt.Sprintf(`{"spec":"work","steps":[{"count":%d,"cpu":14000,"mem-mb":64}]}`, storedTasks)
	return append(head(fmt.Sprintf("/work/%016x", 2_000_000+number), fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...)
}

// floodStored hands in large stored jobs and returns the number of accepted ones.
func floodStored(ctx context.Context, address string) int {
	var mu sync.Mutex
	accepted := 0
	var group sync.WaitGroup
	for client := range storedClients {
		group.Go(func() {
			for number := client; number < storedFlood && ctx.Err() == nil; number += storedClients {
				if status, err := roundTrip(ctx, address, largeStoredJob(number)); err == nil && status == http.StatusOK {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return accepted
}

var _ = Describe("a crowd of clients", func() {
	expectWithinMemory := func(p *deployment.Process) {
		GinkgoHelper()
		Expect(p.Running()).To(BeTrue(), "the process has ended")
		Expect(peakResidentKB(p.PID())).To(BeNumerically("<=", residentShare*memoryMB*1024), p.Machine.IP)
	}

	// Guards against accepted jobs without a bound on their number, which take the memory of
	// each coordinator, and again after each of its starts.
	It("hands in stored jobs without an estimate", specTimeout, func(ctx SpecContext) {
		d := start(ctx)
		accepted := floodStored(ctx, net.JoinHostPort(d.Gateways[0].Machine.IP, roles[0].port))
		AddReportEntry("figures", fmt.Sprintf("%d of %d jobs accepted", accepted, storedFlood))
		for _, p := range d.Coordinators {
			expectWithinMemory(p)
		}
		p := d.Coordinators[1]
		Expect(p.Kill()).To(Succeed())
		Expect(p.Start()).To(Succeed())
		Eventually(ctx, func() (uint64, error) { return d.DocumentVersion(ctx, p) }).WithTimeout(answerTimeout).Should(BeNumerically(">", 0))
		Consistently(ctx, p.Running).WithTimeout(3 * time.Second).Should(BeTrue())
		expectWithinMemory(p)
	})
})
