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
	// queueLines is the capacity of the queue in lines.
	queueLines = 4096
	// flushInterval is the time between writes of queued lines, so that a burst
	// of lines costs few system calls.
	flushInterval = 50 * time.Millisecond
)

// RateLimitedWriter is a writer that never blocks. Lines beyond the limit per
// second, and lines for which the queue is full, are counted and omitted.
type RateLimitedWriter struct {
	out      io.Writer
	text     bytes.Buffer // formatted lines, owned by Run
	format   io.Writer    // formats into text
	queue    *ring.Ring[[]byte]
	limit    int64        // lines per second
	second   atomic.Int64 // Unix time of the last line
	received atomic.Int64 // lines in this second
	omitted  atomic.Int64 // lines since the last flush
}

// NewRateLimitedWriter returns a writer for at most the given number of lines
// per second. Run has to be called for lines to be written.
func NewRateLimitedWriter(out io.Writer, linesPerSecond int) *RateLimitedWriter {
	b := &RateLimitedWriter{out: out, queue: ring.New[[]byte](queueLines), limit: int64(linesPerSecond)}
	b.format = keyValue(&b.text)
	return b
}

// Logger returns a logger that writes through b.
func (b *RateLimitedWriter) Logger(level zerolog.Level) zerolog.Logger { return newLogger(b, level) }

// Write queues one line. It reports success for omitted lines as well.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	if second := time.Now().Unix(); b.second.Swap(second) != second {
		b.received.Store(0)
	}
	if b.received.Add(1) > b.limit {
		b.omitted.Add(1)
		return len(line), nil
	}
	if err := b.queue.Push(append([]byte(nil), line...)); err != nil {
		b.omitted.Add(1)
	}
	return len(line), nil
}

// Run writes lines until stop is closed, and then those still queued.
func (b *RateLimitedWriter) Run(stop <-chan struct{}) error {
	for {
		select {
		case <-b.queue.Ready():
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
	for _, line := range b.queue.PopAll(nil) {
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
