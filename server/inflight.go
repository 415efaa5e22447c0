package server

import (
	"context"
	"sync"
)

// inflight counts work in progress and lets one goroutine wait for its end.
// Unlike a sync.WaitGroup it may grow again while somebody waits.
type inflight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed while count is 0; nil when nobody waits
}

// add records the begin of one piece of work.
func (f *inflight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// done records the end of one piece of work.
func (f *inflight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// open returns how many pieces of work are in progress.
func (f *inflight) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// wait returns once nothing is in progress or ctx has ended.
func (f *inflight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
