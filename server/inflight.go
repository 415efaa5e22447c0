package server

import (
	"context"
	"sync"
)

// inflight counts operations in progress and lets one goroutine wait until there
// are none. Unlike a sync.WaitGroup, it may grow again during the wait.
type inflight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count drops to 0; nil without a waiter
}

// add records the start of an operation.
func (f *inflight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// done records the end of an operation.
func (f *inflight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// open returns the number of operations in progress.
func (f *inflight) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// wait returns once no operation is in progress or ctx has ended.
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
