package structs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// JobID is a UUIDv7 chosen by the caller. It carries the time of the job's
// first submission; a resubmission repeats it unchanged.
type JobID uuid.UUID

// ParseJobID reads the canonical text form of a UUIDv7. The error is a
// *RequestError with reason ReasonBadJobID.
func ParseJobID(s string) (JobID, error) {
	id, err := uuid.Parse(s)
	if err != nil || len(s) != canonicalIDLength {
		return JobID{}, BadRequest(ReasonBadJobID, "job_id %q is not a UUID in canonical form", s)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return JobID{}, BadRequest(ReasonBadJobID, "job_id %q is not a version 7 UUID", s)
	}
	return JobID(id), nil
}

// canonicalIDLength is the length of a UUID in hexadecimal with hyphens.
const canonicalIDLength = 36

// NewJobID returns a fresh ID that carries the current time.
func NewJobID() JobID {
	return JobID(uuid.Must(uuid.NewV7()))
}

// JobIDAt returns an ID that carries the given time, with the remaining bits
// taken from low. Experiments and tests use it to get reproducible IDs.
func JobIDAt(t time.Time, low uint64) JobID {
	var id JobID
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = 0x70
	id[8] = 0x80 | byte(low>>56)&0x3f
	for i := range 7 {
		id[9+i] = byte(low >> (48 - 8*i))
	}
	return id
}

// Time returns the submission time that the ID carries, with a resolution of
// one millisecond.
func (id JobID) Time() time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// String returns the canonical text form.
func (id JobID) String() string { return uuid.UUID(id).String() }

// MarshalText writes the canonical text form.
func (id JobID) MarshalText() ([]byte, error) { return uuid.UUID(id).MarshalText() }

// UnmarshalText reads the canonical text form of a UUIDv7.
func (id *JobID) UnmarshalText(text []byte) error {
	parsed, err := ParseJobID(string(text))
	if err != nil {
		return err
	}
	*id = parsed
	return nil
}

// AttemptID names one attempt to run one task of a job.
type AttemptID struct {
	Job    JobID
	Task   int // index of the task in its job, from 0
	Number int // attempt number of the task, from 1
}

// String returns "<job_id>.<task index>.<attempt number>".
func (a AttemptID) String() string {
	return a.Job.String() + "." + strconv.Itoa(a.Task) + "." + strconv.Itoa(a.Number)
}

// ParseAttemptID reads the form that String writes.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return AttemptID{}, fmt.Errorf("attempt ID %q does not have three parts", s)
	}
	job, err := ParseJobID(parts[0])
	if err != nil {
		return AttemptID{}, err
	}
	task, err := strconv.Atoi(parts[1])
	if err != nil || task < 0 || task >= MaxTasks {
		return AttemptID{}, fmt.Errorf("attempt ID %q has a bad task index", s)
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil || number < 1 {
		return AttemptID{}, fmt.Errorf("attempt ID %q has a bad attempt number", s)
	}
	return AttemptID{Job: job, Task: task, Number: number}, nil
}
