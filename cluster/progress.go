package cluster

import "sync"

// logProgress is how far the log is applied.
type logProgress struct {
	mu    sync.Mutex
	index uint64
	more  chan struct{} // closed when the index rises
}

func newLogProgress() *logProgress { return &logProgress{more: make(chan struct{})} }

// reach notes an applied index.
func (p *logProgress) reach(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if index <= p.index {
		return
	}
	p.index = index
	close(p.more)
	p.more = make(chan struct{})
}

func (p *logProgress) reached() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index
}

// watch returns the applied index, and a channel that is closed when it rises.
func (p *logProgress) watch() (uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index, p.more
}
