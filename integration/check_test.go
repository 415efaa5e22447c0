package integration_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/emulator"
	"hawthornshore.example/integration"
	"hawthornshore.example/structs"
)

// Guards against a check that passes regardless of the start records and answers.
var _ = Describe("Violations", func() {
	id := structs.JobIDAt(time.UnixMilli(1_700_000_000_000), 1)
	other := structs.JobIDAt(time.UnixMilli(1_700_000_000_000), 2)
	job := structs.Job{ID: id, Tasks: make([]structs.Task, 2)}
	start := func(task int) emulator.StartLine {
		return emulator.StartLine{JobID: id.String(), Task: task}
	}
	result := func(task int) structs.TaskResult {
		output := fmt.Sprintf(`{"echo":"%s.%d.1"}`, id, task)
		return structs.TaskResult{Task: task, Output: json.RawMessage(output)}
	}
	answer := func(outcome structs.Outcome, results ...structs.TaskResult) integration.Exchange {
		return integration.Exchange{Job: job, Answer: structs.Answer{JobID: id, Outcome: outcome, Results: results}}
	}
	both := []emulator.StartLine{start(0), start(1)}
	complete := answer(structs.OutcomeComplete, result(0), result(1))
	wrongID := complete
	wrongID.Answer.JobID = other

	DescribeTable("finds", func(want string, starts []emulator.StartLine, exchanges ...integration.Exchange) {
		Expect(integration.Violations(starts, exchanges)).To(ContainElement(HavePrefix(want)))
	},
		Entry("a second start", "G1", append(both, start(1))),
		Entry("a complete job without a start", "G2", both[:1], complete),
		Entry("a missing result", "G2", both, answer(structs.OutcomeComplete, result(0))),
		Entry("a failed job with results", "G2", both, answer(structs.OutcomeFailed, result(0))),
		Entry("two outcomes of one job", "G2", both, complete, answer(structs.OutcomeFailed)),
		Entry("results in the wrong place", "G3", both, answer(structs.OutcomeComplete, result(1), result(0))),
		Entry("the answer of another job", "G3", both, wrongID),
		Entry("a start of a refused job", "G4", both[:1], answer(structs.OutcomeNotRun)),
		Entry("an answer without outcome", "G2", both, answer("")),
	)

	It("finds nothing in consistent start records and answers", func() {
		unknown := answer(structs.OutcomeUnknown)
		Expect(integration.Violations(both, []integration.Exchange{complete, unknown, complete})).To(BeEmpty())
		Expect(integration.Violations(nil, []integration.Exchange{answer(structs.OutcomeNotRun)})).To(BeEmpty())
	})
})
