package ingress

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// tooLargeResponse is sent before a connection with too long a head is closed.
const tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

const (
	// ordinaryHead is the part of a head that counts as the memory of its connection.
	ordinaryHead = 4 << 10
	// headCost is the number of bytes held per byte of a longer head, which net/http
	// keeps as text and in a map.
	headCost = 2
	// writeStep is the number of bytes of a response within which a client has to make
	// progress.
	writeStep = 64 << 10
	// lingerTime is how long a connection stays open after a 431, so that the client
	// can read it; net/http waits as long after its own.
	lingerTime = 500 * time.Millisecond
)

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	pool   *Pool
	member *Member // guarded by pool.mu
	// head is used only by Read, which net/http calls from one goroutine at a time.
	head   headScanner
	scan   bool        // the listener has plain text
	body   atomic.Bool // the request has a body whose end was not read
	rest   atomic.Bool // it was released nevertheless
	linger atomic.Bool // a response precedes Close
	closed atomic.Bool
}

// Read reads from the connection. It ends the connection before a head exceeds its limit.
func (c *conn) Read(p []byte) (int, error) {
	// net/http reads the rest of a body that the handler did not read before it sends
	// the response.
	if c.rest.Load() && c.rest.CompareAndSwap(true, false) {
		c.pool.enter(c, Finishing)
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		return 0, io.EOF
	}
	return n, err
}

// received counts bytes. It returns false if the connection has to end.
func (c *conn) received(data []byte) bool {
	now := time.Now()
	c.pool.mu.Lock()
	m, rule := c.member, c.pool.rule
	if m.closing {
		c.pool.mu.Unlock()
		return false
	}
	if m.phase == Fresh || m.phase == Idle {
		rule.Enter(m, Head, now)
		c.head = headScanner{}
	}
	rule.Receive(m, len(data), now)
	if m.phase != Head || !c.scan {
		c.pool.mu.Unlock()
		return true
	}
	ended := c.head.scan(data)
	size, limit := c.head.size, rule.Limits.HeadBytes
	var victims []Closing
	admitted := true
	if extra := headCost*int64(size-ordinaryHead) - m.held; size <= limit && extra > 0 {
		admitted, victims = rule.Hold(m, extra, now)
	}
	if ended {
		rule.Enter(m, Body, now)
	}
	c.pool.mu.Unlock()
	c.pool.close(victims)
	switch {
	case size > limit:
		c.pool.count(HeadLimit)
		c.pool.log(c, HeadLimit)
		// The response has no body and fits into the send buffer.
		_, err := c.Conn.Write([]byte(tooLargeResponse))
		c.linger.Store(err == nil)
		return false
	case !admitted:
		c.pool.count(MemoryLimit)
		c.pool.log(c, MemoryLimit)
		return false
	}
	return true
}

// Write writes to the connection. A client that does not read is closed by the pool.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.pool.writing(c.member, time.Now())
		n, err := c.Conn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if err != nil || written == len(p) {
			c.pool.writing(c.member, time.Time{})
			return written, err
		}
	}
}

// CloseWrite closes the sending side, as net/http does before it closes a connection
// with unread data.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	if c.linger.Load() && c.CloseWrite() == nil {
		time.AfterFunc(lingerTime, c.abort)
		return nil
	}
	c.pool.leave(c)
	return c.Conn.Close()
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.closed.Store(true)
	c.pool.leave(c)
	_ = c.Conn.Close() // it may be closed already
}
