package emulator

import (
	"fmt"
	"slices"
	"time"

	"hawthornshore.example/placement"
)

// Runner emulates a target that is called by coordinators: it runs tasks under
// one lease, keeps the highest fencing token, lists runs and ends, and does not
// guard its capacity. It has no clock of its own; callers pass the time, which
// must not go back. A Runner is owned by one goroutine.
type Runner struct {
	Description placement.Description
	options     RunnerOptions
	token       uint64
	lease       time.Duration // end of the lease
	runs        map[runnerKey]*runnerRun
	ended       []placement.EndedEntry
	ends        uint64         // number of the last end
	highest     map[string]int // highest run of a task that ended or was stopped here
	endedAt     map[uint64]time.Duration
	lapsedAt    time.Duration // end of the last lease that was not extended in time
	records     []RunRecord
	violations  []string
}

// RunRecord is a run that has ended.
type RunRecord struct {
	Task           string
	Started, Ended time.Duration
	Kind           placement.EndKind
}

// Records returns the runs that have ended so far.
func (r *Runner) Records() []RunRecord { return slices.Clone(r.records) }

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Lease    time.Duration // longest one that is granted
	StopTime time.Duration // between a stop and the end
	// Work returns how long a run takes, and whether it then fails.
	Work func(task string, run int) (time.Duration, bool)
	// Need returns what a task takes of the capacity.
	Need func(task string) placement.Resources
	// OnStart is called at the start of each run, and OnEndAcked for each end that counts:
	// the target was told that it is known before its lease ended. Either may be nil.
	OnStart    func(now time.Duration, task string)
	OnEndAcked func(end placement.EndedEntry, ended time.Duration)
}

type runnerKey struct {
	task string
	run  int
}

type runnerRun struct {
	began time.Duration
	ends  time.Duration
	kind  placement.EndKind // at ends
}

// NewRunner returns a runner without runs.
func NewRunner(description placement.Description, options RunnerOptions) *Runner {
	return &Runner{
		Description: description, options: options,
		runs: map[runnerKey]*runnerRun{}, highest: map[string]int{}, endedAt: map[uint64]time.Duration{},
	}
}

// Violations returns the broken promises towards the runner so far.
func (r *Runner) Violations() []string { return r.violations }

// Advance ends what has ended by now.
func (r *Runner) Advance(now time.Duration) {
	for _, key := range r.keys() {
		run := r.runs[key]
		switch {
		case r.lease < now && r.lease < run.ends:
			r.end(key, placement.EndLeaseExpired)
		case run.ends <= now:
			r.end(key, run.kind)
		}
	}
}

// NextEnd returns when the next run ends; false if nothing runs.
func (r *Runner) NextEnd() (time.Duration, bool) {
	if len(r.runs) == 0 {
		return 0, false
	}
	next := r.lease + 1
	for _, run := range r.runs {
		next = min(next, run.ends)
	}
	return next, true
}

// RunningTasks returns the tasks that run.
func (r *Runner) RunningTasks() []string {
	var tasks []string
	for _, key := range r.keys() {
		tasks = append(tasks, key.task)
	}
	return tasks
}

// HasEndsAfter reports whether there are ends above a number.
func (r *Runner) HasEndsAfter(seen uint64) bool { return r.ends > seen }

func (r *Runner) keys() []runnerKey {
	keys := make([]runnerKey, 0, len(r.runs))
	for key := range r.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runnerKey) int {
		if a.task < b.task || a.task == b.task && a.run < b.run {
			return -1
		}
		return 1
	})
	return keys
}

func (r *Runner) end(key runnerKey, kind placement.EndKind) {
	run := r.runs[key]
	delete(r.runs, key)
	r.records = append(r.records, RunRecord{
		Task: key.task, Started: run.began, Ended: min(run.ends, max(r.lease, run.began)), Kind: kind,
	})
	r.ends++
	r.highest[key.task] = max(r.highest[key.task], key.run)
	r.ended = append(r.ended, placement.EndedEntry{Number: r.ends, Task: key.task, Run: key.run, Kind: kind})
	r.endedAt[r.ends] = min(run.ends, max(r.lease, run.began))
}

// note forgets the ends up to a number.
func (r *Runner) note(now time.Duration, seen uint64) {
	for _, e := range r.ended {
		if ended := r.endedAt[e.Number]; e.Number <= seen && r.lease >= now && r.lapsedAt < ended && r.options.OnEndAcked != nil {
			r.options.OnEndAcked(e, ended)
		}
	}
	r.ended = slices.DeleteFunc(r.ended, func(e placement.EndedEntry) bool { return e.Number <= seen })
}

// admit checks the fencing token of an order.
func (r *Runner) admit(token uint64) bool {
	if token < r.token {
		return false
	}
	r.token = token
	return true
}

func (r *Runner) clockMS(now time.Duration) int64 { return now.Milliseconds() }

func (r *Runner) answer(now time.Duration, order uint64, result placement.Result) placement.OrderResponse {
	return placement.OrderResponse{Order: order, Result: result, ClockMS: r.clockMS(now), BootUnixMS: r.Description.BootUnixMS}
}

func (r *Runner) extend(now time.Duration, expiresMS int64) {
	if r.lease < now {
		r.lapsedAt = r.lease
	}
	expires := min(time.Duration(expiresMS)*time.Millisecond, now+r.options.Lease)
	r.lease = max(r.lease, expires)
}

// Start carries a start out.
func (r *Runner) Start(now time.Duration, o *placement.StartOrder) placement.OrderResponse {
	r.Advance(now)
	key := runnerKey{o.Task, o.Run}
	switch {
	case !r.admit(o.Token):
		return r.answer(now, o.Order, placement.Fenced)
	case time.Duration(o.ExpiresMS)*time.Millisecond <= now:
		return r.answer(now, o.Order, placement.LeaseExpired)
	}
	r.extend(now, o.ExpiresMS)
	if r.runs[key] != nil {
		return r.answer(now, o.Order, placement.OK)
	}
	if o.Run <= r.highest[o.Task] {
		return r.answer(now, o.Order, placement.Stale)
	}
	r.checkRoom(o.Task)
	work, fails := r.options.Work(o.Task, o.Run)
	run := &runnerRun{began: now, ends: now + work}
	if fails {
		run.kind = placement.EndFailed
	}
	r.runs[key] = run
	if r.options.OnStart != nil {
		r.options.OnStart(now, o.Task)
	}
	return r.answer(now, o.Order, placement.OK)
}

// checkRoom notes a start that brings the runner over its capacity.
func (r *Runner) checkRoom(task string) {
	used := r.options.Need(task)
	for key := range r.runs {
		used = used.Add(r.options.Need(key.task))
	}
	if !used.Fits(r.Description.Capacity) {
		r.violations = append(r.violations, fmt.Sprintf("%s: task %s needs room beyond the capacity", r.Description.ID, task))
	}
}

// Stop carries a stop out.
func (r *Runner) Stop(now time.Duration, o *placement.StopOrder) placement.OrderResponse {
	r.Advance(now)
	if !r.admit(o.Token) {
		return r.answer(now, o.Order, placement.Fenced)
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if run := r.runs[runnerKey{o.Task, o.Run}]; run != nil && now+r.options.StopTime < run.ends {
		run.ends, run.kind = now+r.options.StopTime, placement.EndStopped
	}
	return r.answer(now, o.Order, placement.OK)
}

// Poll carries a look out, without its wait.
func (r *Runner) Poll(now time.Duration, o *placement.PollOrder) placement.OrderResponse {
	r.Advance(now)
	if !r.admit(o.Token) {
		return r.answer(now, o.Order, placement.Fenced)
	}
	r.note(now, o.AckedEnd)
	if o.ExpiresMS > 0 {
		r.extend(now, o.ExpiresMS)
	}
	answer := r.answer(now, o.Order, placement.OK)
	for _, key := range r.keys() {
		answer.Running = append(answer.Running, placement.RunningEntry{Task: key.task, Run: key.run})
	}
	answer.Ended = slices.Clone(r.ended)
	return answer
}

// Restart is the start of a new boot under the same ID: nothing runs, and
// nothing is known of before.
func (r *Runner) Restart(born int64) {
	r.Description.BootUnixMS, r.Description.Sequence = born, 0
	r.token, r.lease, r.ends, r.ended, r.lapsedAt = 0, 0, 0, nil, 0
	r.runs, r.highest = map[runnerKey]*runnerRun{}, map[string]int{}
}
