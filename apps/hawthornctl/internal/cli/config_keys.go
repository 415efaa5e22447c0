package cli

import (
	"github.com/juju/errors"

	"hawthornshore.example/settings"
)

type configKeysCommand struct {
	Markdown bool `help:"Write the reference page docs/configuration.md."`
}

// Run lists all keys.
func (c *configKeysCommand) Run(e *environment) error {
	if c.Markdown {
		return errors.Annotate(settings.WriteReference(e.streams.Out), "write output")
	}
	if e.print.json {
		return e.print.object(settings.Schemas())
	}
	var rows [][]string
	for _, document := range settings.Schemas() {
		for i := range document.Sections {
			section := &document.Sections[i]
			for j := range section.Keys {
				key := &section.Keys[j]
				rows = append(rows, []string{section.Title(), key.Name, key.Default, key.Allowed()})
			}
		}
	}
	return e.print.table([]string{"SECTION", "KEY", "DEFAULT", "ALLOWED"}, rows)
}
