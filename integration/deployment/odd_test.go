package deployment_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

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
		for _, sign := range []string{
			`error="write: `, // the end of a link after a message that cannot be encoded
			"target=odd-", "reason=restarted", "response from another boot",
		} {
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
