package experiment_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/experiment"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment")
}

// The runs are in virtual time with a fixed seed, so the results are the same in
// every run of the tests.
const (
	goalSeed    = 1
	goalWarmup  = 40 * time.Second
	goalMeasure = 20 * time.Second
)

var _ = Describe("runs of the built-in scenarios", Ordered, func() {
	var goalResults []experiment.GoalResult

	BeforeAll(func() {
		suite := experiment.Suite{
			Workloads: []experiment.Workload{experiment.Resin(), experiment.Lanyards()},
			Scenarios: []string{experiment.Steady, experiment.OverloadLeastUrgent, experiment.OverloadMostUrgent, experiment.ThirdOfTargetsLost},
			Policies:  []dispatch.Policy{dispatch.PolicyHawthorn},
			Seed:      goalSeed, Warmup: goalWarmup, Measure: goalMeasure, Parallel: 4,
		}
		results, err := suite.Run()
		Expect(err).NotTo(HaveOccurred())
		goalResults = experiment.EvaluateGoals(results)
	})

	// Guards against a dispatch policy that misses a performance goal.
	DescribeTable("meet the performance goals", func(workload, goal string, count int) {
		found := 0
		for _, v := range goalResults {
			if v.Workload == workload && strings.Contains(v.Goal, goal) {
				found++
				GinkgoWriter.Println(v)
				Expect(v.Met).To(BeTrue(), "%s (seed %d)", v, goalSeed)
			}
		}
		Expect(found).To(Equal(count), "missing or extra results for the goal")
	},
		Entry("resin: median at steady load", "resin", "median response", 1),
		Entry("resin: p99 at steady load", "resin", "p99 response", 1),
		Entry("resin: wasted messages", "resin", "wasted messages", 4),
		Entry("resin: guarantees", "resin", "violations", 4),
		Entry("resin: throughput of other classes in overload", "resin", "kept throughput", 4),
		Entry("resin: p99 of other classes in overload", "resin", "p99 over no flood", 4),
		Entry("resin: priority order with a third of the targets lost", "resin", "completed part", 2),
		Entry("resin: refusals in time with a third of the targets lost", "resin", "refusal", 2),
		Entry("lanyards: median at steady load", "lanyards", "median response", 1),
		Entry("lanyards: p99 at steady load", "lanyards", "p99 response", 1),
		Entry("lanyards: wasted messages", "lanyards", "wasted messages", 4),
		Entry("lanyards: guarantees", "lanyards", "violations", 4),
		Entry("lanyards: throughput of other classes in overload", "lanyards", "kept throughput", 4),
		Entry("lanyards: p99 of other classes in overload", "lanyards", "p99 over no flood", 4),
		Entry("lanyards: priority order with a third of the targets lost", "lanyards", "completed part", 2),
		Entry("lanyards: refusals in time with a third of the targets lost", "lanyards", "refusal", 2),
	)

	// Guards against results that depend on the order of map iteration.
	It("give the same result for the same seed", func() {
		s, err := experiment.NewScenario(experiment.MixedFaults, experiment.Resin(), dispatch.PolicyHawthorn, goalSeed, 20*time.Second, 30*time.Second)
		Expect(err).NotTo(HaveOccurred())
		first, err := json.Marshal(experiment.Run(&s))
		Expect(err).NotTo(HaveOccurred())
		for range 4 { // a dependence on map order shows in most repetitions, not in all
			again, err := json.Marshal(experiment.Run(&s))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(again)).To(Equal(string(first)))
		}
	})

	// Guards against duplicate starts and jobs with no answer, several answers or a
	// wrong answer not-run.
	DescribeTable("keep the guarantees under faults with all policies", func(policy dispatch.Policy) {
		s, err := experiment.NewScenario(experiment.MixedFaults, experiment.Lanyards(), policy, goalSeed, 10*time.Second, 20*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(experiment.Run(&s).Violations).To(BeEmpty())
	},
		Entry("hawthorn", dispatch.PolicyHawthorn),
		Entry("random", dispatch.PolicyRandom),
		Entry("least loaded of two", dispatch.PolicyTwoChoices),
	)
})
