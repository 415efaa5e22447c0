package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"hawthornshore.example/claims"
	"hawthornshore.example/ingress"
	"hawthornshore.example/structs"
)

// DecodeJob decodes and validates the body of a submission. The error is a
// *structs.RequestError, or ingress.ErrOverloaded if the body was not read. Validation depends on the body only, so that every
// instance rejects a body for the same reason.
func DecodeJob(body io.Reader) (structs.Job, claims.Digest, error) {
	var job structs.Job
	data, err := io.ReadAll(body)
	if err != nil {
		return job, 0, readError(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return job, 0, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return job, 0, structs.BadRequest(structs.ReasonMalformed, "the body has data after the JSON object")
	}
	if err := checkJob(&job); err != nil {
		return job, 0, err
	}
	digest, err := digestOf(&job)
	return job, digest, err
}

func readError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.Is(err, ingress.ErrOverloaded) {
		return err
	}
	if errors.As(err, &tooLarge) {
		return structs.BadRequest(structs.ReasonBodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return structs.BadRequest(structs.ReasonMalformed, "the body could not be read: %v", err)
}

func decodeError(err error) error {
	var requestErr *structs.RequestError
	if errors.As(err, &requestErr) {
		return requestErr
	}
	return structs.BadRequest(structs.ReasonMalformed, "the body is not a valid job: %v", err)
}

// digestOf hashes the job's canonical encoding, so that a resubmission with
// different white space or key order has the same digest.
func digestOf(job *structs.Job) (claims.Digest, error) {
	canonical, err := json.Marshal(job)
	if err != nil {
		return 0, structs.BadRequest(structs.ReasonMalformed, "the job cannot be encoded: %v", err)
	}
	return claims.Digest(xxhash.Sum64(canonical)), nil
}

func checkJob(job *structs.Job) error {
	if job.ID == (structs.JobID{}) {
		return structs.BadRequest(structs.ReasonBadJobID, "job_id is missing")
	}
	if n := len(job.Tasks); n < 1 || n > structs.MaxTasks {
		return structs.BadRequest(structs.ReasonBadTaskCount, "a job has 1 to %d tasks, got %d", structs.MaxTasks, n)
	}
	for _, field := range []struct{ name, value string }{
		{"data_centre", job.DataCentre}, {"tenant", job.Tenant}, {"class", job.Class},
	} {
		if field.value == "" || len(field.value) > structs.MaxNameLength {
			return structs.BadRequest(structs.ReasonBadField, "%s must have 1 to %d bytes", field.name, structs.MaxNameLength)
		}
	}
	if job.DeadlineUnixMS <= 0 {
		return structs.BadRequest(structs.ReasonBadField, "deadline_unix_ms must be a time in milliseconds since the Unix epoch")
	}
	return checkTasks(job.Tasks)
}

func checkTasks(tasks []structs.Task) error {
	for i, task := range tasks {
		if task.DeclaredMS < 0 || task.DeclaredCores < 0 || task.DeclaredMB < 0 {
			return structs.BadRequest(structs.ReasonBadField, "task %d: declared sizes and run time must not be negative", i)
		}
	}
	return nil
}
