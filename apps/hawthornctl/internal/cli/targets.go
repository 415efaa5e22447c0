package cli

import (
	"cmp"
	"slices"
	"strconv"

	"hawthornshore.example/operatorapi"
)

type targetsCommand struct{}

// Help implements kong.HelpProvider.
func (c *targetsCommand) Help() string {
	return `Queries every given address and merges the lists; if several instances list a target, a row with no reason under UNUSABLE is preferred. An instance lists the targets whose slots it manages, so give the addresses of all instances of a data centre.`
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
	header := []string{"TARGET", "STATE", "SLOTS", "FREE", "RUNNING", "WORKER", "RACK", "ADDRESS", "MANAGER", "UNUSABLE"}
	return firstError(e.print.table(header, rows), err)
}

// mergeTargets keeps one entry per target, preferably one that is usable: after a
// change of manager, the former manager may still list the target, as unusable
// because it no longer gets announcements.
func mergeTargets(replies []operatorapi.Targets) []operatorapi.Target {
	byID := map[string]operatorapi.Target{}
	for _, reply := range replies {
		for _, target := range reply.Targets {
			if kept, ok := byID[target.TargetID]; !ok || kept.UnusableReason != "" {
				byID[target.TargetID] = target
			}
		}
	}
	merged := make([]operatorapi.Target, 0, len(byID))
	for _, target := range byID {
		merged = append(merged, target)
	}
	slices.SortFunc(merged, func(a, b operatorapi.Target) int { return cmp.Compare(a.TargetID, b.TargetID) })
	return merged
}

func targetRow(t *operatorapi.Target) []string {
	return []string{
		t.TargetID, string(t.State), strconv.Itoa(t.Slots), strconv.Itoa(t.FreeSlots), strconv.Itoa(t.Running),
		t.Worker, t.Rack, t.Address, t.Manager, t.UnusableReason,
	}
}
