package main

import (
	"fmt"

	"hawthornshore.example/platform"
)

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run checks a settings file.
func (c *checkCommand) Run() error {
	settings, err := platform.ReadSettings(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("machine=%s data_centre=%s seeds=%v: settings are valid\n", settings.Machine, settings.DataCentre, settings.Seeds)
	return nil
}
