package cli

import (
	"path/filepath"

	"github.com/juju/errors"

	"hawthornshore.example/settings"
	"hawthornshore.example/structs"
)

type configCheckCommand struct {
	Dir  string `arg:"" help:"Folder of INI files."`
	Kind string `enum:"auto,system,instance" default:"auto" help:"Content of the folder: the system configuration, the settings of an instance, or auto to detect it by the sections (${enum})."`
}

// Help implements kong.HelpProvider.
func (c *configCheckCommand) Help() string {
	return `Reads the folder as an instance does and prints every problem with file, line, key and allowed values. No instance is contacted, so the command suits commit checks. Exit code 3 if there are problems.

Example:
  hawthornctl config check examples/resin/system`
}

// checkReport is the result of a check.
type checkReport struct {
	OK       bool              `json:"ok"`
	Kind     string            `json:"kind"`
	Files    []string          `json:"files"`
	Ignored  []string          `json:"ignored,omitempty"`
	Problems settings.Problems `json:"problems,omitempty"`
}

// Run checks the folder.
func (c *configCheckCommand) Run(e *environment) error {
	report := checkReport{Kind: c.kind()}
	report.Files, report.Ignored, _ = settings.Files(c.Dir) // reported by the load below
	var loadError error
	if report.Kind == "instance" {
		_, loadError = settings.LoadDaemon(c.Dir)
	} else {
		_, _, loadError = settings.LoadSystem(c.Dir)
	}
	report.OK = loadError == nil
	errors.As(loadError, &report.Problems)
	if e.print.json {
		if err := e.print.object(report); err != nil {
			return err
		}
		if !report.OK {
			return withCode(ExitInvalid, "%d problems in %s", len(report.Problems), c.Dir)
		}
		return nil
	}
	if loadError != nil {
		return c.printProblems(e, report)
	}
	for _, name := range report.Ignored {
		e.warn("ignored: %s", filepath.Join(c.Dir, name))
	}
	return e.print.line("ok kind=%s files=%d", report.Kind, len(report.Files))
}

// printProblems prints one problem per line, in a format that editors can parse.
func (c *configCheckCommand) printProblems(e *environment, report checkReport) error {
	for _, problem := range report.Problems {
		if err := e.print.line("%s", problem); err != nil {
			return err
		}
	}
	return withCode(ExitInvalid, "%d problems in %s, checked as %s", len(report.Problems), c.Dir, report.Kind)
}

func (c *configCheckCommand) kind() string {
	if c.Kind != "auto" {
		return c.Kind
	}
	if settings.DetectSchema(c.Dir) == settings.Schemas()[0] {
		return "instance"
	}
	return "system"
}

// loadSystem loads a system configuration to compare or apply.
func loadSystem(dir string) (structs.SystemConfig, settings.Origins, error) {
	config, origins, err := settings.LoadSystem(dir)
	return config, origins, errors.Annotatef(err, "the folder %s is invalid", dir)
}
