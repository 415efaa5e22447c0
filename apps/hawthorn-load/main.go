// Command hawthorn-load generates load and checks what becomes of it.
package main

import (
	"github.com/alecthomas/kong"
)

// arguments is the command line.
type arguments struct {
	Demo demoCommand `cmd:"" help:"Submit jobs through running entry instances and check the answers against the targets' start records."`
}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Description("Load and experiments for hawthornshore."))
	ctx.FatalIfErrorf(ctx.Run())
}
