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

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 64 << 20

// Options configures a Client.
type Options struct {
	Addresses []string      // host:port or URL of instances, in the order of use
	Timeout   time.Duration // of one call to one instance, other than job submissions
	Tries     int           // bound on sending one call, over all instances
	TLS       *tls.Config   // used for https addresses
}

// Client calls one or several instances.
type Client struct {
	bases   []string
	timeout time.Duration
	tries   int
	http    *http.Client
}

// New returns a client. Addresses without a scheme are reached over http.
func New(options Options) *Client {
	transport := &http.Transport{TLSClientConfig: options.TLS, ForceAttemptHTTP2: false}
	c := &Client{
		timeout: options.Timeout,
		tries:   options.Tries,
		http:    &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
	for _, address := range options.Addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		c.bases = append(c.bases, strings.TrimSuffix(address, "/"))
	}
	return c
}

// refuseRedirect returns redirections as answers: instances never redirect.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// first sends a call to one address after the other until an answer arrives or
// the tries are used up. Only lost answers lead to another try, so the call
// must be safe to repeat.
func (c *Client) first(ctx context.Context, request *call, timeout time.Duration) error {
	var failures []string
	for try := range c.tries {
		err := c.send(ctx, c.bases[try%len(c.bases)], request, timeout)
		var lost *NoAnswerError
		if err == nil || !errors.As(err, &lost) {
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
func (c *Client) send(ctx context.Context, base string, request *call, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := c.exchange(ctx, base, request)
	if err == nil {
		err = request.decode(status, body)
	}
	if err != nil {
		return &structs.StepError{Step: request.step(), Peer: base, Err: err}
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, base string, request *call) (int, []byte, error) {
	url := base + request.path
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

// Reply is the answer or the error of one address.
type Reply[T any] struct {
	Address string
	Value   T
	Err     error
}

// all sends a call to every address once and returns the replies in the order
// of the addresses.
func all[T any](ctx context.Context, c *Client, path string) []Reply[T] {
	replies := make([]Reply[T], len(c.bases))
	var group errgroup.Group
	for i, base := range c.bases {
		group.Go(func() error {
			reply := &replies[i]
			reply.Address = base
			request := &call{method: http.MethodGet, path: path, decode: decodeInto(&reply.Value, http.StatusOK)}
			reply.Err = c.send(ctx, base, request, c.timeout)
			return nil
		})
	}
	_ = group.Wait() // the errors are in the replies
	return replies
}
