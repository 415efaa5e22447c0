package system

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

// Timeouts of one HTTP call. A paused instance accepts connections and never
// answers, so that every call needs a timeout.
const (
	callTimeout = 2 * time.Second
	jobTimeout  = 20 * time.Second
)

// Connections are not reused, so that no call uses one to a killed process.
var (
	transport     = &http.Transport{DisableKeepAlives: true}
	httpClient    = &http.Client{Transport: transport, Timeout: callTimeout}
	jobHTTPClient = &http.Client{Transport: transport, Timeout: jobTimeout}
)

// call sends a request with an optional body and decodes the answer. It returns
// the status code, or 0 if there was no complete answer.
func call(method, address, path string, body, answer any) (int, error) {
	return callWith(httpClient, method, address, path, body, answer)
}

func callWith(client *http.Client, method, address, path string, body, answer any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Annotatef(err, "%s %s", method, path)
	}
	defer resp.Body.Close()
	if answer == nil {
		return resp.StatusCode, nil
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return 0, errors.Annotatef(err, "answer to %s %s with status %d", method, path, resp.StatusCode)
	}
	return resp.StatusCode, nil
}

// config returns the configuration in force at an instance.
func (c *cluster) config(name string) (operatorapi.Config, error) {
	var config operatorapi.Config
	status, err := call(http.MethodGet, c.instances[name].http(), operatorapi.PathConfig, nil, &config)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("status %d", status)
	}
	return config, errors.Annotatef(err, "configuration of %s", name)
}

// apply sends a change through an instance. An error means that the outcome is
// unknown.
func (c *cluster) apply(via string, request operatorapi.ApplyRequest) (operatorapi.ApplyReply, error) {
	var reply operatorapi.ApplyReply
	status, err := call(http.MethodPut, c.instances[via].http(), operatorapi.PathConfig, request, &reply)
	if err == nil && status != http.StatusOK && status != http.StatusConflict {
		err = errors.Errorf("status %d", status)
	}
	if err == nil && reply.Result == "" {
		err = errors.Errorf("status %d without a result", status)
	}
	return reply, errors.Annotatef(err, "apply through %s", via)
}

// submit submits a job through an instance.
func (c *cluster) submit(via string, job structs.Job) (structs.Answer, error) {
	var answer structs.Answer
	_, err := callWith(jobHTTPClient, http.MethodPost, c.instances[via].http(), operatorapi.PathJobs, job, &answer)
	return answer, errors.Annotatef(err, "job %s through %s", job.ID, via)
}
