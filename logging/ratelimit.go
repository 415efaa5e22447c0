package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hawthornshore.example/ring"
)

const (
	// ringLines is the number of lines that may wait for the writer.
	ringLines = 4096
	// flushInterval is how often waiting lines are written together, so that a
	// burst of lines costs few system calls.
	flushInterval = 50 * time.Millisecond
)

// RateLimitedWriter is a writer that never blocks. Lines beyond the budget of a second,
// and lines that find the ring full, are counted and left out.
type RateLimitedWriter struct {
	out     io.Writer
	text    bytes.Buffer // formatted lines, owned by Run
	format  io.Writer    // formats into text
	lines   *ring.Ring[[]byte]
	budget  int64
	second  atomic.Int64
	used    atomic.Int64
	omitted atomic.Int64
}

// NewRateLimitedWriter returns a writer for at most the given number of lines per second.
// Run has to be called for lines to be written.
func NewRateLimitedWriter(out io.Writer, linesPerSecond int) *RateLimitedWriter {
	b := &RateLimitedWriter{out: out, lines: ring.New[[]byte](ringLines), budget: int64(linesPerSecond)}
	b.format = keyValue(&b.text)
	return b
}

// Logger returns a logger that writes through b.
func (b *RateLimitedWriter) Logger(level zerolog.Level) zerolog.Logger { return newLogger(b, level) }

// Write takes one line. It reports success for lines that are left out.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	if second := time.Now().Unix(); b.second.Swap(second) != second {
		b.used.Store(0)
	}
	if b.used.Add(1) > b.budget {
		b.omitted.Add(1)
		return len(line), nil
	}
	if err := b.lines.Push(append([]byte(nil), line...)); err != nil {
		b.omitted.Add(1)
	}
	return len(line), nil
}

// Run writes lines until stop is closed, and then those that wait.
func (b *RateLimitedWriter) Run(stop <-chan struct{}) error {
	for {
		select {
		case <-b.lines.Ready():
		case <-stop:
			return b.flush()
		}
		if err := b.flush(); err != nil {
			return err
		}
		select {
		case <-time.After(flushInterval):
		case <-stop:
		}
	}
}

func (b *RateLimitedWriter) flush() error {
	b.text.Reset()
	for _, line := range b.lines.PopAll(nil) {
		if _, err := b.format.Write(line); err != nil {
			fmt.Fprintf(&b.text, "level=error event=log_line_unreadable error=%q\n", err)
		}
	}
	if omitted := b.omitted.Swap(0); omitted > 0 {
		fmt.Fprintf(&b.text, "level=warn event=log_lines_omitted lines=%d\n", omitted)
	}
	if b.text.Len() == 0 {
		return nil
	}
	_, err := b.out.Write(b.text.Bytes())
	return err
}
