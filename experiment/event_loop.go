package experiment

import (
	"container/heap"
	"time"
)

// eventLoop runs callbacks in the order of virtual time.
type eventLoop struct {
	now   time.Time
	seq   uint64
	queue callbackHeap
}

type callback struct {
	at  time.Time
	seq uint64 // orders callbacks of the same time by when they were scheduled
	run func()
}

type callbackHeap []callback

func (h callbackHeap) Len() int { return len(h) }

func (h callbackHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}

func (h callbackHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *callbackHeap) Push(x any) { *h = append(*h, x.(callback)) }

// Pop implements heap.Interface.
func (h *callbackHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = callback{}
	*h = old[:len(old)-1]
	return x
}

// scheduleAt schedules a callback for a time that must not be before now.
func (l *eventLoop) scheduleAt(when time.Time, run func()) {
	l.seq++
	heap.Push(&l.queue, callback{at: when, seq: l.seq, run: run})
}

func (l *eventLoop) scheduleAfter(d time.Duration, run func()) { l.scheduleAt(l.now.Add(d), run) }

// runUntil runs callbacks up to and including the given time and sets the clock to
// it.
func (l *eventLoop) runUntil(end time.Time) {
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		c := heap.Pop(&l.queue).(callback)
		l.now = c.at
		c.run()
	}
	l.now = end
}
