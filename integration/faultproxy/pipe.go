package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkSize is the most bytes that are read at once.
	chunkSize = 16 << 10
	// queueLength bounds the chunks that wait for their delay to pass.
	queueLength = 256
)

// conn is one client connection and its connection to the server.
type conn struct {
	client, server *net.TCPConn
	pipes          [directions]*pipe
	closed         chan struct{}
	closeOnce      sync.Once
}

func newConn(client, server *net.TCPConn) *conn {
	c := &conn{client: client, server: server, closed: make(chan struct{})}
	c.pipes[ToServer] = &pipe{source: client, sink: server, closed: c.closed}
	c.pipes[ToClient] = &pipe{source: server, sink: client, closed: c.closed}
	return c
}

// run moves bytes until both directions have ended.
func (c *conn) run() {
	var group sync.WaitGroup
	for _, p := range c.pipes {
		group.Go(p.run)
	}
	group.Wait()
	c.close()
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.client.Close()
		c.server.Close()
	})
}

// pipe moves the bytes of one direction.
type pipe struct {
	source, sink *net.TCPConn
	closed       chan struct{} // closed with the connection

	mu    sync.Mutex
	fault Fault
	lossy bool // bytes were dropped, so none may follow
}

// chunk is a piece of the stream and the time at which to pass it on.
type chunk struct {
	data []byte
	due  time.Time
}

// set puts a fault in force. A cut takes effect at once and cannot be undone.
func (p *pipe) set(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault.Kind == Cut {
		_ = p.sink.CloseWrite()
	}
}

// run reads chunks until the source ends.
func (p *pipe) run() {
	chunks := make(chan chunk, queueLength)
	var writer sync.WaitGroup
	writer.Go(func() { p.write(chunks) })
	for {
		buffer := make([]byte, chunkSize)
		n, err := p.source.Read(buffer)
		if n > 0 {
			chunks <- chunk{data: buffer[:n], due: p.due()}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	writer.Wait()
}

// due returns when a chunk that has just arrived is to be passed on.
func (p *pipe) due() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Kind == Delay {
		return time.Now().Add(p.fault.Delay)
	}
	return time.Time{}
}

// write passes chunks on when they are due. The end of the source is passed on
// as well, unless the direction is silent.
func (p *pipe) write(chunks <-chan chunk) {
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-p.closed:
			}
		}
		if p.admit() {
			_, _ = p.sink.Write(c.data) // a broken sink is noticed by its own pipe
		}
	}
	if p.admit() {
		_ = p.sink.CloseWrite()
		return
	}
	if p.isLossy() {
		<-p.closed // a silent connection stays open
	}
}

func (p *pipe) isLossy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lossy
}

// admit tells whether bytes may pass now.
func (p *pipe) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Kind == Drop {
		p.lossy = true
	}
	return !p.lossy && p.fault.Kind != Cut
}
