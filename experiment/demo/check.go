package demo

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"hawthornshore.example/emulator"
	"hawthornshore.example/structs"
)

// taskKey identifies one task of one job.
type taskKey struct {
	job  string
	task int
}

// check counts the starts on the targets and compares them with the answers.
func (r *run) check() (Report, error) {
	starts, err := readStarts(r.options.Records)
	if err != nil {
		return Report{}, err
	}
	report := Report{Jobs: len(r.answers)}
	byJob := make(map[string]int)
	for key, count := range starts {
		report.TaskStarts += count
		report.DuplicateStarts += count - 1
		byJob[key.job]++
	}
	var failures []error
	for id, answer := range r.answers {
		report.count(answer.Outcome)
		if err := checkAnswer(&answer, byJob[id.String()]); err != nil {
			failures = append(failures, err)
		}
	}
	if report.DuplicateStarts > 0 {
		failures = append(failures, fmt.Errorf("%d tasks were started more than once", report.DuplicateStarts))
	}
	if report.TaskStarts == 0 {
		failures = append(failures, errors.New("the start records are empty"))
	}
	return report, errors.Join(failures...)
}

func (r *Report) count(outcome structs.Outcome) {
	switch outcome {
	case structs.OutcomeComplete:
		r.Complete++
	case structs.OutcomeFailed:
		r.Failed++
	case structs.OutcomeNotRun:
		r.NotRun++
	case structs.OutcomeUnknown:
		r.Unknown++
	}
}

// checkAnswer returns an error if the start records contradict an answer.
func checkAnswer(answer *structs.Answer, started int) error {
	switch {
	case answer.Outcome == structs.OutcomeNotRun && started > 0:
		return fmt.Errorf("job %s: answered not-run, but %d tasks were started", answer.JobID, started)
	case answer.Outcome == structs.OutcomeComplete && started != len(answer.Results):
		return fmt.Errorf("job %s: %d results, but %d tasks were started", answer.JobID, len(answer.Results), started)
	}
	return nil
}

// readStarts counts the starts of each task in the given files.
func readStarts(paths []string) (map[taskKey]int, error) {
	starts := make(map[taskKey]int)
	for _, path := range paths {
		if err := readStartFile(path, starts); err != nil {
			return nil, &structs.StepError{Step: "read start record", Peer: path, Err: err}
		}
	}
	return starts, nil
}

func readStartFile(path string, starts map[taskKey]int) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line emulator.StartLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return err
		}
		starts[taskKey{line.JobID, line.Task}]++
	}
	return lines.Err()
}
