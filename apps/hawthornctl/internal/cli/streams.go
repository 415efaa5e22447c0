package cli

import "io"

// Streams are the program's standard streams.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}
