package dispatch

import "time"

// workDelay is the delay in a tenant's order per declared slot time of a job.
// Short jobs overtake long ones, for which the same wait matters less, but only
// if they arrive within a tenth of the long job's work. A tenant that declares
// wrong run times changes the order of its own jobs only.
const workDelay = 0.1

// jobHeap orders the jobs of a tenant.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].order < h[j].order }

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex = i
	h[j].queueIndex = j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.queueIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// setOrder sets a job's sort key among the jobs of its tenant. The sequence
// number, in nanoseconds, keeps simultaneous jobs in the order of arrival.
func (c *Core) setOrder(j *job) {
	work := int64(0)
	for i := range j.spec.Tasks {
		work += j.spec.Tasks[i].DeclaredMS
	}
	c.sequence++
	j.order = c.now + time.Duration(workDelay*float64(work))*time.Millisecond + c.sequence%time.Microsecond
}
