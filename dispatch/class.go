package dispatch

import (
	"math"
	"time"

	"hawthornshore.example/structs"
)

// class holds the queues and counters of one class of work.
type class struct {
	spec    structs.Class
	removed bool // no longer configured; kept for the jobs it still has

	queues           map[*tenant]*tenantQueue
	active           activeHeap         // tenant queues that may start a task
	vclock           float64            // virtual time of the queue served last
	current          *job               // partly started job whose other tasks start next
	deferred         []*job             // jobs waiting for the retry budget
	incomingRequests []*incomingRequest // peers' requests for slots, oldest work first
	heldLoans        []*heldLoan        // unused loans, oldest first
	waiting          int                // waiting tasks of released jobs, deferred jobs excluded
	pending          int                // tasks of admitted jobs not yet released
	running          int                // live attempts of jobs of this instance
	usage            int                // slots of managed targets used by the class, including lent ones
	blocked          bool               // no free slot fits the class in the current step
	lastSpeculative  time.Duration      // time of the last speculative request

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

// recordOfferedLoad counts the work of a submitted job, admitted or not.
func (cl *class) recordOfferedLoad(tasks []structs.Task) {
	for i := range tasks {
		cl.baseline.arrivedSeconds += cl.runtimes.taskMS(tasks[i].DeclaredMS) / 1000
	}
}

// queued returns the number of tasks of the class without an attempt.
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

// nextJob returns the job whose task the class starts next, or nil. A partly
// started job goes first, so that its tasks run together.
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
