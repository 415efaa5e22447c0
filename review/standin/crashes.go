package main

import (
	"context"
	"time"
)

// playCrashes: a runner crashes twice for reasons of its own while a stored job's task
// is at work on it. The job may only be shown as failed after max-attempts runs of a
// task have ended as failed.
func playCrashes(ctx context.Context, p *play) error {
	const (
		maxAttempts = 3
		work        = 5 * time.Second
		downTime    = 2 * time.Second // of a crash; the sheets have up to 4.5 s
	)
	p.fleet.workTime = func(string, int, time.Duration) (time.Duration, string) { return work, "done" }
	labels := [][]string{{"b", "rack-1"}}
	for range 7 {
		labels = append(labels, []string{"a", "rack-2"})
	}
	if err := p.begin(ctx, maxAttempts, labels); err != nil {
		return err
	}
	caller := newClient(p.rec, "client")
	step := map[string]any{"count": 1, "cpu": 14000, "mem-mb": 64, "estimated-ms": work.Milliseconds(), "requirements": "b"}
	other := map[string]any{"count": 2, "cpu": 14000, "mem-mb": 64, "estimated-ms": work.Milliseconds(), "requirements": "a"}
	id := jobID(1)
	p.store(ctx, caller, p.gateways[0], id, step)
	p.store(ctx, caller, p.gateways[1], jobID(2), other)
	if p.trouble {
		for range 2 {
			if err := p.awaitWorking(ctx, id); err != nil {
				return err
			}
			if err := sleep(ctx, 2*time.Second); err != nil {
				return err
			}
			p.runners[0].crash()
			if err := sleep(ctx, downTime); err != nil {
				return err
			}
			if err := p.runners[0].boot(); err != nil {
				return err
			}
		}
	}
	for _, job := range []string{id, jobID(2)} {
		state := ""
		for state != "completed" && state != "failed" {
			if err := sleep(ctx, 500*time.Millisecond); err != nil {
				return err
			}
			_, state = p.state(ctx, caller, job)
		}
		failures := 0
		for _, s := range p.fleet.of(job) {
			if s.how == "failed" {
				failures++
			}
		}
		if state == "failed" && failures < maxAttempts {
			p.violate("LOST: job %s is shown as failed; %d runs of its tasks ended as failed, max-attempts is %d", job, failures, maxAttempts)
		}
	}
	return nil
}

// awaitWorking waits until a run of the job is at work.
func (p *play) awaitWorking(ctx context.Context, id string) error {
	for p.fleet.working(id) == 0 {
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
