package deployment

import (
	"context"
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
	answer.Status, answer.State, answer.Err = d.client.Submit(ctx, gateway.Machine.IP, id, tasks, need(""), false)
	return answer
}

// SubmitStored hands in a job that has to be stored.
func (d *Deployment) SubmitStored(ctx context.Context, gateway *Process, id string, tasks int) Answer {
	answer := Answer{JobID: id, Tasks: tasks}
	d.stored.Store(id, true)
	answer.Status, answer.State, answer.Err = d.client.Submit(ctx, gateway.Machine.IP, id, tasks, need(""), true)
	return answer
}

// JobState asks a gateway for the state of a job; empty if it does not say one.
func (d *Deployment) JobState(ctx context.Context, gateway *Process, id string) string {
	_, state, err := d.client.State(ctx, gateway.Machine.IP, id)
	if err != nil {
		return ""
	}
	return state
}

// Cancel asks a gateway to cancel a job, and reports whether it was acknowledged.
func (d *Deployment) Cancel(ctx context.Context, gateway *Process, id string) bool {
	status, _, err := d.client.Cancel(ctx, gateway.Machine.IP, id)
	return err == nil && status == http.StatusOK
}

// ReplaceDocument sends a new version of the document to a coordinator.
func (d *Deployment) ReplaceDocument(ctx context.Context, coordinator *Process) error {
	d.version++
	if err := d.client.Replace(ctx, coordinator.Machine.IP, d.version); err != nil {
		return err
	}
	d.acknowledged = max(d.acknowledged, d.version)
	return nil
}

// DocumentVersion reads the version of the document at a coordinator.
func (d *Deployment) DocumentVersion(ctx context.Context, coordinator *Process) (uint64, error) {
	return d.client.Version(ctx, coordinator.Machine.IP)
}

// AcknowledgedVersion returns the highest acknowledged version.
func (d *Deployment) AcknowledgedVersion() uint64 { return d.acknowledged }

// WaitServing returns once all gateways are ready and a job is served.
func (d *Deployment) WaitServing(ctx context.Context, id string) error {
	for {
		ready := true
		for _, gateway := range d.Gateways {
			ready = ready && d.client.Ready(ctx, gateway.Machine.IP)
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
