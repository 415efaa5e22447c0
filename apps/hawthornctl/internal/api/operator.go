package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"hawthornshore.example/operatorapi"
)

// Statuses returns the status of every address.
func (c *Client) Statuses(ctx context.Context) []Reply[operatorapi.Status] {
	return getAll[operatorapi.Status](ctx, c, operatorapi.PathStatus)
}

// Targets returns the targets known to every address.
func (c *Client) Targets(ctx context.Context) []Reply[operatorapi.Targets] {
	return getAll[operatorapi.Targets](ctx, c, operatorapi.PathTargets)
}

// Classes returns the load by class of every address.
func (c *Client) Classes(ctx context.Context) []Reply[operatorapi.Classes] {
	return getAll[operatorapi.Classes](ctx, c, operatorapi.PathClasses)
}

// Evacuations queries the evacuated data centres of all addressed coordinators.
func (c *Client) Evacuations(ctx context.Context) []Reply[operatorapi.Evacuations] {
	return getAll[operatorapi.Evacuations](ctx, c, operatorapi.PathEvacuations)
}

// Members returns the member list of the first address that answers.
func (c *Client) Members(ctx context.Context) (operatorapi.Members, error) {
	return getFirst[operatorapi.Members](ctx, c, operatorapi.PathMembers, nil)
}

// Config returns the configuration of the first address that answers.
func (c *Client) Config(ctx context.Context) (operatorapi.Config, error) {
	return getFirst[operatorapi.Config](ctx, c, operatorapi.PathConfig, nil)
}

// History returns at most limit applied changes, newest first.
func (c *Client) History(ctx context.Context, limit int) (operatorapi.History, error) {
	query := url.Values{operatorapi.QueryLimit: {strconv.Itoa(limit)}}
	return getFirst[operatorapi.History](ctx, c, operatorapi.PathHistory, query)
}

func getFirst[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var reply T
	request := &call{method: http.MethodGet, path: path, query: query, decode: decodeInto(&reply, http.StatusOK)}
	err := c.sendWithRetry(ctx, request, c.timeout)
	return reply, err
}

// Apply replaces the configuration. Without an answer it resends the request
// with the same operation ID, so that the change is applied at most once.
func (c *Client) Apply(ctx context.Context, request operatorapi.ApplyRequest) (operatorapi.ApplyReply, error) {
	var reply operatorapi.ApplyReply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, errors.Trace(err)
	}
	err = c.sendWithRetry(ctx, &call{
		method: http.MethodPut,
		path:   operatorapi.PathConfig,
		body:   body,
		decode: decodeApply(&reply),
	}, c.timeout)
	return reply, err
}

// decodeApply decodes the answer to an ApplyRequest. A conflict has the same
// status as some errors; only the body distinguishes them.
func decodeApply(reply *operatorapi.ApplyReply) func(int, []byte) error {
	decodeReply := decodeInto(reply, http.StatusOK, http.StatusConflict)
	decodeFailure := decodeInto(&operatorapi.ApplyReply{})
	return func(status int, body []byte) error {
		if err := decodeReply(status, body); err != nil {
			return err
		}
		applied := status == http.StatusOK && reply.Result == operatorapi.ApplyApplied
		conflict := status == http.StatusConflict && reply.Result == operatorapi.ApplyConflict
		if applied || conflict {
			return nil
		}
		return decodeFailure(status, body)
	}
}

// Drain stops the instance at the first address. The request is sent once: the
// next address would be another instance.
func (c *Client) Drain(ctx context.Context, request operatorapi.DrainRequest) (operatorapi.DrainReply, error) {
	var reply operatorapi.DrainReply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, errors.Trace(err)
	}
	err = c.send(ctx, c.baseURLs[0], &call{
		method: http.MethodPost,
		path:   operatorapi.PathDrain,
		body:   body,
		decode: decodeInto(&reply, http.StatusAccepted),
	}, c.timeout)
	return reply, err
}
