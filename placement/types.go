package placement

import (
	"strconv"
	"strings"
	"time"
)

// Caller names a request at a gateway.
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

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPUMillis <= room.CPUMillis && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
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
	Stretch     float64       // the objective is the longest chain of work times this
	Allowance   time.Duration // and this on top
	Budget      time.Duration // how long the caller waits; 0: unknown
	Stored      bool          // in the log; it does not end with its caller or its home
	Steps       []Step
}

// chain returns the estimated length of the longest chain of tasks.
func (j *Job) chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + j.Steps[i].Expected
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns by when after its arrival the job should end.
func (j *Job) objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.chain())) + j.Allowance
}

// StartTimeout returns how long the job may wait for its first start.
func (j *Job) StartTimeout() time.Duration { return time.Duration(waitShare * float64(j.objective())) }

// RetryElsewhere is the pause of a refusal that holds for one coordinator only:
// another one may take the job at once.
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

// Description is what a target says of itself.
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
	ClockMS    int64 // on the target's steady clock
}

// AvailableTarget is the free capacity of a target that may take tasks.
type AvailableTarget struct {
	Target  string
	Service string
	Labels  []string
	Free    Resources
	Suspect bool // comes last: has failed a run or is slow
}

// Placement is a task that another coordinator is asked to run.
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
	Target      string // that the home has chosen; the owner may take another one
	Avoid       string // target on which the task has failed
	Stored      bool
}

// ReportKind is what became of a placement.
type ReportKind int

// Kinds of reports.
const (
	RunRejected ReportKind = iota // not started, and never will be
	RunStarted
	RunDone
	RunFailed
	RunStopped // has ended for a reason that is not the task's
	RunLost    // may run until SafeAfter has passed
)

var reportNames = [...]string{"rejected", "started", "done", "failed", "stopped", "lost"}

func (k ReportKind) String() string { return reportNames[k] }

// Report says what became of a placement.
type Report struct {
	Ref       uint64
	Kind      ReportKind
	Target    string
	SafeAfter time.Duration
	Reason    string
	Token     uint64 // of the sender's ownership of the target; a later owner's is higher
}

// RunningEntry is a run in a target's list.
type RunningEntry struct {
	Task    string
	Run     int
	Percent int
}

// EndKind says how a run has ended.
type EndKind int

// Ways in which a run ends.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLeaseExpired
	EndOther
)

// EndedEntry is an end in a target's list. Numbers start at 1 in each boot.
type EndedEntry struct {
	Number uint64
	Task   string
	Run    int
	Kind   EndKind
}

// HandOver is a target with its runs.
type HandOver struct {
	Description Description
	Token       uint64
	AckedEnd    uint64
	Runs        []HandedRun
}

// HandedRun is a run of a target that changes its owner.
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
}

// JobID returns the job's ID in a task's name.
func JobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func taskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
