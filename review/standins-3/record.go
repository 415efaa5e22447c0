package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes the events of a case to a file, each with its time since the start.
type record struct {
	mu     sync.Mutex
	begin  time.Time
	file   *os.File
	writer *bufio.Writer
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.begin) }

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f ", r.now().Seconds())
	fmt.Fprintf(r.writer, format+"\n", values...)
}

// violate records that a rule was broken.
func (r *record) violate(rule, format string, values ...any) {
	text := rule + ": " + fmt.Sprintf(format, values...)
	r.add("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush() // a record that cannot be written shows in its file
	_ = r.file.Close()
}
