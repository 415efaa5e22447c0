package cli

import (
	"strconv"
	"time"

	"hawthornshore.example/operatorapi"
)

type statusCommand struct{}

// Help implements kong.HelpProvider.
func (c *statusCommand) Help() string {
	return `Queries every given address and prints a row for each instance that answers. If an address does not answer, the others are still printed and the exit code is 5.

Example:
  hawthornctl -a 127.0.0.1:18080 -a 127.0.0.1:18180 status`
}

// Run shows the state of every addressed instance.
func (c *statusCommand) Run(e *environment) error {
	values, err := collect(e, e.client.Statuses(e.ctx))
	if e.print.json {
		return firstError(e.print.object(values), err)
	}
	var rows [][]string
	for i := range values {
		rows = append(rows, statusRow(&values[i]))
	}
	header := []string{"INSTANCE", "DATA-CENTRE", "STATE", "CONFIG", "VOTER", "LEADER", "TERM", "PARTITIONS", "WAITING", "RUNNING", "REQUESTS", "CLOCK-OFFSET", "STARTED", "REASON"}
	return firstError(e.print.table(header, rows), err)
}

func statusRow(s *operatorapi.Status) []string {
	offset := time.Duration(s.ClockOffsetMS) * time.Millisecond
	return []string{
		s.Instance, s.DataCentre, string(s.State), strconv.FormatUint(s.ConfigVersion, 10),
		strconv.FormatBool(s.Voter), s.Leader, strconv.FormatUint(s.Term, 10),
		strconv.Itoa(s.Partitions), strconv.Itoa(s.WaitingTasks), strconv.Itoa(s.RunningTasks), strconv.Itoa(s.OpenRequests),
		offset.String(), formatTime(s.StartedUnixMS), s.NotReadyReason,
	}
}
