package placement

import (
	"strconv"
	"strings"
	"time"
)

// Caller identifies a submission at a gateway.
type Caller struct {
	Gateway string
	Ref     uint64
}

// Resources is an amount of a target's capacity.
type Resources struct {
	CPUMillis int64 // thousandths of a core
	MemoryMB  int64
	GPUs      int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMillis + o.CPUMillis, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Fits reports whether r fits into the free resources.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMillis <= free.CPUMillis && r.MemoryMB <= free.MemoryMB && r.GPUs <= free.GPUs
}

// Step is a group of tasks of the same kind.
type Step struct {
	Count       int
	Need        Resources
	Expected    time.Duration // the caller's rough estimate of a task's run time
	After       []int         // earlier steps whose tasks have to be done first
	Requirement string        // label that the target must have; empty: none
	Rack        string        // rack of the data; empty: none
	PerTarget   int           // most tasks of the step on one target; 0: no limit
}

// Job is what a caller submits.
type Job struct {
	ID          string
	Queue       string
	Service     string // whose targets may run the tasks
	Spec        string
	Priority    int // 0 comes first
	MaxAttempts int
	Stretch     float64       // factor of the critical path in the objective
	Allowance   time.Duration // added to the objective
	Budget      time.Duration // how long the caller waits; 0: unknown
	Stored      bool          // kept in the log; outlives its caller and its home
	Steps       []Step
	// DocumentVersion is the version of the operators' document that Service, Priority,
	// Stretch and Allowance are from.
	DocumentVersion uint64
}

// criticalPath returns the estimated length of the longest chain of tasks.
func (j *Job) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, earlier := range j.Steps[i].After {
			start = max(start, ends[earlier])
		}
		ends[i] = start + j.Steps[i].Expected
		longest = max(longest, ends[i])
	}
	return longest
}

// maxObjective keeps sums with the time of submission within a Duration.
const maxObjective = 365 * 24 * time.Hour

// objective returns the time after its submission within which the job should end.
func (j *Job) objective() time.Duration {
	return time.Duration(min(j.Stretch*float64(j.criticalPath()), float64(maxObjective))) + j.Allowance
}

// StartTimeout returns how long the job may wait for its first start.
func (j *Job) StartTimeout() time.Duration {
	return time.Duration(startTimeoutShare * float64(j.objective()))
}

// RetryElsewhere is the retry delay of a refusal by one coordinator: others may
// accept the job at once.
const RetryElsewhere = time.Millisecond

// Outcome is the answer to a submission.
type Outcome int

// Outcomes of a job.
const (
	Completed Outcome = iota
	Failed            // a task has used up its attempts
	NotRun            // no task has started and none will
	Aborted           // given up; tasks may have run
	Cancelled
	Accepted // stored; it runs later
)

var outcomeNames = [...]string{"completed", "failed", "not-run", "aborted", "cancelled", "accepted"}

func (o Outcome) String() string { return outcomeNames[o] }

// Description is the state that a target reports in a heartbeat.
type Description struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Labels     []string
	Capacity   Resources
	BootUnixMS int64 // start of this boot, in Unix ms; 0: unknown
	Sequence   uint64
	Draining   bool
	ClockMS    int64 // on the target's monotonic clock

	Cold time.Duration // how long the target is slow after its start or return
}

// AvailableTarget is a target that may take tasks, with its free capacity.
type AvailableTarget struct {
	Target  string
	Service string // empty in an update: service and labels have not changed
	Labels  []string
	Free    Resources
	Suspect bool // considered last: has failed a run or is slow
	// HasSuspect is set if a task runs there that may run beside no other suspect.
	HasSuspect bool
	Idle       bool // without runs
	Cold       bool // slow for a while, considered after warm ones
	// SpeedPermille is the learned speed in thousandths of the mean; 0: unknown or near it.
	SpeedPermille int

	Address    string // empty in an update, as Service
	BootUnixMS int64
}

// Placement is a request to another coordinator to run a task.
type Placement struct {
	Ref         uint64 // at the job's home
	Task        string
	Run         int
	Queue       string
	Service     string
	Spec        string
	Need        Resources
	Expected    time.Duration
	Requirement string
	Rack        string
	Target      string // chosen by the home; see targetFor for when the owner uses another one
	Avoid       string // target on which the task has failed
	Stored      bool
	Alone       bool // no other run may be on the target at the same time
	Suspect     bool // may crash its target; runs beside no other suspect
	PerTarget   int  // most tasks of the step on one target; 0: no limit
}

// ReportKind is the state of a placement in a report.
type ReportKind int

// Kinds of reports.
const (
	RunRejected ReportKind = iota // not started, and never will be
	RunStarted
	RunDone
	RunFailed
	RunStopped // ended for a reason other than the task
	RunLost    // may run until SafeAfter has passed
)

var reportNames = [...]string{"rejected", "started", "done", "failed", "stopped", "lost"}

func (k ReportKind) String() string { return reportNames[k] }

// Report is the state of a placement, sent to the job's home.
type Report struct {
	Ref       uint64
	Kind      ReportKind
	Target    string
	SafeAfter time.Duration
	Reason    string
	Token     uint64      // the sender's fencing token for the target; a later owner's is higher
	Loss      *TargetLoss // of RunLost and RunRejected, if the target may have crashed under the run
}

// TargetLoss describes a target that was lost with a run and may have crashed.
type TargetLoss struct {
	Address    string
	BootUnixMS int64
	Alone      bool // no other run was there at the same time
	Newest     bool // the process has ended, and no run there was started later
	Crashed    bool // a later boot was seen
}

// RunLoss is a run of a task that was lost with its target.
type RunLoss struct {
	Run    int
	Target string
	TargetLoss
}

// RunningEntry is a run that a target lists as running.
type RunningEntry struct {
	Task    string
	Run     int
	Percent int
}

// EndKind is the way in which a run ended.
type EndKind int

// Ways in which a run ends.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLeaseExpired
	EndOther
)

// EndedEntry is a run that a target lists as ended. Numbers start at 1 in each boot.
type EndedEntry struct {
	Number uint64
	Task   string
	Run    int
	Kind   EndKind
}

// HandOver is a target that changes its owner, with its runs.
type HandOver struct {
	Description Description
	Token       uint64
	AckedEnd    uint64
	Runs        []HandedRun
}

// HandedRun is a run of a target in a HandOver.
type HandedRun struct {
	Home     string
	Ref      uint64
	Task     string
	Run      int
	Queue    string
	Need     Resources
	Expected time.Duration
	Stopping bool
	Stored   bool
	Age      time.Duration

	Alone     bool // no other run has been there since its start
	Exclusive bool // no other run may be started there
}

// JobID returns the ID of the job that a task belongs to.
func JobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// stepOf returns the name of the step that a task belongs to, with its job.
func stepOf(task string) string { return task[:max(strings.LastIndexByte(task, '.'), 0)] }

func taskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
