package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/integration/process"
	"hawthornshore.example/structs"
)

// Instance is an entry instance that runs as a process.
type Instance struct {
	Name        string
	HTTP        string                       // address for callers and targets
	Link        string                       // address for other instances
	PeerProxies map[string]*faultproxy.Proxy // by peer, in front of its link address

	cluster *Cluster
	process *process.Process
}

// Start starts the instance, with the same addresses after a restart.
func (i *Instance) Start() error {
	c := i.cluster
	p, err := process.Start(c.dir, i.Name, exec.Command(c.programs.Daemon,
		"--settings", filepath.Join(c.dir, "settings-"+i.Name),
		"--config", filepath.Join(c.dir, "config")))
	if err != nil {
		return errors.Trace(err)
	}
	i.process = p
	return nil
}

// Kill sends SIGKILL and waits for the process to exit.
func (i *Instance) Kill() error { return i.process.Kill() }

// Pause suspends the process with SIGSTOP.
func (i *Instance) Pause() error { return i.process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (i *Instance) Resume() error { return i.process.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits for the process to exit.
func (i *Instance) Stop(within time.Duration) error { return i.process.Stop(within) }

// Terminate sends SIGTERM.
func (i *Instance) Terminate() error { return i.process.Signal(syscall.SIGTERM) }

// Log returns the instance's log.
func (i *Instance) Log() string { return i.process.Log() }

func (i *Instance) waitReady(ctx context.Context) error {
	for {
		if !i.process.Running() {
			return errors.Errorf("%s has exited: %s", i.Name, i.Log())
		}
		if i.status(ctx, "/readyz") == http.StatusOK {
			return nil
		}
		if err := sleep(ctx, warmUpInterval); err != nil {
			return errors.Annotatef(err, "waiting until %s is ready", i.Name)
		}
	}
}

// status returns the status code of a GET request, or 0 if there is no response.
func (i *Instance) status(ctx context.Context, path string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.HTTP+path, nil)
	if err != nil {
		return 0
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// httpClient opens a connection per request, so that no request reuses a
// connection to a killed process.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Submit submits a job and returns its answer.
func (i *Instance) Submit(ctx context.Context, job structs.Job) (structs.Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return structs.Answer{}, errors.Trace(err)
	}
	return i.do(ctx, http.MethodPost, "/v1/jobs", body)
}

// Query returns the answer of a submitted job.
func (i *Instance) Query(ctx context.Context, id structs.JobID) (structs.Answer, error) {
	return i.do(ctx, http.MethodGet, "/v1/jobs/"+id.String()+"?data_centre="+DataCentre, nil)
}

// Cancel cancels a job.
func (i *Instance) Cancel(ctx context.Context, id structs.JobID) (structs.Answer, error) {
	return i.do(ctx, http.MethodDelete, "/v1/jobs/"+id.String()+"?data_centre="+DataCentre, nil)
}

func (i *Instance) do(ctx context.Context, method, path string, body []byte) (structs.Answer, error) {
	var answer structs.Answer
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.HTTP+path, bytes.NewReader(body))
	if err != nil {
		return answer, errors.Trace(err)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return answer, errors.Annotatef(err, "%s %s at %s", method, path, i.Name)
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, errors.Annotatef(err, "answer of %s, status %d", i.Name, resp.StatusCode)
}
