package cli

import (
	"fmt"
	"strconv"

	"hawthornshore.example/operatorapi"
)

// maxHistoryEntries bounds the flag --limit.
const maxHistoryEntries = 10_000

type configHistoryCommand struct {
	Limit int `default:"20" help:"Maximum number of changes to list (1 to 10000)."`
}

// Validate is called by kong after parsing.
func (c *configHistoryCommand) Validate() error {
	if c.Limit < 1 || c.Limit > maxHistoryEntries {
		return fmt.Errorf("--limit must be 1 to %d", maxHistoryEntries)
	}
	return nil
}

// Help implements kong.HelpProvider.
func (c *configHistoryCommand) Help() string {
	return `Prints one row per changed value; the rows of one change have the same version and operation ID.

Example:
  hawthornctl config history --limit 100 | grep max_queue`
}

// Run lists applied changes.
func (c *configHistoryCommand) Run(e *environment) error {
	history, err := e.client.History(e.ctx, c.Limit)
	if err != nil {
		return err
	}
	if e.print.json {
		return e.print.object(history)
	}
	var rows [][]string
	for _, entry := range history.Revisions {
		rows = append(rows, historyRows(entry)...)
	}
	return e.print.table([]string{"VERSION", "APPLIED", "OPERATOR", "OPERATION-ID", "SECTION", "KEY", "BEFORE", "AFTER"}, rows)
}

func historyRows(entry operatorapi.HistoryEntry) [][]string {
	start := []string{strconv.FormatUint(entry.Version, 10), formatTime(entry.AppliedUnixMS), entry.Operator, entry.OperationID}
	if len(entry.Changes) == 0 {
		return [][]string{append(start, "", "", "", "")}
	}
	var rows [][]string
	for _, row := range changeRows(entry.Changes) {
		rows = append(rows, append(start[:len(start):len(start)], row...))
	}
	return rows
}
