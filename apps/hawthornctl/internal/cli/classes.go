package cli

import (
	"strconv"

	"hawthornshore.example/operatorapi"
)

type classesCommand struct{}

// Help implements kong.HelpProvider.
func (c *classesCommand) Help() string {
	return `Queries every given address and prints a row per instance and class. During an overload compare WAITING with MAX-QUEUE, and SLOTS (in use) with BASELINE (protected): the overloaded class has a full queue, the others keep their baseline.`
}

// Run shows the load by class.
func (c *classesCommand) Run(e *environment) error {
	replies, err := collect(e, e.client.Classes(e.ctx))
	if e.print.json {
		return firstError(e.print.object(replies), err)
	}
	var rows [][]string
	for _, reply := range replies {
		for i := range reply.Classes {
			rows = append(rows, classRow(reply.Instance, &reply.Classes[i]))
		}
	}
	header := []string{"INSTANCE", "CLASS", "RANK", "BASELINE", "SLOTS", "RUNNING", "WAITING", "MAX-QUEUE", "RUN-P50-MS", "RUN-P99-MS"}
	return firstError(e.print.table(header, rows), err)
}

func classRow(instance string, c *operatorapi.ClassLoad) []string {
	return []string{
		instance, c.Name, strconv.Itoa(c.Rank), formatSlots(c.BaselineSlots), formatSlots(c.AllocatedSlots),
		strconv.Itoa(c.RunningTasks), strconv.Itoa(c.WaitingTasks), strconv.Itoa(c.MaxQueue),
		strconv.FormatInt(c.RunP50MS, 10), strconv.FormatInt(c.RunP99MS, 10),
	}
}

func formatSlots(slots float64) string { return strconv.FormatFloat(slots, 'f', 1, 64) }
