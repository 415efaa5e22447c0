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
	Workload   Workload // classes, tenants and sizes; Targets and Slots determine the rate
	DataCentre string   // of the jobs
	Entries    []string // host:port of the entry instances
	Load       float64  // offered slot time as a fraction of the workload's slots
	Duration   time.Duration
	Seed       uint64
	// MaxInFlight bounds the unanswered jobs. A job beyond it is not sent and is
	// counted in NotSent, so that the open loop cannot grow without bound.
	MaxInFlight int
}

// LoadResult holds the results as measured by the sender.
type LoadResult struct {
	*Result
	NotSent int `json:"not_sent"` // beyond MaxInFlight
	Errors  int `json:"errors"`   // requests without an answer
	// WrongID counts answers with the ID of another job.
	WrongID int `json:"wrong_id"`
}

// loader sends jobs at their scheduled times, regardless of earlier answers.
type loader struct {
	opts     *LoadOptions
	clients  []*demo.Client
	inFlight chan struct{} // one per job in flight
	group    sync.WaitGroup
	mu       sync.Mutex // guards result
	result   *LoadResult
}

// GenerateLoad sends jobs for the duration and waits for the answers. Response
// times are measured from the scheduled send times, so that a stall of an instance
// counts for every job that it delays.
func GenerateLoad(ctx context.Context, opts *LoadOptions) (*LoadResult, error) {
	if len(opts.Entries) == 0 || opts.Load <= 0 || opts.MaxInFlight <= 0 {
		return nil, errors.NotValidf("load options without entries, load or limit of jobs in flight")
	}
	scenario := &Scenario{Name: "http", Workload: opts.Workload, Policy: "http", Seed: opts.Seed, Load: opts.Load, Measure: opts.Duration}
	l := &loader{
		opts: opts, inFlight: make(chan struct{}, opts.MaxInFlight), result: &LoadResult{Result: newResult(scenario)},
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
		classes.Go(func() { l.sendClass(ctx, class, begin) })
	}
	classes.Wait()
	l.group.Wait()
	return l.result, errors.Trace(ctx.Err())
}

// sendClass sends the jobs of one class.
func (l *loader) sendClass(ctx context.Context, class int, begin time.Time) {
	w := &l.opts.Workload
	rng := rand.New(rand.NewPCG(l.opts.Seed, uint64(class)))
	meanGap := float64(w.meanJobSlotTime(class)) / (l.opts.Load * w.Classes[class].LoadShare * float64(w.slots()))
	sendAt := begin
	for {
		sendAt = sendAt.Add(time.Duration(rng.ExpFloat64() * meanGap))
		if sendAt.Sub(begin) >= l.opts.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(sendAt)):
		}
		a := w.newArrival(rng, class, sendAt, 0)
		a.job.ID = structs.NewJobID()
		a.job.DataCentre = l.opts.DataCentre
		for i := range a.job.Tasks {
			a.job.Tasks[i].Payload = json.RawMessage(fmt.Sprintf(`{"run_ms":%d}`, a.runTimes[i].Milliseconds()))
		}
		l.send(ctx, a, l.clients[rng.IntN(len(l.clients))])
	}
}

// send submits a job in its own goroutine.
func (l *loader) send(ctx context.Context, a *arrival, client *demo.Client) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.mu.Lock()
		l.result.NotSent++
		l.mu.Unlock()
		return
	}
	l.group.Go(func() {
		answer, err := client.Submit(ctx, &a.job)
		elapsed := time.Since(a.sent)
		<-l.inFlight
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case err != nil:
			l.result.Errors++
		case answer.JobID != a.job.ID:
			l.result.WrongID++
		default:
			l.result.record(&trackedJob{arrival: a, measured: true}, &answer, elapsed)
		}
	})
}
