package dispatch

import (
	"container/heap"

	"hawthornshore.example/structs"
)

// tenant holds the counters of a tenant across all classes.
type tenant struct {
	spec    structs.Tenant
	removed bool
	quota   int // slots that jobs of this instance may use at once; 0 is unbounded
	running int // live attempts
	queued  int // tasks without an attempt
	queues  []*tenantQueue
}

func (t *tenant) weight() float64 {
	if t.spec.Weight <= 0 {
		return 1
	}
	return t.spec.Weight
}

func (t *tenant) atQuota() bool { return t.quota > 0 && t.running >= t.quota }

// tenantQueue holds the released jobs of one tenant in one class that have
// waiting tasks, in the order of job.order.
type tenantQueue struct {
	class   *class
	tenant  *tenant
	jobs    jobHeap
	waiting int
	running int     // live attempts
	vtime   float64 // milliseconds of slot time received, divided by the weight
	index   int     // position in class.active plus one; 0 when not there
}

// refresh keeps the queue in the class's heap while it may start a task. A queue
// that returns to the heap gets no credit for its idle time.
func (q *tenantQueue) refresh() {
	ready := len(q.jobs) > 0 && !q.tenant.atQuota()
	switch {
	case ready && q.index == 0:
		q.vtime = max(q.vtime, q.class.vclock)
		heap.Push(&q.class.active, q)
	case !ready && q.index > 0:
		heap.Remove(&q.class.active, q.index-1)
	}
}

// charge adds slot time to the queue's virtual time.
func (q *tenantQueue) charge(ms float64) {
	q.vtime += ms / q.tenant.weight()
	if q.index > 0 {
		heap.Fix(&q.class.active, q.index-1)
	}
}

// activeHeap orders tenant queues by virtual time.
type activeHeap []*tenantQueue

func (h activeHeap) Len() int           { return len(h) }
func (h activeHeap) Less(i, j int) bool { return h[i].vtime < h[j].vtime }

func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i + 1
	h[j].index = j + 1
}

// Push implements heap.Interface.
func (h *activeHeap) Push(x any) {
	q := x.(*tenantQueue)
	*h = append(*h, q)
	q.index = len(*h)
}

// Pop implements heap.Interface.
func (h *activeHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	q.index = 0
	return q
}
