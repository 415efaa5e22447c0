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

// RateLimitedWriter writes the lines of loggers and never blocks. Lines beyond a
// logger's limit, and lines for which the queue is full, are counted and omitted.
type RateLimitedWriter struct {
	out     io.Writer
	text    bytes.Buffer // formatted lines, owned by Run
	format  io.Writer    // formats into text
	queue   *ring.Ring[[]byte]
	omitted atomic.Int64 // lines since the last flush
}

// NewRateLimitedWriter returns a writer. Run has to be called for lines to be written.
func NewRateLimitedWriter(out io.Writer) *RateLimitedWriter {
	w := &RateLimitedWriter{out: out, queue: ring.New[[]byte](queueLines)}
	w.format = keyValue(&w.text)
	return w
}

// Logger returns a logger that writes at most the given number of lines per second. The
// limits of several loggers do not affect each other.
func (w *RateLimitedWriter) Logger(level zerolog.Level, linesPerSecond int) zerolog.Logger {
	return newLogger(&limitedLines{writer: w, limit: int64(linesPerSecond)}, level)
}

// limitedLines passes the lines of one logger to a RateLimitedWriter.
type limitedLines struct {
	writer   *RateLimitedWriter
	limit    int64        // lines per second
	second   atomic.Int64 // Unix time of the last line
	received atomic.Int64 // lines in this second
}

// Write queues one line. It reports success for omitted lines as well.
func (l *limitedLines) Write(line []byte) (int, error) {
	if second := time.Now().Unix(); l.second.Swap(second) != second {
		l.received.Store(0)
	}
	if l.received.Add(1) > l.limit {
		l.writer.omitted.Add(1)
		return len(line), nil
	}
	if err := l.writer.queue.Push(append([]byte(nil), line...)); err != nil {
		l.writer.omitted.Add(1)
	}
	return len(line), nil
}

// Run writes lines until stop is closed, and then those still queued.
func (w *RateLimitedWriter) Run(stop <-chan struct{}) error {
	for {
		select {
		case <-w.queue.Ready():
		case <-stop:
			return w.flush()
		}
		if err := w.flush(); err != nil {
			return err
		}
		select {
		case <-time.After(flushInterval):
		case <-stop:
		}
	}
}

func (w *RateLimitedWriter) flush() error {
	w.text.Reset()
	for _, line := range w.queue.PopAll(nil) {
		if _, err := w.format.Write(line); err != nil {
			fmt.Fprintf(&w.text, "level=error event=log_line_unreadable error=%q\n", err)
		}
	}
	if omitted := w.omitted.Swap(0); omitted > 0 {
		fmt.Fprintf(&w.text, "level=warn event=log_lines_omitted lines=%d\n", omitted)
	}
	if w.text.Len() == 0 {
		return nil
	}
	_, err := w.out.Write(w.text.Bytes())
	return err
}
