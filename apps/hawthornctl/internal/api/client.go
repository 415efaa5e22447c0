package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/structs"
)

// maxAnswerBytes limits the body of an answer.
const maxAnswerBytes = 64 << 20

// Options configures a Client.
type Options struct {
	Addresses []string      // host:port or URL of instances, in the order of use
	Timeout   time.Duration // of one call to one instance, except for job submissions
	Tries     int           // maximum number of sends of one call, over all instances
	TLS       *tls.Config   // used for https addresses
}

// Client calls one or more instances.
type Client struct {
	baseURLs []string
	timeout  time.Duration
	tries    int
	http     *http.Client
}

// New returns a client. Addresses without a scheme use http.
func New(options Options) *Client {
	transport := &http.Transport{TLSClientConfig: options.TLS, ForceAttemptHTTP2: false}
	c := &Client{
		timeout: options.Timeout,
		tries:   options.Tries,
		http:    &http.Client{Transport: transport, CheckRedirect: returnRedirect},
	}
	for _, address := range options.Addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		c.baseURLs = append(c.baseURLs, strings.TrimSuffix(address, "/"))
	}
	return c
}

// returnRedirect makes a redirect the answer: instances never redirect.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// sendWithRetry sends a call to the addresses in turn until an answer arrives or
// the tries are used up. It retries only after a NoAnswerError; the call must be
// idempotent.
func (c *Client) sendWithRetry(ctx context.Context, request *call, timeout time.Duration) error {
	var failures []string
	for try := range c.tries {
		err := c.send(ctx, c.baseURLs[try%len(c.baseURLs)], request, timeout)
		var noAnswer *NoAnswerError
		if err == nil || !errors.As(err, &noAnswer) {
			return err
		}
		failures = append(failures, err.Error())
		if ctx.Err() != nil {
			break
		}
	}
	return &NoAnswerError{Err: fmt.Errorf("%d tries: %s", len(failures), strings.Join(failures, "; "))}
}

// send sends a call to one address.
func (c *Client) send(ctx context.Context, baseURL string, request *call, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := c.exchange(ctx, baseURL, request)
	if err == nil {
		err = request.decode(status, body)
	}
	if err != nil {
		return &structs.StepError{Step: request.step(), Peer: baseURL, Err: err}
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, baseURL string, request *call) (int, []byte, error) {
	url := baseURL + request.path
	if len(request.query) > 0 {
		url += "?" + request.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, request.method, url, bytes.NewReader(request.body))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	if request.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil, &NoAnswerError{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, &NoAnswerError{Err: err}
	}
	return response.StatusCode, body, nil
}

// Reply is the answer or the error from one address.
type Reply[T any] struct {
	Address string
	Value   T
	Err     error
}

// getAll sends a GET to every address once and returns the replies in the order
// of the addresses.
func getAll[T any](ctx context.Context, c *Client, path string) []Reply[T] {
	replies := make([]Reply[T], len(c.baseURLs))
	var group errgroup.Group
	for i, baseURL := range c.baseURLs {
		group.Go(func() error {
			reply := &replies[i]
			reply.Address = baseURL
			request := &call{method: http.MethodGet, path: path, decode: decodeInto(&reply.Value, http.StatusOK)}
			reply.Err = c.send(ctx, baseURL, request, c.timeout)
			return nil
		})
	}
	_ = group.Wait() // the errors are in the replies
	return replies
}
