package main

import (
	"context"
	"time"
)

// playReturned: a start is left unanswered and carried out late; meanwhile its runner
// crashes and starts again under its id. No task may run on two runners at the same
// time.
func playReturned(ctx context.Context, p *play) error {
	const (
		work      = 6 * time.Second
		late      = 3200 * time.Millisecond // the sheets have 2 to 12 s
		crashAt   = 1 * time.Second         // after the start was sent
		downTime  = 1600 * time.Millisecond
		otherJobs = 25 // so that the late order is one of many
	)
	id := jobID(1)
	p.fleet.workTime = func(task string, _ int, _ time.Duration) (time.Duration, string) {
		if jobOf(task) == id {
			return work, "done"
		}
		return 200 * time.Millisecond, "done"
	}
	labels := [][]string{{"b", "rack-1"}, {"b", "rack-1"}}
	for range 6 {
		labels = append(labels, []string{"a", "rack-2"})
	}
	p.firstReport = heartbeatInterval
	if err := p.begin(ctx, 3, labels); err != nil {
		return err
	}
	caller := newClient(p.rec, "client")
	target := p.runners[0]
	if p.trouble {
		target.mu.Lock()
		target.lateStart = late
		target.mu.Unlock()
	}
	step := map[string]any{"count": 1, "cpu": 14000, "mem-mb": 64, "estimated-ms": work.Milliseconds(), "requirements": "b"}
	p.store(ctx, caller, p.gateways[0], id, step)
	go func() {
		other := map[string]any{"count": 2, "cpu": 14000, "mem-mb": 64, "estimated-ms": 200, "requirements": "a"}
		for i := range otherJobs {
			p.store(ctx, newClient(p.rec, "client"), p.gateways[1], jobID(10+i), other)
			_ = sleep(ctx, 200*time.Millisecond)
		}
	}()
	if p.trouble {
		if err := sleep(ctx, crashAt); err != nil {
			return err
		}
		target.crash()
		if err := sleep(ctx, downTime); err != nil {
			return err
		}
		target.mu.Lock()
		target.keepsID = true
		target.mu.Unlock()
		if err := target.boot(); err != nil {
			return err
		}
	}
	for state := ""; state != "completed" && state != "failed"; {
		if err := sleep(ctx, 500*time.Millisecond); err != nil {
			return err
		}
		_, state = p.state(ctx, caller, id)
	}
	p.checkSameTime(id)
	return nil
}

// checkSameTime reports runs of one task of a job at the same time.
func (p *play) checkSameTime(id string) {
	runs := p.fleet.of(id)
	for i, a := range runs {
		for _, b := range runs[:i] {
			if a.task == b.task && (b.ended < 0 || a.started < b.ended) && (a.ended < 0 || b.started < a.ended) {
				p.violate("TWICE: %s runs at the same time as run %d on %s since %.3f and as run %d on %s since %.3f",
					a.task, b.run, b.runner, b.started.Seconds(), a.run, a.runner, a.started.Seconds())
			}
		}
	}
}
