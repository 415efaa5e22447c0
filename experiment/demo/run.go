package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornshore.example/structs"
)

// parallelJobs is the maximum number of jobs in flight.
const parallelJobs = 12

// DataCentre is a data centre of the demo and its entry instances.
type DataCentre struct {
	Name    string
	Entries []string // host:port
}

// Options configures a run of the demo.
type Options struct {
	DataCentres []DataCentre
	Classes     []string
	Tenants     []string
	Jobs        int
	Seed        uint64
	Records     []string // start record files of the targets
	Out         io.Writer
}

func (o *Options) allEntries() []string {
	var entries []string
	for _, centre := range o.DataCentres {
		entries = append(entries, centre.Entries...)
	}
	return entries
}

// Report counts the answers by outcome and the starts on the targets.
type Report struct {
	Jobs, Complete, Failed, NotRun, Unknown int
	TaskStarts, DuplicateStarts             int
}

// String returns the summary line of the demo.
func (r Report) String() string {
	return fmt.Sprintf("demo: jobs=%d complete=%d failed=%d not_run=%d unknown=%d task_starts=%d duplicate_starts=%d",
		r.Jobs, r.Complete, r.Failed, r.NotRun, r.Unknown, r.TaskStarts, r.DuplicateStarts)
}

// run is the state of one run.
type run struct {
	options  Options
	client   *http.Client
	mu       sync.Mutex
	answers  map[structs.JobID]structs.Answer
	failures []error
}

// Run submits the jobs and checks the answers against the start records. The
// report is also valid if the error is that of a failed check.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, client: &http.Client{}, answers: make(map[structs.JobID]structs.Answer)}
	if err := r.waitReady(ctx); err != nil {
		return Report{}, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, 0))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallelJobs)
	for i := range options.Jobs {
		p := planJob(rng, i, &options)
		group.Go(func() error { return r.submit(groupCtx, &p) })
	}
	if err := group.Wait(); err != nil {
		return Report{}, err
	}
	report, err := r.check()
	return report, errors.Join(append(r.failures, err)...)
}

// waitReady waits until each entry instance reports that it is ready.
func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for _, entry := range r.options.allEntries() {
		for !r.isReady(ctx, entry) {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
				return &structs.StepError{Step: "wait for readiness", Peer: entry, Err: ctx.Err()}
			}
		}
		r.logf("entry instance %s is ready", entry)
	}
	return nil
}

func (r *run) isReady(ctx context.Context, entry string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// submit sends one job, resubmits it if planned, and compares the answers.
func (r *run) submit(ctx context.Context, p *plannedJob) error {
	group, groupCtx := errgroup.WithContext(ctx)
	var second structs.Answer
	if p.resubmitTo != "" {
		group.Go(func() (err error) {
			second, err = r.send(groupCtx, p.resubmitTo, p)
			return err
		})
	}
	first, err := r.send(groupCtx, p.submitTo, p)
	if err := errors.Join(err, group.Wait()); err != nil {
		return err
	}
	if p.resubmitTo != "" && second.Outcome != first.Outcome {
		r.addFailure("job %s: submission at %s got %s, resubmission at %s got %s",
			p.job.ID, p.submitTo, first.Outcome, p.resubmitTo, second.Outcome)
	}
	if first.Outcome != p.want {
		r.addFailure("job %s: want %s, got %s (%s: %s)", p.job.ID, p.want, first.Outcome, first.Reason, first.Message)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[p.job.ID] = first
	return nil
}

func (r *run) send(ctx context.Context, entry string, p *plannedJob) (structs.Answer, error) {
	client := &Client{Address: entry, HTTP: r.client}
	answer, err := client.Submit(ctx, &p.job)
	if err != nil {
		return answer, err
	}
	if answer.JobID != p.job.ID {
		r.addFailure("job %s: answer has job ID %s", p.job.ID, answer.JobID)
	}
	r.logf("job=%s home=%s class=%s tasks=%d entry=%s outcome=%s reason=%s",
		p.job.ID, p.job.DataCentre, p.job.Class, len(p.job.Tasks), entry, answer.Outcome, answer.Reason)
	return answer, nil
}

func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.options.Out, format+"\n", args...)
}

func (r *run) addFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Errorf(format, args...))
}
