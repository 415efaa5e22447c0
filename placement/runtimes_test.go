package placement_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

var _ = Describe("learned run times", func() {
	near := func(d time.Duration, share float64) OmegaMatcher {
		return BeNumerically("~", d, time.Duration(share*float64(d)))
	}

	// Guards against decisions by run times that one or two runs gave.
	It("are the estimate until enough runs of the queue have ended", func() {
		var times placement.RunTimes
		times.Add("q", 100*time.Millisecond, time.Second)
		expected, learned := times.Expected("q", 100*time.Millisecond)
		Expect(learned).To(BeFalse())
		Expect(expected).To(Equal(100 * time.Millisecond))
		Expect(times.Quantile("q", 0.9)).To(BeZero())
		Expect(times.Of("q").Samples).To(Equal(1))
		Expect(times.Of("other")).To(Equal(placement.RunTime{Ratio: 1}))
	})

	// Guards against estimates that all callers of a queue get wrong in the same way.
	It("correct a queue whose estimates are three times too short", func() {
		var times placement.RunTimes
		for i := range 60 {
			estimated := time.Duration(50+i) * time.Millisecond
			times.Add("q", estimated, 3*estimated)
		}
		expected, learned := times.Expected("q", 70*time.Millisecond)
		Expect(learned).To(BeTrue())
		Expect(expected).To(near(210*time.Millisecond, 0.01))
		Expect(times.Of("q").Ratio).To(BeNumerically("~", 3, 0.01))
		Expect(times.Quantile("q", 0.5)).To(near(240*time.Millisecond, 0.05))
	})

	// Guards against rough estimates that are taken at their word, in a queue whose
	// tasks all take the same time.
	It("hold against estimates that predict nothing", func() {
		var times placement.RunTimes
		random := rand.New(rand.NewPCG(1, 1))
		for range 2000 {
			times.Add("q", spread(random, 760*time.Millisecond, 0.4), spread(random, 760*time.Millisecond, 0.4))
		}
		expected, _ := times.Expected("q", 350*time.Millisecond)
		Expect(expected).To(near(760*time.Millisecond, 0.15))
		Expect(times.Quantile("q", 0.9)).To(near(time.Duration(760*math.Exp(0.4*1.28))*time.Millisecond, 0.2))
	})

	// Guards against a queue whose new kind of task is judged by the earlier kind for good.
	It("follow a queue whose tasks become longer", func() {
		var times placement.RunTimes
		for range 1000 {
			times.Add("q", 100*time.Millisecond, 100*time.Millisecond)
		}
		for range 1000 {
			times.Add("q", 100*time.Millisecond, 250*time.Millisecond)
		}
		expected, _ := times.Expected("q", 100*time.Millisecond)
		Expect(expected).To(near(250*time.Millisecond, 0.05))
		Expect(times.Of("q").Mean).To(near(250*time.Millisecond, 0.05))
	})
})

// spread returns a time with a log-normal spread around a median.
func spread(random *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*random.NormFloat64()))
}
