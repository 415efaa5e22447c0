package cli

import (
	"strconv"

	"hawthornshore.example/operatorapi"
)

type membersCommand struct{}

// Help implements kong.HelpProvider.
func (c *membersCommand) Help() string {
	return `Prints the member list of the first instance that answers. The lists differ during a network partition: compare them by giving one address at a time.`
}

// Run lists the members.
func (c *membersCommand) Run(e *environment) error {
	members, err := e.client.Members(e.ctx)
	if err != nil {
		return err
	}
	if e.print.json {
		return e.print.object(members)
	}
	var rows [][]string
	for _, m := range members.Members {
		rows = append(rows, memberRow(&m))
	}
	header := []string{"INSTANCE", "DATA-CENTRE", "STATE", "ROLE", "AGREED", "DRAINING", "CONFIG", "FREE-SLOTS", "HEARD-MS", "LINK"}
	return e.print.table(header, rows)
}

func memberRow(m *operatorapi.Member) []string {
	return []string{
		m.Instance, m.DataCentre, string(m.State), string(m.Role), strconv.FormatBool(m.Agreed), strconv.FormatBool(m.Draining),
		strconv.FormatUint(m.ConfigVersion, 10), strconv.Itoa(m.FreeSlots), strconv.FormatInt(m.HeartbeatAgeMS, 10), m.Link,
	}
}
