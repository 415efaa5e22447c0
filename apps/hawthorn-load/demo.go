package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/experiment/demo"
)

// demoCommand submits the demo's jobs and checks the start records.
type demoCommand struct {
	Entries []string      `required:"" help:"Entry instances as DATA_CENTRE=HOST:PORT."`
	Records []string      `required:"" type:"existingfile" help:"Start record files of the targets."`
	Classes []string      `required:"" help:"Classes of the jobs."`
	Tenants []string      `required:"" help:"Tenants of the jobs."`
	Jobs    int           `default:"100" help:"Number of jobs."`
	Seed    uint64        `default:"1" help:"Seed of the job sizes."`
	Timeout time.Duration `default:"35s" help:"Time limit of the demo."`
}

// Run is called by kong.
func (c *demoCommand) Run() error {
	dataCentres, err := parseEntries(c.Entries)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	report, err := demo.Run(ctx, demo.Options{
		DataCentres: dataCentres,
		Classes:     c.Classes,
		Tenants:     c.Tenants,
		Jobs:        c.Jobs,
		Seed:        c.Seed,
		Records:     c.Records,
		Out:         os.Stdout,
	})
	fmt.Println(report)
	return errors.Annotate(err, "demo")
}

// parseEntries groups the entry instances by data centre.
func parseEntries(entries []string) ([]demo.DataCentre, error) {
	var dataCentres []demo.DataCentre
	for _, entry := range entries {
		name, address, ok := strings.Cut(entry, "=")
		if !ok {
			return nil, errors.Errorf("entry %q is not DATA_CENTRE=HOST:PORT", entry)
		}
		if len(dataCentres) == 0 || dataCentres[len(dataCentres)-1].Name != name {
			dataCentres = append(dataCentres, demo.DataCentre{Name: name})
		}
		last := &dataCentres[len(dataCentres)-1]
		last.Entries = append(last.Entries, address)
	}
	return dataCentres, nil
}
