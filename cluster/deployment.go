package cluster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"hawthornshore.example/jobtable"
	"hawthornshore.example/placement"
)

// Queue routes callers' requests to the targets of a service.
type Queue struct {
	Name        string
	Host        string
	PathPrefix  string
	Service     string
	Priority    int // 0 is the highest
	MaxAttempts int
	Stretch     float64       // a job's objective is its critical path times this
	Allowance   time.Duration // plus this
	Timeout     time.Duration
}

// Limits bound callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Deployment is the operators' document in decoded form.
type Deployment struct {
	Version  uint64
	Queues   []Queue         // longest path prefix first
	Services map[string]bool // by name
	Limits   Limits
}

// SortQueues sorts the queues into the order that Select requires.
func (d *Deployment) SortQueues() {
	slices.SortStableFunc(d.Queues, func(a, b Queue) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
}

// Select returns the queue with the request's host and the longest matching path
// prefix, or nil.
func (d *Deployment) Select(host, path string) *Queue {
	for i := range d.Queues {
		q := &d.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) {
			return q
		}
	}
	return nil
}

// Document is the encoded form of a Deployment, as an operator submitted it.
type Document struct {
	Version uint64
	Body    []byte
}

// Apply sets the fields of a job that its queue determines.
func (d *Deployment) Apply(q *Queue, job *placement.Job) {
	job.Queue, job.Service, job.Priority = q.Name, q.Service, q.Priority
	job.MaxAttempts, job.Stretch, job.Allowance = q.MaxAttempts, q.Stretch, q.Allowance
	job.DocumentVersion = d.Version
}

// queuesByName returns the queues by name. It leaves out names that queues of different
// services share, because they don't tell which service an accepted job is for.
func (d *Deployment) queuesByName() map[string]*Queue {
	queues := make(map[string]*Queue, len(d.Queues))
	for i := range d.Queues {
		q := &d.Queues[i]
		switch other, found := queues[q.Name]; {
		case !found:
			queues[q.Name] = q
		case other == nil || other.Service != q.Service:
			queues[q.Name] = nil
		}
	}
	maps.DeleteFunc(queues, func(_ string, q *Queue) bool { return q == nil })
	return queues
}

// storedQueues describes the queues to the table of stored jobs.
func (d *Deployment) storedQueues() jobtable.Queues {
	queues := jobtable.Queues{Version: d.Version, ByName: map[string]jobtable.Queue{}}
	for name, q := range d.queuesByName() {
		queues.ByName[name] = jobtable.Queue{
			Service: q.Service, Priority: int32(q.Priority), Stretch: q.Stretch, AllowanceMS: ms(q.Allowance),
		}
	}
	return queues
}

// placementQueues describes the queues and services to the placement core.
func (d *Deployment) placementQueues() *placement.QueuesChanged {
	change := &placement.QueuesChanged{Version: d.Version, Queues: map[string]placement.Queue{}, Services: d.Services}
	for name, q := range d.queuesByName() {
		change.Queues[name] = placement.Queue{
			Service: q.Service, Priority: q.Priority, Stretch: q.Stretch, Allowance: q.Allowance,
		}
	}
	return change
}

// JobRequest is a job with the caller's options that placement does not cover.
type JobRequest struct {
	placement.Job
	Scheduled   bool // runs at given times
	Gang        bool // tasks run only together
	LongRunning bool // tasks run until the job is cancelled
}

// unsupported returns why a request is not supported, or "".
func (r *JobRequest) unsupported() string {
	switch {
	case r.Scheduled:
		return "scheduled jobs are not supported"
	case r.Gang:
		return "gang scheduling is not supported"
	case r.LongRunning:
		return "long-running jobs are not supported"
	}
	return ""
}
