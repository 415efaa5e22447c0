package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"hawthornshore.example/operatorapi"
)

// call is one request, which may be sent to several instances unchanged.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// decode reads an answer. Its error is a *NoAnswerError if the answer does not
	// come from an instance or belongs to another call.
	decode func(status int, body []byte) error
}

// step names the call in errors.
func (c *call) step() string { return c.method + " " + c.path }

// decodeInto returns a decode function for operators' calls: the accepted
// statuses carry a T, all others an ErrorReply.
func decodeInto[T any](reply *T, accepted ...int) func(int, []byte) error {
	return func(status int, body []byte) error {
		if slices.Contains(accepted, status) {
			var decoded T
			if err := json.Unmarshal(body, &decoded); err != nil {
				return &NoAnswerError{Err: fmt.Errorf("status %d with a malformed body: %w", status, err)}
			}
			*reply = decoded
			return nil
		}
		var failure operatorapi.ErrorReply
		if err := json.Unmarshal(body, &failure); err != nil || failure.Message == "" {
			return unexplained(status)
		}
		failure.Status = status
		return &failure
	}
}

// unexplained is the error of a status without a body that explains it. Those
// of the 5xx group may come from a load balancer, which lost the answer.
func unexplained(status int) error {
	err := fmt.Errorf("status %d %s without an explanation", status, http.StatusText(status))
	if status == http.StatusNotFound || status == http.StatusMethodNotAllowed {
		return fmt.Errorf("%w; the address may not be an instance, or its version does not serve the call", err)
	}
	if status >= http.StatusInternalServerError {
		return &NoAnswerError{Err: err}
	}
	return err
}
