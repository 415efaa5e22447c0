package emulator

import (
	"context"
	"sync"
)

// gate holds back everything that passes it while it is shut.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) set(open bool) {
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

// pass waits until the gate is open or the context has ended.
func (g *gate) pass(ctx context.Context) error {
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
