package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/experiment/demo"
	"hawthornshore.example/structs"
)

// LoadOptions select an open-loop load over HTTP against running instances.
type LoadOptions struct {
	Workload   Workload // classes, tenants and sizes; Targets and Slots set the rate
	DataCentre string   // home of the jobs
	Entries    []string // host:port of the entry instances
	Load       float64  // offered slot time over the slots of the workload
	Duration   time.Duration
	Seed       uint64
	// MaxInFlight bounds the unanswered jobs. A job beyond it is not sent and
	// counts as an error, so that the loop stays open without growing for ever.
	MaxInFlight int
}

// LoadResult is what callers saw.
type LoadResult struct {
	*Result
	NotSent int `json:"not_sent"` // beyond MaxInFlight
	Errors  int `json:"errors"`   // requests without an answer
	// WrongID counts answers that name another job.
	WrongID int `json:"wrong_id"`
}

// loader sends jobs at their intended times, whatever became of earlier ones.
type loader struct {
	opts    *LoadOptions
	clients []*demo.Client
	slots   chan struct{} // one per job in flight
	group   sync.WaitGroup
	mu      sync.Mutex // guards result
	result  *LoadResult
}

// GenerateLoad sends jobs until the duration is over and waits for the answers.
// Response times are measured from the intended send times, so that a stalled
// instance shows in all the jobs that it held up.
func GenerateLoad(ctx context.Context, opts *LoadOptions) (*LoadResult, error) {
	if len(opts.Entries) == 0 || opts.Load <= 0 || opts.MaxInFlight <= 0 {
		return nil, errors.NotValidf("load options without entries, load or bound of jobs in flight")
	}
	scenario := &Scenario{Name: "http", Workload: opts.Workload, Policy: "http", Seed: opts.Seed, Load: opts.Load, Measure: opts.Duration}
	l := &loader{
		opts: opts, slots: make(chan struct{}, opts.MaxInFlight), result: &LoadResult{Result: newResult(scenario)},
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: opts.MaxInFlight,
	}
	defer transport.CloseIdleConnections()
	for _, entry := range opts.Entries {
		l.clients = append(l.clients, &demo.Client{Address: entry, HTTP: &http.Client{Transport: transport}})
	}
	var classes sync.WaitGroup
	begin := time.Now()
	for class := range opts.Workload.Classes {
		classes.Go(func() { l.offer(ctx, class, begin) })
	}
	classes.Wait()
	l.group.Wait()
	return l.result, errors.Trace(ctx.Err())
}

// offer sends the jobs of one class.
func (l *loader) offer(ctx context.Context, class int, begin time.Time) {
	w := &l.opts.Workload
	rng := rand.New(rand.NewPCG(l.opts.Seed, uint64(class)))
	gap := float64(w.jobCost(class)) / (l.opts.Load * w.Classes[class].LoadShare * float64(w.slots()))
	due := begin
	for {
		due = due.Add(time.Duration(rng.ExpFloat64() * gap))
		if due.Sub(begin) >= l.opts.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		a := w.draw(rng, class, due, 0)
		a.job.ID = structs.NewJobID()
		a.job.DataCentre = l.opts.DataCentre
		for i := range a.job.Tasks {
			a.job.Tasks[i].Payload = json.RawMessage(fmt.Sprintf(`{"run_ms":%d}`, a.runs[i].Milliseconds()))
		}
		l.send(ctx, a, l.clients[rng.IntN(len(l.clients))])
	}
}

// send submits a job in its own goroutine.
func (l *loader) send(ctx context.Context, a *arrival, client *demo.Client) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.mu.Lock()
		l.result.NotSent++
		l.mu.Unlock()
		return
	}
	l.group.Go(func() {
		answer, err := client.Submit(ctx, &a.job)
		took := time.Since(a.sent)
		<-l.slots
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case err != nil:
			l.result.Errors++
		case answer.JobID != a.job.ID:
			l.result.WrongID++
		default:
			l.result.record(&tracked{arrival: a, measured: true}, &answer, took)
		}
	})
}
