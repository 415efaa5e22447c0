package settings

import (
	"cmp"
	"slices"
	"strings"
)

// Problems is the error for an invalid folder. It holds at least one problem,
// ordered by file and line.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// asError returns the sorted problems as an error, or nil if there are none.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return p
}
