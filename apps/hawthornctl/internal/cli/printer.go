package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// printer writes the results of commands as JSON or as text that shell tools can
// process.
type printer struct {
	out    io.Writer
	json   bool
	header bool
}

// object writes a result as JSON.
func (p *printer) object(value any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Annotate(encoder.Encode(value), "write output")
}

// table writes rows in aligned columns, with a header unless it is disabled. An
// empty cell is written as "-", so that every row has all columns.
func (p *printer) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	if p.header {
		fmt.Fprintln(w, strings.Join(header, "\t"))
	}
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = orDash(cell)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return errors.Annotate(w.Flush(), "write output")
}

// line writes one formatted line.
func (p *printer) line(format string, args ...any) error {
	_, err := fmt.Fprintf(p.out, format+"\n", args...)
	return errors.Annotate(err, "write output")
}

func orDash(cell string) string {
	if cell == "" {
		return "-"
	}
	return cell
}

// formatTime formats a time in milliseconds since the Unix epoch in UTC.
func formatTime(unixMS int64) string {
	if unixMS == 0 {
		return ""
	}
	return time.UnixMilli(unixMS).UTC().Format("2006-01-02T15:04:05.000Z")
}
