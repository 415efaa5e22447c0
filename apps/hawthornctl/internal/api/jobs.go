package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

// answerMargin is how long after a job's deadline its answer is waited for.
const answerMargin = 2 * time.Second

// SubmitJob sends a job. A lost answer leads to a resubmission of the unchanged
// body to the next address; the job's owner answers it from its record.
func (c *Client) SubmitJob(ctx context.Context, job *structs.Job) (structs.Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return structs.Answer{}, errors.Trace(err)
	}
	timeout := max(time.Until(job.Deadline()), 0) + answerMargin
	return c.jobCall(ctx, &call{method: http.MethodPost, path: operatorapi.PathJobs, body: body}, job.ID, timeout)
}

// QueryJob asks for the answer of a job.
func (c *Client) QueryJob(ctx context.Context, id structs.JobID, home string) (structs.Answer, error) {
	return c.jobCall(ctx, jobByID(http.MethodGet, id, home), id, c.timeout)
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, id structs.JobID, home string) (structs.Answer, error) {
	return c.jobCall(ctx, jobByID(http.MethodDelete, id, home), id, c.timeout)
}

func jobByID(method string, id structs.JobID, home string) *call {
	return &call{
		method: method,
		path:   strings.Replace(operatorapi.PathJob, "{id}", id.String(), 1),
		query:  url.Values{operatorapi.QueryDataCentre: {home}},
	}
}

func (c *Client) jobCall(ctx context.Context, request *call, id structs.JobID, timeout time.Duration) (structs.Answer, error) {
	var answer structs.Answer
	request.decode = decodeAnswer(&answer, id)
	err := c.first(ctx, request, timeout)
	return answer, err
}

// noJobID is the ID in the answer to a body that the instance could not read.
const noJobID = "00000000-0000-0000-0000-000000000000"

// decodeAnswer accepts only an answer to the job that was asked about, or a
// refusal of the body as such. Any other answer is discarded and counts as lost.
func decodeAnswer(answer *structs.Answer, id structs.JobID) func(int, []byte) error {
	return func(status int, body []byte) error {
		var decoded struct {
			structs.Answer
			JobID string `json:"job_id"`
		}
		if err := json.Unmarshal(body, &decoded); err != nil || decoded.Outcome == "" {
			return unexplained(status)
		}
		refused := status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge
		if decoded.JobID != id.String() && (!refused || decoded.JobID != noJobID) {
			return &NoAnswerError{Err: fmt.Errorf("the answer belongs to job %s", decoded.JobID)}
		}
		*answer = decoded.Answer
		answer.JobID = id
		return nil
	}
}
