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

// answerMargin is how long SubmitJob waits for an answer after the deadline.
const answerMargin = 2 * time.Second

// SubmitJob submits a job. Without an answer it resubmits the unchanged body to
// the next address; the job's owner answers a duplicate from its record.
func (c *Client) SubmitJob(ctx context.Context, job *structs.Job) (structs.Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return structs.Answer{}, errors.Trace(err)
	}
	timeout := max(time.Until(job.Deadline()), 0) + answerMargin
	return c.jobCall(ctx, &call{method: http.MethodPost, path: operatorapi.PathJobs, body: body}, job.ID, timeout)
}

// QueryJob returns the answer of a job.
func (c *Client) QueryJob(ctx context.Context, id structs.JobID, home string) (structs.Answer, error) {
	return c.jobCall(ctx, jobByID(http.MethodGet, id, home), id, c.timeout)
}

// CancelJob cancels a job and returns its answer.
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
	err := c.sendWithRetry(ctx, request, timeout)
	return answer, err
}

// nilJobID is the ID in the answer to a body that the instance could not read.
const nilJobID = "00000000-0000-0000-0000-000000000000"

// decodeAnswer accepts only an answer for the requested job or a rejection of
// the body. Any other answer is discarded with a NoAnswerError.
func decodeAnswer(answer *structs.Answer, id structs.JobID) func(int, []byte) error {
	return func(status int, body []byte) error {
		var decoded struct {
			structs.Answer
			JobID string `json:"job_id"`
		}
		if err := json.Unmarshal(body, &decoded); err != nil || decoded.Outcome == "" {
			return unexpectedStatus(status)
		}
		rejected := status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge
		if decoded.JobID != id.String() && (!rejected || decoded.JobID != nilJobID) {
			return &NoAnswerError{Err: fmt.Errorf("the answer is for job %s", decoded.JobID)}
		}
		*answer = decoded.Answer
		answer.JobID = id
		return nil
	}
}
