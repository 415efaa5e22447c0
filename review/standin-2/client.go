package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// step is a step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu,omitempty"`
	MemMB       int64  `json:"mem-mb,omitempty"`
	EstimatedMS int64  `json:"estimated-ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Requirement string `json:"requirements,omitempty"`
	Anti        int    `json:"anti-affinity,omitempty"`
}

// job is a job of the clients, with what they have seen of it.
type job struct {
	id         string
	prefix     string
	steps      []step
	bestEffort bool

	mu        sync.Mutex
	accepted  time.Time // zero: no 2xx
	rejected  bool      // all attempts so far were rejected
	cancelled time.Time
	state     string
	completed time.Time // first seen as completed
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var httpClient = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: nil},
}

const host = "desk.example"

func call(method, ip string, port int, path string, body any, timeout time.Duration) (int, map[string]any, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, port, path), reader)
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	if port == frontendPort {
		request.Header.Set("X-Hawthornshore-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	client := *httpClient
	client.Timeout = timeout
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	var decoded map[string]any
	_ = json.Unmarshal(data, &decoded) // an error page has none
	return response.StatusCode, decoded, nil
}

// submitOnce sends a job to a gateway and returns the status, 0 without a response.
func (c *cluster) submitOnce(j *job, edge *machine, timeout time.Duration) int {
	body := map[string]any{"spec": "work", "steps": j.steps}
	if j.bestEffort {
		body["best-effort"] = true
	}
	status, answer, err := call(http.MethodPost, edge.ip, frontendPort, j.prefix+j.id, body, timeout)
	c.record.note("client POST %s to %s: %d %v%s", j.id, edge.name, status, answer["state"], errorText(err))
	return status
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return " (" + err.Error() + ")"
}

// submit hands in a stored job: after no response, 502, 504, 429 or 503 it is sent again.
func (c *cluster) submit(j *job, first int, tries int) bool {
	for attempt := range tries {
		edge := c.edges[(first+attempt)%len(c.edges)]
		if status := c.submitOnce(j, edge, 1500*time.Millisecond); status/100 == 2 {
			j.mu.Lock()
			j.accepted = time.Now()
			j.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// get asks for a job's state; "" without an answer, "gone" for 410.
func (c *cluster) get(j *job, edge *machine) string {
	status, answer, err := call(http.MethodGet, edge.ip, frontendPort, j.prefix+j.id, nil, 1500*time.Millisecond)
	state := ""
	switch {
	case err == nil && status == http.StatusOK:
		state, _ = answer["state"].(string)
	case err == nil && status == http.StatusGone:
		state = "gone"
	case err == nil:
		state = fmt.Sprintf("status %d", status)
	}
	j.mu.Lock()
	if state != j.state {
		c.record.note("client GET %s from %s: %s%s", j.id, edge.name, state, errorText(err))
	}
	j.state = state
	if state == "completed" && j.completed.IsZero() {
		j.completed = time.Now()
	}
	j.mu.Unlock()
	return state
}

// cancel cancels a job at any gateway.
func (c *cluster) cancel(j *job, tries int) bool {
	for attempt := range tries {
		edge := c.edges[attempt%len(c.edges)]
		status, answer, err := call(http.MethodDelete, edge.ip, frontendPort, j.prefix+j.id, nil, 1500*time.Millisecond)
		c.record.note("client DELETE %s at %s: %d %v%s", j.id, edge.name, status, answer["state"], errorText(err))
		if err == nil && (status/100 == 2 || status == http.StatusGone) {
			j.mu.Lock()
			j.cancelled = time.Now()
			j.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// route is a route of the operator's config.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "type": "non_idempotent", "timeout-ms": 1500,
		"latency-slo-ms": 60, "priority": 1, "service": service, "max-attempts": 3, "stretch": 1.6,
	}
}

// replaceConfig sends a complete config of a new version until a coordinator acknowledges it.
func (c *cluster) replaceConfig(services []string, routes ...map[string]any) error {
	c.version++
	return c.sendConfig(20*time.Second, services, routes...)
}

// sendConfig sends a complete config to one coordinator after the other for a time.
func (c *cluster) sendConfig(limit time.Duration, services []string, routes ...map[string]any) error {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false,
			"admission-check": false, "standby": false,
		})
	}
	body := map[string]any{
		"version": c.version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	began := time.Now()
	for attempt := 0; time.Since(began) < limit; attempt++ {
		m := c.cores[attempt%len(c.cores)]
		status, _, err := call(http.MethodPost, m.ip, controlPort, "/Config.Replace", body, time.Second)
		if err == nil && status == http.StatusOK {
			c.record.note("operator Config.Replace version %d at %s: 200, services %v", c.version, m.name, services)
			return nil
		}
		if err == nil && status/100 == 4 {
			return fmt.Errorf("config refused with %d", status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("config not acknowledged")
}

// awaitReady waits until all gateways are ready.
func (c *cluster) awaitReady() error {
	for range 150 {
		ready := true
		for _, m := range c.edges {
			status, _, err := call(http.MethodGet, m.ip, readinessPort, "/readiness", nil, time.Second)
			ready = ready && err == nil && status == http.StatusOK
		}
		if ready {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("gateways not ready")
}
