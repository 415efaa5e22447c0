package deployment_test

import (
	"context"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/deployment"
)

// evacuationOrders evacuates random data centres and revokes the orders.
type evacuationOrders struct {
	d         *deployment.Deployment
	random    *rand.Rand
	evacuated string // data centre of the last order that may be in force
}

// run evacuates one data centre after the other until the context ends, each for
// longer than the bound.
func (e *evacuationOrders) run(ctx context.Context) {
	wait := func(shortest, spread int) bool {
		select {
		case <-time.After(time.Duration(shortest+e.random.IntN(spread)) * time.Millisecond):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for wait(100, 1500) {
		e.evacuated = []string{"dc0", "dc1"}[e.random.IntN(2)]
		begin := time.Now()
		if e.d.Evacuate(ctx, e.evacuated, true) != nil {
			return
		}
		GinkgoWriter.Printf("evacuation of %s acknowledged after %s\n", e.evacuated, time.Since(begin))
		if !wait(int(deployment.EvacuationBound.Milliseconds())+500, 3000) || e.d.Evacuate(ctx, e.evacuated, false) != nil {
			return
		}
	}
}

// revoke revokes the last order, so that all targets are in service again.
func (e *evacuationOrders) revoke(ctx context.Context) {
	if e.evacuated != "" {
		Expect(e.d.Evacuate(ctx, e.evacuated, false)).To(Succeed())
	}
}
