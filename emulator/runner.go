package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hawthornshore.example/placement"
)

// Runner emulates a target that is called by coordinators: it runs tasks under
// one lease, keeps the highest fencing token, lists runs and ends, and does not
// enforce its capacity. It has no clock; callers pass the time, which must not
// decrease. A Runner is not safe for concurrent use.
type Runner struct {
	Description     placement.Description
	options         RunnerOptions
	token           uint64
	leaseEnd        time.Duration // end of the current lease
	runs            map[runKey]*activeRun
	unackedEnds     []placement.EndedEntry
	listedEnds      int            // ended runs in a list at most
	lastEnd         uint64         // sequence number of the last end
	highestRun      map[string]int // by task: highest run number that ended or was stopped
	endedAt         map[uint64]time.Duration
	expiredLeaseEnd time.Duration // end of the last lease that expired
	clockZero       time.Duration // when this boot's clock was at 0
	clockRate       float64       // of this boot's clock
	records         []RunRecord
	violations      []string
	crashAt         time.Duration // 0: no run crashes the runner
}

// RunRecord is a run that has ended.
type RunRecord struct {
	Task           string
	Started, Ended time.Duration
	Kind           placement.EndKind
}

// Records returns the runs that have ended so far.
func (r *Runner) Records() []RunRecord { return slices.Clone(r.records) }

// listedEnds is how many ended runs a list has at most, unless it is limited further.
const listedEnds = 500

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Lease    time.Duration // maximum
	StopTime time.Duration // from a stop order to the end of the run
	// Work returns how long a run takes, and whether it then fails.
	Work func(task string, run int) (time.Duration, bool)
	// Need returns the resources that a task uses.
	Need func(task string) placement.Resources
	// Conditions returns what the step of a task demands of a target; nil: nothing.
	Conditions func(task string) Conditions
	// Percent returns the progress to list for a share of a run's work; nil: always 0.
	Percent func(share float64) int
	// OnStart is called at the start of each run, OnEndAcked for each end that is
	// acknowledged before the lease expires. Either may be nil.
	OnStart    func(now time.Duration, task string)
	OnEndAcked func(end placement.EndedEntry, ended time.Duration)
	// CrashAfter returns how long after its start a task crashes the runner, or false. It
	// may be nil.
	CrashAfter func(task string) (time.Duration, bool)
}

// Conditions are demands of a step on the target of a task.
type Conditions struct {
	Label     string // that the target must have; empty: none
	PerTarget int    // most tasks of the step on one target; 0: no limit
}

type runKey struct {
	task string
	run  int
}

type activeRun struct {
	started time.Duration
	work    time.Duration
	endsAt  time.Duration
	kind    placement.EndKind // at endsAt
}

// NewRunner returns a runner without runs.
func NewRunner(description placement.Description, options RunnerOptions) *Runner {
	return &Runner{
		Description: description, options: options, clockRate: 1, listedEnds: listedEnds,
		runs: map[runKey]*activeRun{}, highestRun: map[string]int{}, endedAt: map[uint64]time.Duration{},
	}
}

// LimitListedEnds limits the number of ended runs in a list.
func (r *Runner) LimitListedEnds(most int) { r.listedEnds = most }

// Violations returns the violations of the runner's capacity and of steps' conditions.
func (r *Runner) Violations() []string { return r.violations }

// Advance ends the runs that are due at the given time.
func (r *Runner) Advance(now time.Duration) {
	for _, key := range r.sortedKeys() {
		run := r.runs[key]
		switch {
		case r.leaseEnd < now && r.leaseEnd < run.endsAt:
			r.recordEnd(key, placement.EndLeaseExpired)
		case run.endsAt <= now:
			r.recordEnd(key, run.kind)
		}
	}
}

// NextEnd returns when the next run ends, or false if there are no runs.
func (r *Runner) NextEnd() (time.Duration, bool) {
	if len(r.runs) == 0 {
		return 0, false
	}
	next := r.leaseEnd + 1
	for _, run := range r.runs {
		next = min(next, run.endsAt)
	}
	return next, true
}

// RunningTasks returns the tasks of the current runs.
func (r *Runner) RunningTasks() []string {
	var tasks []string
	for _, key := range r.sortedKeys() {
		tasks = append(tasks, key.task)
	}
	return tasks
}

// HasEndsAfter reports whether there are ends with a higher sequence number.
func (r *Runner) HasEndsAfter(number uint64) bool { return r.lastEnd > number }

func (r *Runner) sortedKeys() []runKey {
	keys := make([]runKey, 0, len(r.runs))
	for key := range r.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		if a.task < b.task || a.task == b.task && a.run < b.run {
			return -1
		}
		return 1
	})
	return keys
}

func (r *Runner) recordEnd(key runKey, kind placement.EndKind) {
	run := r.runs[key]
	delete(r.runs, key)
	r.records = append(r.records, RunRecord{
		Task: key.task, Started: run.started, Ended: min(run.endsAt, max(r.leaseEnd, run.started)), Kind: kind,
	})
	r.lastEnd++
	r.highestRun[key.task] = max(r.highestRun[key.task], key.run)
	r.unackedEnds = append(r.unackedEnds, placement.EndedEntry{Number: r.lastEnd, Task: key.task, Run: key.run, Kind: kind})
	r.endedAt[r.lastEnd] = min(run.endsAt, max(r.leaseEnd, run.started))
}

// ackEnds drops the ends up to the given sequence number and reports those that
// were acknowledged within the lease.
func (r *Runner) ackEnds(now time.Duration, acked uint64) {
	for _, e := range r.unackedEnds {
		if ended := r.endedAt[e.Number]; e.Number <= acked && r.leaseEnd >= now && r.expiredLeaseEnd < ended && r.options.OnEndAcked != nil {
			r.options.OnEndAcked(e, ended)
		}
	}
	r.unackedEnds = slices.DeleteFunc(r.unackedEnds, func(e placement.EndedEntry) bool { return e.Number <= acked })
}

// acceptToken rejects an order with an outdated fencing token.
func (r *Runner) acceptToken(token uint64) bool {
	if token < r.token {
		return false
	}
	r.token = token
	return true
}

// ClockMS returns the runner's clock at a time.
func (r *Runner) ClockMS(now time.Duration) int64 {
	return time.Duration(float64(now-r.clockZero) * r.clockRate).Milliseconds()
}

// atClock returns the time at which the runner's clock shows a value.
func (r *Runner) atClock(clockMS int64) time.Duration {
	return r.clockZero + time.Duration(float64(time.Duration(clockMS)*time.Millisecond)/r.clockRate)
}

// response returns a response without the boot, which only lists of runs carry.
func (r *Runner) response(now time.Duration, order uint64, result placement.Result) placement.OrderResponse {
	return placement.OrderResponse{Order: order, Result: result, ClockMS: r.ClockMS(now)}
}

func (r *Runner) extendLease(now time.Duration, expiresMS int64) {
	if r.leaseEnd < now {
		r.expiredLeaseEnd = r.leaseEnd
	}
	expires := min(r.atClock(expiresMS), now+time.Duration(float64(r.options.Lease)/r.clockRate))
	r.leaseEnd = max(r.leaseEnd, expires)
}

// Start executes a start order.
func (r *Runner) Start(now time.Duration, o *placement.StartOrder) placement.OrderResponse {
	r.Advance(now)
	key := runKey{o.Task, o.Run}
	switch {
	case !r.acceptToken(o.Token):
		return r.response(now, o.Order, placement.Fenced)
	case o.ExpiresMS <= r.ClockMS(now):
		return r.response(now, o.Order, placement.LeaseExpired)
	}
	r.extendLease(now, o.ExpiresMS)
	if r.runs[key] != nil {
		return r.response(now, o.Order, placement.OK)
	}
	if o.Run <= r.highestRun[o.Task] {
		return r.response(now, o.Order, placement.Stale)
	}
	r.checkCapacity(o.Task)
	r.checkConditions(o.Task)
	work, fails := r.options.Work(o.Task, o.Run)
	run := &activeRun{started: now, work: work, endsAt: now + work}
	if fails {
		run.kind = placement.EndFailed
	}
	r.runs[key] = run
	r.noteCrash(now, o.Task)
	if r.options.OnStart != nil {
		r.options.OnStart(now, o.Task)
	}
	return r.response(now, o.Order, placement.OK)
}

// checkCapacity records a violation if a start exceeds the runner's capacity.
func (r *Runner) checkCapacity(task string) {
	used := r.options.Need(task)
	for key := range r.runs {
		used = used.Add(r.options.Need(key.task))
	}
	if !used.Fits(r.Description.Capacity) {
		r.violations = append(r.violations, fmt.Sprintf("%s: start of task %s exceeds the capacity", r.Description.ID, task))
	}
}

// checkConditions records a violation if a start breaks a condition of its step.
func (r *Runner) checkConditions(task string) {
	if r.options.Conditions == nil {
		return
	}
	conditions := r.options.Conditions(task)
	if label := conditions.Label; label != "" && !slices.Contains(r.Description.Labels, label) {
		r.violations = append(r.violations, fmt.Sprintf("%s: task %s starts without label %s", r.Description.ID, task, label))
	}
	if conditions.PerTarget == 0 {
		return
	}
	step := task[:strings.LastIndexByte(task, '.')+1]
	count := 1
	for key := range r.runs {
		if strings.HasPrefix(key.task, step) {
			count++
		}
	}
	if count > conditions.PerTarget {
		r.violations = append(r.violations, fmt.Sprintf("%s: runs %d tasks of step %s, limit %d", r.Description.ID, count, step, conditions.PerTarget))
	}
}

// Stop executes a stop order.
func (r *Runner) Stop(now time.Duration, o *placement.StopOrder) placement.OrderResponse {
	r.Advance(now)
	if !r.acceptToken(o.Token) {
		return r.response(now, o.Order, placement.Fenced)
	}
	r.highestRun[o.Task] = max(r.highestRun[o.Task], o.Run)
	if run := r.runs[runKey{o.Task, o.Run}]; run != nil && now+r.options.StopTime < run.endsAt {
		run.endsAt, run.kind = now+r.options.StopTime, placement.EndStopped
	}
	return r.response(now, o.Order, placement.OK)
}

// Poll executes a poll order without its wait.
func (r *Runner) Poll(now time.Duration, o *placement.PollOrder) placement.OrderResponse {
	r.Advance(now)
	if !r.acceptToken(o.Token) {
		return r.response(now, o.Order, placement.Fenced)
	}
	r.ackEnds(now, o.AckedEnd)
	if o.ExpiresMS > 0 {
		r.extendLease(now, o.ExpiresMS)
	}
	response := r.response(now, o.Order, placement.OK)
	response.BootUnixMS = r.Description.BootUnixMS
	for _, key := range r.sortedKeys() {
		response.Running = append(response.Running, placement.RunningEntry{Task: key.task, Run: key.run, Percent: r.percent(now, r.runs[key])})
	}
	listed := min(len(r.unackedEnds), r.listedEnds)
	response.Ended = slices.Clone(r.unackedEnds[:listed])
	response.EndsTruncated = listed == r.listedEnds
	return response
}

func (r *Runner) percent(now time.Duration, run *activeRun) int {
	if r.options.Percent == nil || run.work <= 0 {
		return 0
	}
	return r.options.Percent(float64(now-run.started) / float64(run.work))
}

// Restart emulates a new boot under the same ID: all runs and all state of the
// previous boot are lost.
func (r *Runner) Restart(bootUnixMS int64) {
	r.Description.BootUnixMS, r.Description.Sequence = bootUnixMS, 0
	r.token, r.leaseEnd, r.lastEnd, r.unackedEnds, r.expiredLeaseEnd = 0, 0, 0, nil, 0
	r.runs, r.highestRun, r.crashAt = map[runKey]*activeRun{}, map[string]int{}, 0
}

// Reboot emulates a crash and a new boot under the same ID, whose clock starts anew
// and runs at a rate.
func (r *Runner) Reboot(now time.Duration, bootUnixMS int64, clockRate float64) {
	r.Restart(bootUnixMS)
	r.clockZero, r.clockRate = now, clockRate
}
