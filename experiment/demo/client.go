package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"hawthornshore.example/structs"
)

// answerTimeoutMargin is how long the client waits beyond a job's deadline.
const answerTimeoutMargin = 2 * time.Second

// Client submits jobs to one entry instance.
type Client struct {
	Address string // host:port
	HTTP    *http.Client
}

// Submit sends a job and returns its answer.
func (c *Client) Submit(ctx context.Context, job *structs.Job) (structs.Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return structs.Answer{}, c.stepError("encode", err)
	}
	return c.SubmitBody(ctx, job.Deadline().Add(answerTimeoutMargin), body)
}

// SubmitBody sends an encoded job and returns the answer.
func (c *Client) SubmitBody(ctx context.Context, deadline time.Time, body []byte) (structs.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return structs.Answer{}, c.stepError("submit", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return structs.Answer{}, c.stepError("submit", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return structs.Answer{}, c.stepError("read answer", err)
	}
	var answer structs.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, c.stepError("decode answer", fmt.Errorf("%w: %s", err, data))
	}
	return answer, nil
}

func (c *Client) stepError(step string, err error) error {
	return &structs.StepError{Step: step, Peer: c.Address, Err: err}
}
