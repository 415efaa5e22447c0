package cli

import (
	"strconv"

	"hawthornshore.example/apps/hawthornctl/internal/api"
	"hawthornshore.example/operatorapi"
)

type deploymentEvacuationsCommand struct{}

// Help implements kong.HelpProvider.
func (c *deploymentEvacuationsCommand) Help() string {
	return `Give the metrics addresses of coordinators on the users' platform with --address. A coordinator with "false" under CONFIRMED cannot read the log at present; its list is the last that it knows.`
}

// Run lists the evacuated data centres as each addressed coordinator knows them.
func (c *deploymentEvacuationsCommand) Run(e *environment) error {
	replies := e.client.Evacuations(e.ctx)
	values, err := collect(e, replies)
	if e.print.json {
		return firstError(e.print.object(values), err)
	}
	var rows [][]string
	for _, reply := range replies {
		if reply.Err == nil {
			rows = append(rows, evacuationRows(&reply)...)
		}
	}
	return firstError(e.print.table([]string{"COORDINATOR", "CONFIRMED", "DATA-CENTRE", "REVISION", "SINCE"}, rows), err)
}

func evacuationRows(reply *api.Reply[operatorapi.Evacuations]) [][]string {
	confirmed := strconv.FormatBool(reply.Value.Confirmed)
	if len(reply.Value.Evacuations) == 0 {
		return [][]string{{reply.Address, confirmed, "", "", ""}}
	}
	var rows [][]string
	for _, evacuation := range reply.Value.Evacuations {
		rows = append(rows, []string{
			reply.Address, confirmed, evacuation.DataCentre, strconv.FormatUint(evacuation.Revision, 10), formatTime(evacuation.SinceUnixMS),
		})
	}
	return rows
}
