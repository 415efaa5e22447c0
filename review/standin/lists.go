package main

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playLists: the path from a runner is cut for a moment while it has more ends to list
// than it returns at a time. A job may only be shown as completed when all its tasks
// have ended as done.
func playLists(ctx context.Context, p *play) error {
	const (
		tasks     = 130 // of each of the jobs that end at the same moment
		mostJobs  = 6
		lateTasks = 16
		cpu       = 40
		length    = 6 * time.Second // until they end
		cutTime   = 300 * time.Millisecond
	)
	late := jobID(90)
	var first time.Duration
	var mu sync.Mutex
	p.fleet.workTime = func(task string, _ int, now time.Duration) (time.Duration, string) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case strings.HasPrefix(task, jobID(80)+"."):
			return 12 * time.Second, "done"
		case strings.HasPrefix(task, late+"."):
			index, _ := strconv.Atoi(task[strings.LastIndex(task, ".")+1:])
			if index < 6 || index == lateTasks-1 {
				return 100 * time.Millisecond, "done"
			}
			return 3*time.Second + time.Duration(index)*400*time.Millisecond, "done"
		}
		if first == 0 {
			first = now
		}
		return max(first+length-now, 50*time.Millisecond), "done"
	}
	labels := make([][]string, 6)
	for i := range labels {
		labels[i] = []string{"a", "rack-1"}
	}
	if err := p.begin(ctx, 3, labels); err != nil {
		return err
	}
	caller := newClient(p.rec, "client")
	p.store(ctx, caller, p.gateways[0], jobID(80), map[string]any{"count": 2, "cpu": cpu, "mem-mb": 16, "estimated-ms": 12000})
	busiest := p.runners[0]
	for i := 0; i < mostJobs && busiest.count() <= listedEnds+5; i++ {
		id := jobID(i)
		p.store(ctx, caller, p.gateways[0], id, map[string]any{"count": tasks, "cpu": cpu, "mem-mb": 16, "estimated-ms": 4000})
		for p.fleet.working(id) < tasks {
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return err
			}
		}
		busiest = p.busiest()
	}
	mu.Lock()
	end := first + length
	mu.Unlock()
	if err := sleep(ctx, end-60*time.Millisecond-p.rec.now()); err != nil {
		return err
	}
	p.rec.add("runner %s has %d runs", busiest.name, busiest.count())
	if p.trouble {
		busiest.holdResponses()
		time.AfterFunc(cutTime, busiest.releaseResponses)
	}
	if err := sleep(ctx, 5*time.Millisecond); err != nil {
		return err
	}
	p.store(ctx, caller, p.gateways[0], late, map[string]any{"count": lateTasks, "cpu": cpu, "mem-mb": 16, "estimated-ms": 3000})
	for state := ""; state != "completed"; {
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
		_, state = p.state(ctx, caller, late)
		if done := p.doneTasks(late); state == "completed" && done < lateTasks {
			p.violate("MIXED: job %s is shown as completed, %d of its %d tasks have ended as done", late, done, lateTasks)
		}
	}
	p.checkTwice()
	return sleep(ctx, 3*time.Second)
}

// checkTwice records, without a judgement, the starts of tasks whose end as done was
// taken note of.
func (p *play) checkTwice() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for _, a := range p.fleet.starts {
		for _, b := range p.fleet.starts {
			if a.task == b.task && a != b && a.how == "done" && a.noted && b.started > a.ended {
				p.rec.add("task %s: run %d ended as done at %.3f and was taken note of, run %d started at %.3f on %s",
					a.task, a.run, a.ended.Seconds(), b.run, b.started.Seconds(), b.runner)
			}
		}
	}
}
