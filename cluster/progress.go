package cluster

import "sync"

// logProgress is the index up to which the log is applied.
type logProgress struct {
	mu     sync.Mutex
	index  uint64
	raised chan struct{} // closed when the index increases
}

func newLogProgress() *logProgress { return &logProgress{raised: make(chan struct{})} }

// advance sets the applied index, which never decreases.
func (p *logProgress) advance(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if index <= p.index {
		return
	}
	p.index = index
	close(p.raised)
	p.raised = make(chan struct{})
}

func (p *logProgress) applied() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index
}

// watch returns the applied index and a channel that is closed when it increases.
func (p *logProgress) watch() (uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index, p.raised
}
