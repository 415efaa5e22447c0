// Command hawthornctl is the command-line client for operators and for
// submitting jobs.
package main

import (
	"os"

	"hawthornshore.example/apps/hawthornctl/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
