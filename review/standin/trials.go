package main

import (
	"context"
	"sync"
	"time"
)

// playTrials: a runner crashes once, with the tasks of some stored jobs at work.
// finish_s after the end of the traffic no job may have nothing running for 3 s while
// the turn of its tasks has come and most of the service is idle.
func playTrials(ctx context.Context, p *play) error {
	const (
		jobs     = 5
		tasks    = 12
		cpu      = 500
		work     = 1500 * time.Millisecond
		idleTime = 3 * time.Second // of the rule
		observed = 8 * time.Second
	)
	p.fleet.workTime = func(string, int, time.Duration) (time.Duration, string) { return work, "done" }
	labels := make([][]string, 8)
	for i := range labels {
		labels[i] = []string{"a", "rack-1"}
	}
	if err := p.begin(ctx, 3, labels); err != nil {
		return err
	}
	step := map[string]any{"count": tasks, "cpu": cpu, "mem-mb": 64, "estimated-ms": work.Milliseconds()}
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() { p.store(ctx, newClient(p.rec, "client"), p.gateways[0], jobID(i), step) })
	}
	clients.Wait()
	trafficEnd := p.rec.now()
	if err := sleep(ctx, 700*time.Millisecond); err != nil {
		return err
	}
	if p.trouble {
		busiest := p.busiest()
		busiest.crash()
		if err := sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		if err := busiest.boot(); err != nil {
			return err
		}
	}
	if err := sleep(ctx, trafficEnd+finishS*time.Second-p.rec.now()); err != nil {
		return err
	}
	idleSince := map[int]time.Duration{}
	reported := map[int]bool{}
	for end := p.rec.now() + observed; p.rec.now() < end; {
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
		running := 0
		for i := range jobs {
			running += p.fleet.working(jobID(i))
		}
		for i := range jobs {
			now := p.rec.now()
			open := tasks - p.doneTasks(jobID(i))
			// Capacity for the waiting tasks twice over, and under half of it in use.
			room := running*cpu < len(p.runners)*32000/2 && 2*open*cpu <= len(p.runners)*32000-running*cpu
			if open == 0 || !room || p.fleet.working(jobID(i)) > 0 {
				delete(idleSince, i)
				continue
			}
			if _, idle := idleSince[i]; !idle {
				idleSince[i] = now
			}
			if now-idleSince[i] >= idleTime && !reported[i] {
				reported[i] = true
				p.violate("LOST: job %s has had nothing running for %s, %d of its %d tasks are not done, %d tasks run in the whole service of %d runners",
					jobID(i), now-idleSince[i], open, tasks, running, len(p.runners))
			}
		}
	}
	caller := newClient(p.rec, "client")
	for i := range jobs {
		p.state(ctx, caller, jobID(i))
	}
	return nil
}

// busiest returns the runner with the most runs.
func (p *play) busiest() *runner {
	best, most := p.runners[0], -1
	for _, r := range p.runners {
		if count := r.count(); count > most {
			best, most = r, count
		}
	}
	return best
}

// doneTasks returns how many tasks of a job have a run that has ended as done.
func (p *play) doneTasks(id string) int {
	done := map[string]bool{}
	for _, s := range p.fleet.of(id) {
		if s.how == "done" {
			done[s.task] = true
		}
	}
	return len(done)
}
