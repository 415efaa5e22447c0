package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	queueHost   = "desk.example"
	queuePrefix = "/work/"
	serviceName = "desk"
)

// client sends requests and records them with their answers.
type client struct {
	rec  *record
	name string
	http *http.Client
}

func newClient(rec *record, name string) *client {
	return &client{rec: rec, name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}}
}

// call sends a request and returns the status, 0 without an answer, and the body.
func (c *client) call(ctx context.Context, method, url, host string, body any, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Hawthornshore-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request.Host = host
	shown := string(data)
	if len(shown) > 200 {
		shown = shown[:200] + "..."
	}
	c.rec.add("%s sends %s %s %s", c.name, method, url, shown)
	response, err := c.http.Do(request)
	if err != nil {
		c.rec.add("%s gets no answer to %s %s: %v", c.name, method, url, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		c.rec.add("%s gets no whole answer to %s %s: %v", c.name, method, url, err)
		return 0, ""
	}
	c.rec.add("%s gets %d to %s %s: %.200s", c.name, response.StatusCode, method, url, strings.TrimSpace(string(answer)))
	return response.StatusCode, string(answer)
}

// job sends a request for a job at a gateway.
func (d *deployment) job(ctx context.Context, c *client, g *machine, method, id string, body any, wait time.Duration) (int, string) {
	return c.call(ctx, method, d.frontend(g)+queuePrefix+id, queueHost, body, wait)
}

// store submits a job that has to be stored until it is accepted; the same ID is sent
// again after no clear answer.
func (d *deployment) store(ctx context.Context, c *client, g *machine, id string, steps ...map[string]any) bool {
	return d.storeSpec(ctx, c, g, id, "spec of "+id, steps...)
}

func (d *deployment) storeSpec(ctx context.Context, c *client, g *machine, id, spec string, steps ...map[string]any) bool {
	for range 20 {
		status, _ := d.job(ctx, c, g, "POST", id, map[string]any{"spec": spec, "steps": steps}, 2*time.Second)
		if status/100 == 2 {
			return true
		}
		if sleep(ctx, 1300*time.Millisecond) != nil {
			return false
		}
	}
	return false
}

// state returns the state of a job, asked for at any gateway, or "" without one.
func (d *deployment) state(ctx context.Context, c *client, id string) (int, string) {
	for range 5 {
		for _, g := range d.gateways {
			status, body := d.job(ctx, c, g, "GET", id, nil, 2*time.Second)
			var answer struct {
				State string `json:"state"`
			}
			if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil {
				return status, answer.State
			}
			if status == http.StatusGone {
				return status, ""
			}
		}
		if sleep(ctx, 300*time.Millisecond) != nil {
			break
		}
	}
	return 0, ""
}

// baseConfig is a config with one queue.
func baseConfig(version, maxAttempts int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "q-1", "host": queueHost, "path-prefix": queuePrefix, "type": "non_idempotent", "timeout-ms": 1500,
			"latency-slo-ms": 60, "priority": 1, "service": serviceName, "max-attempts": maxAttempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": serviceName, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false,
			"admission-check": false, "standby": false,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
