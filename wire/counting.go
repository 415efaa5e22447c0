package wire

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of all links of a Mesh, yamux frames included and
// TCP and TLS overhead excluded.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the bytes written so far.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the bytes read so far.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// countingConn adds a connection's bytes to a Traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
