package claims

import (
	"container/heap"
	"time"

	"hawthornshore.example/structs"
)

// timer schedules a check of one job ID.
type timer struct {
	at time.Duration // since Options.Start
	id structs.JobID
}

// timers is a heap of timers, the earliest first. Timers are not removed when
// their record changes; what is due is determined when a timer fires.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }

// Pop removes the last element, for container/heap.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (t *timers) add(at time.Duration, id structs.JobID) { heap.Push(t, timer{at, id}) }

// due removes and returns the earliest timer that is not after now.
func (t *timers) due(now time.Duration) (structs.JobID, bool) {
	if len(*t) == 0 || (*t)[0].at > now {
		return structs.JobID{}, false
	}
	return heap.Pop(t).(timer).id, true
}
