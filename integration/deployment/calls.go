package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Answer is what a caller has got.
type Answer struct {
	JobID  string
	Tasks  int
	Status int    // 0 if there was no answer
	State  string // of the job, for 200
	Err    error
}

// Submit hands a job to a gateway and waits for its answer.
func (d *Deployment) Submit(ctx context.Context, gateway *Process, id string, tasks int) Answer {
	answer := Answer{JobID: id, Tasks: tasks}
	body, err := json.Marshal(map[string]any{
		"spec": "work", "best-effort": true, "steps": []map[string]any{
			{"count": tasks, "cpu": taskMillis, "mem-mb": taskMB, "estimated-ms": 200},
		},
	})
	if err != nil {
		answer.Err = err
		return answer
	}
	url := fmt.Sprintf("http://%s:%d%s%s", gateway.Machine.IP, ports.Frontend, queuePrefix, id)
	status, data, err := d.call(ctx, http.MethodPost, url, body)
	answer.Status, answer.Err = status, err
	if status == http.StatusOK {
		var state struct {
			State string `json:"state"`
		}
		answer.Err = json.Unmarshal(data, &state)
		answer.State = state.State
	}
	return answer
}

// Replace sends a new version of the document to a coordinator.
func (d *Deployment) Replace(ctx context.Context, coordinator *Process) error {
	d.version++
	body, err := json.Marshal(map[string]any{
		"version": d.version,
		"routes": []map[string]any{{
			"name": "q", "host": queueHost, "path-prefix": queuePrefix, "type": "non_idempotent", "timeout-ms": 1500,
			"latency-slo-ms": 500, "priority": 1, "service": service, "max-attempts": 3, "stretch": 3,
		}},
		"services": []map[string]any{{"name": service, "health-path": "/health", "max-connections": 64}},
		"limits":   map[string]any{"max-body-bytes": 262144},
	})
	if err != nil {
		return err
	}
	status, data, err := d.call(ctx, http.MethodPost, d.control(coordinator, "/Config.Replace"), body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("status %d: %s", status, data)
	}
	d.acknowledged = max(d.acknowledged, d.version)
	return nil
}

// Version reads the version of the document at a coordinator.
func (d *Deployment) Version(ctx context.Context, coordinator *Process) (uint64, error) {
	status, data, err := d.call(ctx, http.MethodGet, d.control(coordinator, "/Config.Get"), nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Errorf("status %d: %s", status, data)
	}
	var document struct {
		Version uint64 `json:"version"`
	}
	return document.Version, json.Unmarshal(data, &document)
}

// Acknowledged returns the highest acknowledged version.
func (d *Deployment) Acknowledged() uint64 { return d.acknowledged }

// Ready reports whether a gateway says that it is ready.
func (d *Deployment) Ready(ctx context.Context, gateway *Process) bool {
	url := fmt.Sprintf("http://%s:%d/readiness", gateway.Machine.IP, ports.Readiness)
	status, _, err := d.call(ctx, http.MethodGet, url, nil)
	return err == nil && status == http.StatusOK
}

// AwaitService returns once all gateways are ready and a job is served.
func (d *Deployment) AwaitService(ctx context.Context, id string) error {
	for {
		ready := true
		for _, gateway := range d.Gateways {
			ready = ready && d.Ready(ctx, gateway)
		}
		if ready {
			if answer := d.Submit(ctx, d.Gateways[0], id, 1); answer.State == "completed" {
				return nil
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "wait for service")
		}
	}
}

func (d *Deployment) control(coordinator *Process, path string) string {
	return fmt.Sprintf("http://%s:%d%s", coordinator.Machine.IP, ports.Control, path)
}

func (d *Deployment) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}
