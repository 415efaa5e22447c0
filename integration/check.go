package integration

import (
	"encoding/json"
	"fmt"

	"hawthornshore.example/emulator"
	"hawthornshore.example/structs"
)

// Exchange is a job with one answer that a caller received for it. A job that
// was submitted more than once has several exchanges.
type Exchange struct {
	Job    structs.Job
	Answer structs.Answer
}

// taskKey identifies one task of one job.
type taskKey struct {
	job  string
	task int
}

// Violations compares answers with start records and returns a line for each
// violated guarantee. The records must be final for answers with outcome not-run.
func Violations(starts []emulator.StartLine, exchanges []Exchange) []string {
	var found []string
	byTask := make(map[taskKey]int)
	byJob := make(map[string]int)
	for _, line := range starts {
		byTask[taskKey{line.JobID, line.Task}]++
		byJob[line.JobID]++
	}
	for key, count := range byTask {
		if count > 1 {
			found = append(found, fmt.Sprintf("G1: task %d of job %s was started %d times", key.task, key.job, count))
		}
	}
	outcomes := make(map[structs.JobID]structs.Outcome)
	for _, e := range exchanges {
		found = append(found, answerViolations(&e, byTask, byJob)...)
		found = append(found, outcomeConflicts(outcomes, &e)...)
	}
	return found
}

// answerViolations checks one answer on its own.
func answerViolations(e *Exchange, byTask map[taskKey]int, byJob map[string]int) []string {
	var found []string
	report := func(format string, args ...any) {
		found = append(found, fmt.Sprintf(format, args...)+" job "+e.Job.ID.String())
	}
	if e.Answer.JobID != e.Job.ID {
		report("G3: the answer has the ID of job %s:", e.Answer.JobID)
		return found
	}
	switch e.Answer.Outcome {
	case structs.OutcomeComplete:
		for task := range e.Job.Tasks {
			if byTask[taskKey{e.Job.ID.String(), task}] == 0 {
				report("G2: complete, but task %d has not started:", task)
			}
		}
		found = append(found, resultViolations(e)...)
	case structs.OutcomeNotRun:
		if n := byJob[e.Job.ID.String()]; n > 0 {
			report("G4: not-run, but %d tasks have started:", n)
		}
	case structs.OutcomeFailed, structs.OutcomeUnknown:
	default:
		report("G2: outcome %q:", e.Answer.Outcome)
	}
	if e.Answer.Outcome != structs.OutcomeComplete && len(e.Answer.Results) > 0 {
		report("G2: %s with %d results:", e.Answer.Outcome, len(e.Answer.Results))
	}
	return found
}

// resultViolations checks that a complete answer has each task's own result.
func resultViolations(e *Exchange) []string {
	var found []string
	if len(e.Answer.Results) != len(e.Job.Tasks) {
		return []string{fmt.Sprintf("G2: %d results for %d tasks of job %s", len(e.Answer.Results), len(e.Job.Tasks), e.Job.ID)}
	}
	for i, result := range e.Answer.Results {
		var output struct {
			Echo string `json:"echo"`
		}
		err := json.Unmarshal(result.Output, &output)
		if err != nil || result.Task != i || output.Echo != echo(e.Job.ID, i) {
			found = append(found, fmt.Sprintf("G3: result %d of job %s is that of task %d %q", i, e.Job.ID, result.Task, output.Echo))
		}
	}
	return found
}

// outcomeConflicts reports two different outcomes of one job. The outcome unknown
// conflicts with none.
func outcomeConflicts(outcomes map[structs.JobID]structs.Outcome, e *Exchange) []string {
	outcome := e.Answer.Outcome
	if outcome == structs.OutcomeUnknown {
		return nil
	}
	before, ok := outcomes[e.Job.ID]
	outcomes[e.Job.ID] = outcome
	if ok && before != outcome {
		return []string{fmt.Sprintf("G2: job %s was answered %s and %s", e.Job.ID, before, outcome)}
	}
	return nil
}
