package cluster

import (
	"cmp"
	"slices"
	"strings"
	"time"

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
func (q *Queue) Apply(job *placement.Job) {
	job.Queue, job.Service, job.Priority = q.Name, q.Service, q.Priority
	job.MaxAttempts, job.Stretch, job.Allowance = q.MaxAttempts, q.Stretch, q.Allowance
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
