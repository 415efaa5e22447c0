package placement_test

import (
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// measureViews runs 4 s of load with some seeds and returns the counts and the number
// of refused jobs.
func measureViews(part, first float64, earlier bool, seeds uint64) (sum *simViews, refused int) {
	sum = &simViews{}
	for seed := range seeds {
		s := newViewSimulation(seed+1, earlier)
		end := s.now + 4*time.Second
		s.viewLoad(part, first, end)
		s.runUnchecked(end)
		s.check()
		ExpectWithOffset(1, s.violations).To(BeEmpty())
		sum.add(s.views)
		refused += s.refused
	}
	return sum, refused
}

var _ = Describe("placements on targets of other coordinators", func() {
	// Guards against homes that send tasks for the same free capacity at the same time:
	// each rejection delays a job by the way to the owner and back.
	DescribeTable("are seldom rejected for lack of capacity under",
		func(part, first, limit float64) {
			sum, _ := measureViews(part, first, false, 1)
			Expect(sum.rejected()).To(BeNumerically("<", limit), "%v", sum)
		},
		Entry("an even load of 90%", 0.9, 0.0, 0.5),
		Entry("an even load of 95%", 0.95, 0.0, 0.5),
		Entry("a load of 95% of which one coordinator gets most", 0.95, 0.7, 0.5),
		Entry("a load of 95% that comes to one coordinator", 0.95, 1.0, 0.05),
	)

	// Guards against fewer rejections at the cost of messages between data centres.
	It("take no more messages than with updates of the earlier version", func() {
		earlier, _ := measureViews(0.95, 0, true, 1)
		sum, _ := measureViews(0.95, 0, false, 1)
		Expect(sum.messages()).To(BeNumerically("<=", earlier.messages()))
	})

	if os.Getenv("PLACEMENT_VIEWS") != "" {
		It("are measured", printViews)
	}
})

// printViews prints the table of docs/design/free-capacity.md.
func printViews() {
	for _, first := range []float64{0, 0.7, 1} {
		for _, part := range []float64{0.8, 0.9, 0.95} {
			for _, earlier := range []bool{true, false} {
				sum, refused := measureViews(part, first, earlier, 6)
				fmt.Printf("first %v, load %v, earlier updates %v: %v, %d refused\n", first, part, earlier, sum, refused)
			}
		}
	}
}
