package experiment

import (
	"container/heap"
	"time"
)

// scheduler runs callbacks in the order of virtual time.
type scheduler struct {
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

func (t *scheduler) at(when time.Time, run func()) {
	t.seq++
	heap.Push(&t.queue, callback{at: when, seq: t.seq, run: run})
}

func (t *scheduler) after(d time.Duration, run func()) { t.at(t.now.Add(d), run) }

// runUntil runs callbacks up to and including the given time.
func (t *scheduler) runUntil(end time.Time) {
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		c := heap.Pop(&t.queue).(callback)
		t.now = c.at
		c.run()
	}
	t.now = end
}
