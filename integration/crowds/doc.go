// Package crowds tests real processes with many clients at once that send
// requests without an end.
package crowds
