package main

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playBacklog: many stored jobs wait for the one runner of their kind. A machine that
// serves control loses its disk and comes back. A job that is accepted later, and for
// which most runners are idle, has to run.
func playBacklog(ctx context.Context, p *play) error {
	const (
		waitingJobs = 5600
		specBytes   = 4000                 // the most that a spec may have
		interval    = 4 * time.Millisecond // between two jobs
		callers     = 32
		downTime    = 3 * time.Second
		laterJobs   = 20
		work        = 1 * time.Second
	)
	p.fleet.workTime = func(string, int, time.Duration) (time.Duration, string) { return work, "done" }
	labels := [][]string{{"b", "rack-1"}}
	for range 7 {
		labels = append(labels, []string{"a", "rack-2"})
	}
	if err := p.begin(ctx, 3, labels); err != nil {
		return err
	}
	spec := strings.Repeat("x", specBytes)
	var next, accepted atomic.Int64
	var clients sync.WaitGroup
	begin := p.rec.now()
	for i := range callers {
		clients.Go(func() {
			c := newClient(p.rec, "client")
			for n := next.Add(1); n <= waitingJobs && ctx.Err() == nil; n = next.Add(1) {
				_ = sleep(ctx, begin+time.Duration(n)*interval-p.rec.now())
				if p.storeSpec(ctx, c, p.gateways[i%2], jobID(1000+int(n)), spec, map[string]any{
					"count": 1, "cpu": 14000, "mem-mb": 64, "estimated-ms": work.Milliseconds(), "requirements": "b",
				}) {
					accepted.Add(1)
				}
			}
		})
	}
	clients.Wait()
	p.rec.add("%d jobs of %d bytes wait", accepted.Load(), specBytes)
	if p.trouble {
		if err := p.loseDisk(ctx, p.coordinators[1], downTime); err != nil {
			return err
		}
	}
	if err := sleep(ctx, 8*time.Second); err != nil { // contact-ms and catch-up-s are over
		return err
	}
	caller := newClient(p.rec, "client")
	step := map[string]any{"count": 2, "cpu": 14000, "mem-mb": 64, "estimated-ms": work.Milliseconds(), "requirements": "a"}
	for i := range laterJobs {
		if !p.store(ctx, caller, p.gateways[1], jobID(i), step) {
			p.rec.add("job %s was not accepted", jobID(i))
		}
	}
	if err := sleep(ctx, finishS*time.Second); err != nil {
		return err
	}
	for i := range laterJobs {
		id := jobID(i)
		status, state := p.state(ctx, caller, id)
		if len(p.fleet.of(id)) == 0 {
			p.violate("LOST: job %s was accepted, is answered %d %q %d s after the end of the traffic and has never run; the runners of its kind are idle", id, status, state, finishS)
		}
	}
	return nil
}
