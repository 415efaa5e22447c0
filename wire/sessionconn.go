package wire

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// sessionConn is the connection of a yamux session. It lets the session's receive
// loop end before the session shuts down: from its shutdown to the end of that loop
// yamux has every blocked Stream.Read check the stream again and again without a pause,
// and with one processor the loop may not get its turn.
type sessionConn struct {
	net.Conn
	start      time.Time
	lastRead   atomic.Int64  // nanoseconds since start
	readFailed chan struct{} // closed after a failed Read, the last one of the receive loop
	closed     chan struct{} // closed by Close
	failOnce   sync.Once
	closeOnce  sync.Once
}

func newSessionConn(conn net.Conn) *sessionConn {
	return &sessionConn{Conn: conn, start: time.Now(), readFailed: make(chan struct{}), closed: make(chan struct{})}
}

// Read reads from the connection.
func (c *sessionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.start)))
	}
	if err != nil {
		c.failOnce.Do(func() { close(c.readFailed) })
	}
	return n, err
}

// sinceRead returns the time since bytes were last read.
func (c *sessionConn) sinceRead() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastRead.Load())
}

// Write writes to the connection. An error, after which the session shuts down, is
// returned once the receive loop has ended.
func (c *sessionConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.Conn.Close()
		select {
		case <-c.readFailed:
		case <-c.closed: // the receive loop has ended for another reason
		}
	}
	return n, err
}

// Close closes the connection. The session calls it during its shutdown.
func (c *sessionConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// closeSession ends the session's receive loop and then shuts the session down.
func (c *sessionConn) closeSession(session *yamux.Session) error {
	c.Conn.Close()
	select {
	case <-c.readFailed:
	case <-session.CloseChan():
	}
	return session.Close()
}
