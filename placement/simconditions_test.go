package placement_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/emulator"
	"hawthornshore.example/placement"
)

// submittedStep returns the step of a task as it was submitted; the task's name is
// ID.0.STEP.INDEX.
func (s *simulation) submittedStep(task string) *placement.Step {
	step, err := strconv.Atoi(strings.Split(task, ".")[2])
	if err != nil {
		panic(err)
	}
	return &s.jobs[placement.JobID(task)].Steps[step]
}

// conditions returns what a task's step demands of a target.
func (s *simulation) conditions(task string) emulator.Conditions {
	step := s.submittedStep(task)
	return emulator.Conditions{Label: step.Requirement, PerTarget: step.PerTarget}
}

// conditionedSteps returns up to three random steps, one after the other, most of them
// with a limit for each target, some with a label or a rack.
func (s *simulation) conditionedSteps() []placement.Step {
	steps := make([]placement.Step, 1+s.random.IntN(3))
	for i := range steps {
		step := placement.Step{
			Count: 1 + s.random.IntN(12), Expected: time.Second, PerTarget: s.random.IntN(4),
			Need: placement.Resources{CPUMillis: int64(1000 + s.random.IntN(11000)), MemoryMB: 16},
		}
		switch s.random.IntN(4) {
		case 0:
			step.Requirement = fmt.Sprintf("r%d", s.random.IntN(3))
		case 1:
			step.Rack = fmt.Sprintf("r%d", s.random.IntN(3))
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		steps[i] = step
	}
	return steps
}

// burst multiplies the load for a while.
func burst(s *simulation) {
	s.repeat(3, 3500*time.Millisecond, func() { s.load(40, s.now+1500*time.Millisecond) })
}

var _ = Describe("steps with a limit for each target, a label or a rack", func() {
	// Each guards against a target that runs more tasks of a step than the step allows, or
	// one without its label: a home does not see the runs of earlier homes there, nor those
	// that are being stopped, and learns late where its own tasks have started.
	DescribeTable("start only where the step allows it", func(injectFaults func(*simulation)) {
		first, count := seedRange()
		for seed := first; seed < first+count; seed++ {
			s := newSimulation(seed, 3, 12)
			s.storedShare, s.steps = 0.6, s.conditionedSteps
			runSchedule(s, 12, all(burst, injectFaults))
			expectInvariants(s, seed)
			Expect(s.completed+s.log.completed).To(BeNumerically(">", 100), "seed %d", seed)
		}
	},
		Entry("in bursts", func(*simulation) {}),
		Entry("while targets are handed over", handTargetsOver),
		Entry("while homes move", func(s *simulation) {
			s.repeat(3, 3*time.Second, func() { s.isolate(s.randomCoordinator(), time.Second+s.randomTime(3*time.Second)) })
		}),
		Entry("while coordinators are lost", loseCoordinators),
		Entry("while links are cut in one direction", cutLinksOneWay),
		Entry("while callers return", callersReturn(10*time.Millisecond)),
		Entry("while responses of targets are held up", holdResponses),
		Entry("while targets crash and return", crashTargets(0)),
		Entry("while runs fail", func(s *simulation) { s.failureRate = 0.1 }),
		Entry("while all of this happens", all(handTargetsOver, cutLinksOneWay, loseCoordinators, holdResponses, crashTargets(0))),
	)
})
