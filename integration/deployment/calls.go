package deployment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/placement"
	"hawthornshore.example/platform/standin"
)

// Answer is the answer to a submission.
type Answer struct {
	JobID  string
	Tasks  int
	Status int    // 0 if there was no answer
	State  string // of the job, for 200
	Err    error
}

// Submit submits a job to a gateway and waits for its answer.
func (d *Deployment) Submit(ctx context.Context, gateway *Process, id string, tasks int) Answer {
	answer := Answer{JobID: id, Tasks: tasks}
	answer.Status, answer.State, answer.Err = d.client.Submit(ctx, gateway.Machine.IP, id, tasks, taskResources(""), false)
	return answer
}

// SubmitStored submits a job that has to be stored, with the conditions of its ID.
func (d *Deployment) SubmitStored(ctx context.Context, gateway *Process, id string, tasks int) Answer {
	answer := Answer{JobID: id, Tasks: tasks}
	d.stored.Store(id, true)
	conditions := conditionsOf(id)
	step := placement.Step{Count: tasks, Need: taskResources(""), Requirement: conditions.Label, PerTarget: conditions.PerTarget}
	answer.Status, answer.State, answer.Err = d.client.SubmitStep(ctx, gateway.Machine.IP, id, step, true)
	return answer
}

// SubmitDeadly submits a job that has to be stored, whose task crashes each target
// that starts it.
func (d *Deployment) SubmitDeadly(ctx context.Context, gateway *Process, id string) Answer {
	d.deadly.Store(id, true)
	return d.SubmitStored(ctx, gateway, id, 1)
}

// JobState returns the state of a job at a gateway, or "" if it is not available.
func (d *Deployment) JobState(ctx context.Context, gateway *Process, id string) string {
	_, state, err := d.client.State(ctx, gateway.Machine.IP, id)
	if err != nil {
		return ""
	}
	return state
}

// Cancel cancels a job through a gateway and reports whether it was acknowledged.
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

// MoveQueues sends a document in which all queues have the other service of the two, and
// the one that they had is gone.
func (d *Deployment) MoveQueues(ctx context.Context, coordinator *Process) error {
	d.client.Service = map[string]string{service: OtherService, OtherService: service}[d.client.Service]
	return d.ReplaceDocument(ctx, coordinator)
}

// DocumentVersion returns the version of the document at a coordinator.
func (d *Deployment) DocumentVersion(ctx context.Context, coordinator *Process) (uint64, error) {
	return d.client.Version(ctx, coordinator.Machine.IP)
}

// ObeyedVersion returns the version of the document that a gateway obeys, or 0 if it is
// older than the highest acknowledged one.
func (d *Deployment) ObeyedVersion(ctx context.Context, gateway *Process) (uint64, error) {
	for version := d.version; version >= max(d.acknowledged, 1); version-- {
		obeys, err := d.client.Obeys(ctx, gateway.Machine.IP, version)
		if obeys || err != nil {
			return version, err
		}
	}
	return 0, nil
}

// AcknowledgedVersion returns the highest acknowledged version of the document.
func (d *Deployment) AcknowledgedVersion() uint64 { return d.acknowledged }

// WaitServing waits until all gateways are ready and a job has been completed.
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
			return errors.Annotate(ctx.Err(), "waiting until all gateways serve jobs")
		}
	}
}

// SendOddEntries sends the odd entries of targets to all coordinators. It returns
// those that were acknowledged, and the error of the last one without a response.
func (d *Deployment) SendOddEntries(ctx context.Context, targets ...*standin.Target) (acknowledged []string, failed error) {
	for _, target := range targets {
		for _, entry := range target.OddEntries() {
			for _, coordinator := range d.Coordinators {
				status, err := entry.Send(ctx, d.client.HTTP, controlAddress(coordinator))
				if err != nil {
					failed = errors.Annotatef(err, "%s to %s", entry.Name, coordinator.Machine.IP)
				}
				if status/100 == 2 {
					acknowledged = append(acknowledged, entry.Name+" by "+coordinator.Machine.IP)
				}
			}
		}
	}
	return acknowledged, failed
}

func controlAddress(coordinator *Process) string {
	return fmt.Sprintf("%s:%d", coordinator.Machine.IP, ports.Control)
}
