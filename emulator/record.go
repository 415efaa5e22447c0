package emulator

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/juju/errors"
)

// StartLine is one line of a start record file.
type StartLine struct {
	AttemptID   string `json:"attempt_id"`
	JobID       string `json:"job_id"`
	Task        int    `json:"task"`
	TargetID    string `json:"target_id"`
	Incarnation string `json:"incarnation"`
	UnixMS      int64  `json:"unix_ms"`
}

// startRecord appends lines to a file. Each line is one write, so it survives a
// kill of the process. Writes are not synced and may be lost if the machine fails.
type startRecord struct {
	mu   sync.Mutex
	file *os.File // nil: recording is disabled
}

func openStartRecord(path string) (*startRecord, error) {
	if path == "" {
		return &startRecord{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Annotate(err, "open start record")
	}
	return &startRecord{file: file}, nil
}

func (r *startRecord) append(line StartLine) error {
	if r.file == nil {
		return nil
	}
	data, err := json.Marshal(line)
	if err != nil {
		return errors.Trace(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err = r.file.Write(append(data, '\n'))
	return errors.Annotate(err, "write start record")
}

func (r *startRecord) close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// ReadStartRecord reads a start record file. A missing file has no starts.
func ReadStartRecord(path string) ([]StartLine, error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer file.Close()
	var lines []StartLine
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var line StartLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, errors.Annotatef(err, "line %d of %s", len(lines)+1, path)
		}
		lines = append(lines, line)
	}
	return lines, errors.Trace(scanner.Err())
}
