package dispatch

import (
	"container/heap"
	"time"
)

// timer is an entry of the timer heap.
type timer struct {
	at    time.Duration // since the core's base time
	index int           // position in the heap plus one; 0 when not armed
	fire  func(c *Core)
}

// timerHeap orders armed timers by time.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i + 1
	h[j].index = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.index = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = 0
	return t
}

func (h *timerHeap) set(t *timer, at time.Duration) {
	t.at = at
	if t.index > 0 {
		heap.Fix(h, t.index-1)
		return
	}
	heap.Push(h, t)
}

func (h *timerHeap) stop(t *timer) {
	if t.index > 0 {
		heap.Remove(h, t.index-1)
	}
}

// popDue removes and returns the first timer that is due, or nil.
func (h *timerHeap) popDue(now time.Duration) *timer {
	if len(*h) == 0 || (*h)[0].at > now {
		return nil
	}
	return heap.Pop(h).(*timer)
}
