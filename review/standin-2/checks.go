package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// runsOf returns all runs of the runners, by task, in the order of their starts.
func (c *cluster) runsOf() map[string][]run {
	byTask := map[string][]run{}
	for _, r := range c.runners {
		for _, one := range r.snapshot() {
			byTask[one.key.task] = append(byTask[one.key.task], one)
		}
	}
	for _, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].started.Before(runs[j].started) })
	}
	return byTask
}

// twice returns the breaks of TWICE: two runs of a task at the same time, or, for stored
// jobs, a start after a run has ended as done whose end is taken note of.
func (c *cluster) twice(jobs map[string]*job) []string {
	var breaks []string
	for task, runs := range c.runsOf() {
		j := jobs[jobOf(task)]
		for i := range runs {
			for k := i + 1; k < len(runs); k++ {
				first, second := &runs[i], &runs[k]
				if first.ended.IsZero() || second.started.Before(first.ended) {
					breaks = append(breaks, fmt.Sprintf("TWICE: %s runs on %s (run %d) and %s (run %d) at the same time, from %s",
						task, first.runner, first.key.run, second.runner, second.key.run, c.at(second.started)))
				} else if j != nil && !j.bestEffort && first.how == "done" && !first.ackedAt.IsZero() && !first.lapsed {
					breaks = append(breaks, fmt.Sprintf("TWICE: %s starts on %s at %s after its end on %s at %s was taken note of",
						task, second.runner, c.at(second.started), first.runner, c.at(first.ended)))
				}
			}
		}
	}
	return breaks
}

// limit returns the breaks of LIMIT: starts that exceed the capacity of a runner.
func (c *cluster) limit(cpuOf func(task string) int64) []string {
	var breaks []string
	for _, r := range c.runners {
		runs := r.snapshot()
		for i := range runs {
			used := cpuOf(runs[i].key.task)
			for k := range runs {
				if k != i && !runs[k].started.After(runs[i].started) && (runs[k].ended.IsZero() || runs[k].ended.After(runs[i].started)) {
					used += cpuOf(runs[k].key.task)
				}
			}
			if used > r.options.cpu {
				breaks = append(breaks, fmt.Sprintf("LIMIT: start of %s on %s at %s: %d of %d", runs[i].key.task, r.options.id, c.at(runs[i].started), used, r.options.cpu))
			}
		}
	}
	return breaks
}

func (c *cluster) at(t time.Time) string {
	return fmt.Sprintf("%.3f s", t.Sub(c.record.start).Seconds())
}

// idleFor watches the runners for a time and returns the stored jobs of which nothing has
// run in it, and the largest part of the runners' CPU that was in use.
func (c *cluster) idleFor(jobs []*job, length time.Duration, cpuOf func(task string) int64) (idle []*job, usedShare float64) {
	began := time.Now()
	ran := map[string]bool{}
	for time.Since(began) < length {
		var used, capacity int64
		for _, r := range c.runners {
			if r.isDown() {
				continue
			}
			capacity += r.options.cpu
			for _, task := range r.runningTasks() {
				ran[jobOf(task)] = true
				used += cpuOf(task)
			}
		}
		usedShare = max(usedShare, float64(used)/float64(max(capacity, 1)))
		time.Sleep(20 * time.Millisecond)
	}
	for _, j := range jobs {
		if !ran[j.id] {
			idle = append(idle, j)
		}
	}
	return idle, usedShare
}

func (r *runner) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// unfinished asks for the states of jobs and returns those that have not ended.
func (c *cluster) unfinished(jobs []*job) []*job {
	var open []*job
	for i, j := range jobs {
		state := c.get(j, c.edges[i%len(c.edges)])
		if state != "completed" && state != "failed" && state != "cancelled" {
			open = append(open, j)
		}
	}
	return open
}

func contains(text, part string) bool { return strings.Contains(text, part) }
