package dispatch

import (
	"math"
	"time"

	"hawthornshore.example/structs"
)

// class is the queue and the accounts of one class of work.
type class struct {
	spec    structs.Class
	removed bool // no longer configured; kept for the jobs it still has

	queues  map[*tenant]*tenantQueue
	active  activeHeap    // tenant queues that may start a task
	vclock  float64       // virtual time of the queue that was served last
	current *job          // partly placed job whose other tasks go next
	parked  []*job        // jobs that wait for the retry budget
	asks    []*loanAsk    // requests of peers, by the age of their work
	held    []*heldLoan   // loans without a task, oldest first
	waiting int           // waiting tasks of released jobs, parked ones excluded
	pending int           // tasks of admitted jobs that are not released
	running int           // live attempts of jobs of this instance
	usage   int           // slots of managed targets in use by the class, lent ones included
	stuck   bool          // no free slot fits the class in the current step
	blind   time.Duration // time of the last request to a peer without free slots

	baseline baseline
	runtimes *runtimes
	budget   retryBudget
}

func newClass() *class {
	return &class{queues: make(map[*tenant]*tenantQueue), runtimes: newRuntimes()}
}

func (cl *class) maxQueue() int {
	if cl.spec.MaxQueue <= 0 {
		return math.MaxInt
	}
	return cl.spec.MaxQueue
}

// offer counts the work of a job that asks to be admitted.
func (cl *class) offer(tasks []structs.Task) {
	for i := range tasks {
		cl.baseline.arrived += cl.runtimes.taskMS(tasks[i].DeclaredMS) / 1000
	}
}

// queued returns the tasks of the class that have no attempt.
func (cl *class) queued() int { return cl.waiting + cl.pending }

// queue returns the tenant's queue within the class.
func (cl *class) queue(t *tenant) *tenantQueue {
	q := cl.queues[t]
	if q == nil {
		q = &tenantQueue{class: cl, tenant: t}
		cl.queues[t] = q
		t.queues = append(t.queues, q)
	}
	return q
}

// nextJob returns the job whose task the class would start next, or nil. A
// partly placed job goes first, so that its tasks run together.
func (cl *class) nextJob() *job {
	if j := cl.current; j != nil {
		if j.queue != nil && j.queue.index > 0 {
			return j
		}
		cl.current = nil
	}
	if len(cl.active) == 0 {
		return nil
	}
	return cl.active[0].jobs[0]
}
