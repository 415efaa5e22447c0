package cli

import (
	"strconv"

	"hawthornshore.example/structs"
)

// printAnswer prints the answer of a job. Its error has the exit code of the
// outcome.
func printAnswer(e *environment, answer *structs.Answer) error {
	if err := writeAnswer(e, answer); err != nil {
		return err
	}
	if code := outcomeCode(answer.Outcome); code != ExitOK {
		return withCode(code, "job %s: %s, reason %s: %s", answer.JobID, answer.Outcome, orDash(string(answer.Reason)), orDash(answer.Message))
	}
	return nil
}

func writeAnswer(e *environment, answer *structs.Answer) error {
	if e.print.json {
		return e.print.object(answer)
	}
	err := e.print.line("job_id=%s outcome=%s reason=%s results=%d", answer.JobID, answer.Outcome, orDash(string(answer.Reason)), len(answer.Results))
	if err != nil || len(answer.Results) == 0 {
		return err
	}
	var rows [][]string
	for _, result := range answer.Results {
		rows = append(rows, []string{strconv.Itoa(result.Task), result.Target, strconv.FormatInt(result.RunMS, 10), string(result.Output)})
	}
	return e.print.table([]string{"TASK", "TARGET", "RUN-MS", "OUTPUT"}, rows)
}
