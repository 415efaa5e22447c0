package deployment_test

import (
	"context"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

// failedWrites returns the log lines of links that ended because a message could not be
// written. It leaves out links that the other end had closed, as it does when this
// process was not scheduled for a while: an encoding error names itself in its line.
func failedWrites(d *deployment.Deployment) []string {
	var failed []string
	for line := range strings.Lines(d.LogLines(`error="write: `)) {
		if !strings.Contains(line, `error="write: stream closed"`) {
			failed = append(failed, line)
		}
	}
	return failed
}

var _ = Describe("entries of another writer among those of the targets", func() {
	// Guards against coordinators that end, lose their links or lose sound targets
	// after an entry that is nested, out of range or not readable.
	It("are refused, and the sound targets keep serving", specTimeout, func(ctx SpecContext) {
		d := start(ctx, 2, 3, 4)
		caller := &jobCaller{}
		writing, stop := context.WithCancel(ctx)
		var load sync.WaitGroup
		load.Go(func() {
			for i := 0; writing.Err() == nil; i++ {
				caller.submit(ctx, d, d.Gateways[i%2], 1+i%3)
				time.Sleep(4 * submitInterval)
			}
		})
		acknowledged, err := d.SendOddEntries(ctx, d.Targets...)
		stop()
		load.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(acknowledged).To(BeEmpty())
		caller.expectGuarantees(ctx, d)
		Expect(failedWrites(d)).To(BeEmpty(), "a link ends after a message that cannot be encoded")
		for _, sign := range []string{"target=odd-", "reason=restarted", "response from another boot"} {
			Expect(d.LogLines(sign)).To(BeEmpty())
		}
		for i, target := range d.Targets {
			records := len(target.Records())
			Eventually(ctx, func() int {
				caller.submit(ctx, d, d.Gateways[i%2], 4)
				return len(target.Records())
			}).WithTimeout(20*time.Second).WithPolling(4*submitInterval).Should(BeNumerically(">", records), "runs of target %d", i)
		}
		caller.expectGuarantees(ctx, d)
	})
})
