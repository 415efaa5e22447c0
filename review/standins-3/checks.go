package main

import (
	"fmt"
	"time"
)

// checkStart checks the rules that a start may break. The caller holds the locks.
func (f *fleet) checkStart(e *execution) {
	t := f.task(e.task)
	if t.job == nil || t.step >= len(t.job.steps) || t.index >= t.job.steps[t.step].Count {
		f.record.violate("UNASKED", "%s was not sent by a client", e.task)
		return
	}
	s := &t.job.steps[t.step]
	var used int64
	same := 0
	for _, other := range e.runner.runs {
		o := f.task(other.task)
		if o.job != nil {
			used += o.job.steps[o.step].CPU
			if o.job == t.job && o.step == t.step {
				same++
			}
		}
	}
	if used > e.runner.cpu {
		f.record.violate("LIMIT", "runner %s has %d of %d after the start of %s", e.runner.id, used, e.runner.cpu, e.task)
	}
	if s.AntiAffinity > 0 && same > s.AntiAffinity {
		f.record.violate("ROUTE", "runner %s runs %d tasks of step %d of job %s, anti-affinity %d", e.runner.id, same, t.step, t.job.id, s.AntiAffinity)
	}
	for _, other := range f.executions[t.job.id] {
		if other == e || other.task != e.task {
			continue
		}
		if other.ended == 0 {
			f.record.violate("TWICE", "%s run %d starts on %s while run %d is on %s", e.task, e.run, e.runner.id, other.run, other.runner.id)
		}
	}
	for _, earlier := range s.After {
		for index := range t.job.steps[earlier].Count {
			name := fmt.Sprintf("%s.0.%d.%d", t.job.id, earlier, index)
			if !f.isDone(name) {
				f.record.violate("ORDER", "%s starts before %s is done", e.task, name)
			}
		}
	}
}

const (
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // for which an accepted job may have nothing running
)

// watchLost checks from finish_s after the end of the traffic that each accepted job has
// a run or has ended, and is not idle for 3 s while there is room for it. It returns when
// all jobs have ended, or at the limit. The steps of a job need the same room.
func (f *fleet) watchLost(jobs []*job, trafficEnd, limit time.Duration) {
	idleSince := map[string]time.Duration{}
	lost := map[string]bool{}
	for f.record.now() < limit {
		open := 0
		now := f.record.now()
		for _, j := range jobs {
			if j.accepted == 0 || f.jobDone(j) {
				continue
			}
			open++
			if len(f.runsOf(j.id)) > 0 || !f.hasRoom(&j.steps[0]) || now < trafficEnd+finishTime {
				delete(idleSince, j.id)
				continue
			}
			since, idle := idleSince[j.id]
			if !idle {
				idleSince[j.id] = now
			} else if now-since >= idleTime && !lost[j.id] {
				lost[j.id] = true
				f.record.violate("LOST", "job %s has had nothing running for 3 s, %.1f s after the end of the traffic", j.id, (now - trafficEnd).Seconds())
			}
		}
		if open == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) jobDone(j *job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for index := range j.steps {
		for task := range j.steps[index].Count {
			if !f.isDone(fmt.Sprintf("%s.0.%d.%d", j.id, index, task)) {
				return false
			}
		}
	}
	return true
}

// hasRoom reports whether there is room for a task twice over, and under half of the
// capacity is in use.
func (f *fleet) hasRoom(s *step) bool {
	var used, total int64
	fits := 0
	for _, r := range f.runners {
		r.mu.Lock()
		if r.up {
			var here int64
			for _, e := range r.runs {
				f.mu.Lock()
				t := f.task(e.task)
				f.mu.Unlock()
				here += t.job.steps[t.step].CPU
			}
			used += here
			total += r.cpu
			fits += int((r.cpu - here) / s.CPU)
		}
		r.mu.Unlock()
	}
	return fits >= 2 && 2*used < total
}

// checkTwice checks that no task of a kept job starts after one of its runs has ended
// done, if that end is taken note of and the runner's lease has not lapsed between the two.
func (f *fleet) checkTwice() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, executions := range f.executions {
		for _, e := range executions {
			if t := f.task(e.task); e.how != "done" || e.noted == 0 || e.lapsed || t.job == nil || t.job.bestEffort {
				continue
			}
			for _, other := range executions {
				if other.task == e.task && other.started > e.ended {
					f.record.violate("TWICE", "%s run %d starts %.3f s after run %d has ended done, which is taken note of %.3f s after that end",
						e.task, other.run, (other.started - e.ended).Seconds(), e.run, (e.noted - e.ended).Seconds())
				}
			}
		}
	}
}
