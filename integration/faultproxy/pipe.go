package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkSize is the read buffer size in bytes.
	chunkSize = 16 << 10
	// queueLength bounds the chunks that wait for their delay.
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

// run forwards bytes until both directions have ended.
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

// pipe forwards the bytes of one direction.
type pipe struct {
	source, sink *net.TCPConn
	closed       chan struct{} // closed with the connection

	mu    sync.Mutex
	fault Fault
	lossy bool // bytes were dropped, so later ones must be dropped too
}

// chunk is a piece of the stream and the time at which to forward it.
type chunk struct {
	data []byte
	due  time.Time
}

// set sets the fault. A cut takes effect immediately and cannot be undone.
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

// due returns the time at which to forward a chunk that has just arrived.
func (p *pipe) due() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Kind == Delay {
		return time.Now().Add(p.fault.Delay)
	}
	return time.Time{}
}

// write forwards chunks when they are due, and then the end of the stream unless
// bytes were dropped.
func (p *pipe) write(chunks <-chan chunk) {
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-p.closed:
			}
		}
		if p.mayForward() {
			_, _ = p.sink.Write(c.data) // the pipe that reads from the sink handles its errors
		}
	}
	if p.mayForward() {
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

// mayForward reports whether bytes may pass; a drop also stops all later ones.
func (p *pipe) mayForward() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Kind == Drop {
		p.lossy = true
	}
	return !p.lossy && p.fault.Kind != Cut
}
