package cli

import (
	"hawthornshore.example/operatorapi"
)

type configDiffCommand struct {
	Dir      string `arg:"" help:"Folder of INI files."`
	ExitCode bool   `help:"Exit with 7 if there are differences."`
}

// Help implements kong.HelpProvider.
func (c *configDiffCommand) Help() string {
	return `Prints one row per value that "config apply" would change, and the version to pass as --expect-version.

Example:
  hawthornctl config diff examples/resin/system --exit-code || echo "not in force yet"`
}

// diffReport is the result of a comparison.
type diffReport struct {
	Version uint64               `json:"version"` // version in force
	Changes []operatorapi.Change `json:"changes"`
}

// Run compares the folder with the configuration in force.
func (c *configDiffCommand) Run(e *environment) error {
	wanted, _, err := loadSystem(c.Dir)
	if err != nil {
		return err
	}
	current, err := e.client.Config(e.ctx)
	if err != nil {
		return err
	}
	report := diffReport{Version: current.Config.Version, Changes: operatorapi.Diff(current.Config, wanted)}
	if err := c.print(e, report); err != nil {
		return err
	}
	if c.ExitCode && len(report.Changes) > 0 {
		return withCode(ExitDiffers, "%d values differ from version %d", len(report.Changes), report.Version)
	}
	return nil
}

func (c *configDiffCommand) print(e *environment, report diffReport) error {
	if e.print.json {
		return e.print.object(report)
	}
	if err := e.print.line("version=%d changes=%d", report.Version, len(report.Changes)); err != nil {
		return err
	}
	if len(report.Changes) == 0 {
		return nil
	}
	return e.print.table([]string{"SECTION", "KEY", "IN-FORCE", "FOLDER"}, changeRows(report.Changes))
}

func changeRows(changes []operatorapi.Change) [][]string {
	rows := make([][]string, len(changes))
	for i, change := range changes {
		rows[i] = []string{change.Section, change.Key, change.Before, change.After}
	}
	return rows
}
