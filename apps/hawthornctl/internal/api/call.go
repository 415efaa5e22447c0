package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"hawthornshore.example/operatorapi"
)

// call is a request that may be sent unchanged to several instances.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// decode decodes an answer. Its error is a *NoAnswerError if the answer does
	// not come from an instance or belongs to another call.
	decode func(status int, body []byte) error
}

// step returns the name of the call in errors.
func (c *call) step() string { return c.method + " " + c.path }

// decodeInto returns a decode function for operator calls: the body of an
// accepted status is a T, any other an ErrorReply.
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
			return unexpectedStatus(status)
		}
		failure.Status = status
		return &failure
	}
}

// unexpectedStatus returns the error of a status without a valid error body. A
// 5xx status may come from a load balancer that did not get the answer.
func unexpectedStatus(status int) error {
	err := fmt.Errorf("status %d %s with an unexpected body", status, http.StatusText(status))
	if status == http.StatusNotFound || status == http.StatusMethodNotAllowed {
		return fmt.Errorf("%w; the address may not be that of an instance, or the instance's version does not support the call", err)
	}
	if status >= http.StatusInternalServerError {
		return &NoAnswerError{Err: err}
	}
	return err
}
