package emulator

import (
	"context"
	"sync"
)

// gate blocks callers of wait while it is closed.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // a closed channel while the gate is open
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if !open {
			g.open = make(chan struct{})
		}
	default:
		if open {
			close(g.open)
		}
	}
}

// wait waits until the gate is open or the context has ended.
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
