// Package cli is the command line of hawthornctl: the commands, their output
// and their exit codes.
package cli
