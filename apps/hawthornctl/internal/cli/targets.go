package cli

import (
	"cmp"
	"slices"
	"strconv"

	"hawthornshore.example/operatorapi"
)

type targetsCommand struct{}

// Help is shown by --help.
func (c *targetsCommand) Help() string {
	return `Asks every address given and merges the lists; of a target that several instances know, the newest announcement is shown. An instance knows the targets whose slots it manages, so give the addresses of all instances of a data centre.`
}

// Run lists the targets.
func (c *targetsCommand) Run(e *environment) error {
	replies, err := collect(e, e.client.Targets(e.ctx))
	targets := mergeTargets(replies)
	if e.print.json {
		return firstError(e.print.object(targets), err)
	}
	var rows [][]string
	for i := range targets {
		rows = append(rows, targetRow(&targets[i]))
	}
	header := []string{"TARGET", "STATE", "SLOTS", "FREE", "RUNNING", "WORKER", "RACK", "ADDRESS", "MANAGER", "HEARD-MS", "EJECTED"}
	return firstError(e.print.table(header, rows), err)
}

// mergeTargets keeps the entry with the newest announcement of each target.
func mergeTargets(replies []operatorapi.Targets) []operatorapi.Target {
	newest := map[string]operatorapi.Target{}
	for _, reply := range replies {
		for _, target := range reply.Targets {
			if known, ok := newest[target.TargetID]; !ok || target.HeardMS < known.HeardMS {
				newest[target.TargetID] = target
			}
		}
	}
	merged := make([]operatorapi.Target, 0, len(newest))
	for _, target := range newest {
		merged = append(merged, target)
	}
	slices.SortFunc(merged, func(a, b operatorapi.Target) int { return cmp.Compare(a.TargetID, b.TargetID) })
	return merged
}

func targetRow(t *operatorapi.Target) []string {
	return []string{
		t.TargetID, string(t.State), strconv.Itoa(t.Slots), strconv.Itoa(t.FreeSlots), strconv.Itoa(t.Running),
		t.Worker, t.Rack, t.Address, t.Manager, strconv.FormatInt(t.HeardMS, 10), t.Ejected,
	}
}
