// Package faultproxy is a TCP proxy that injects network faults between two
// processes: delay, drop and cut, separately for each direction, on existing
// connections or on new ones as well.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Direction is the direction in which bytes pass the proxy.
type Direction int

// Directions.
const (
	ToServer Direction = iota
	ToClient
	directions // number of directions
)

// Kind is the effect of a fault on bytes.
type Kind int

// Kinds of faults.
const (
	// Forward forwards bytes without a fault.
	Forward Kind = iota
	// Delay forwards bytes, in order, after Fault.Delay.
	Delay
	// Drop discards bytes while the connection stays open. A connection that has
	// dropped bytes never delivers later ones, because TCP leaves no gaps.
	Drop
	// Cut closes the direction: the receiver sees the end of the stream.
	Cut
)

// Fault is a kind with its parameter.
type Fault struct {
	Kind  Kind
	Delay time.Duration
}

// Scope selects the connections that a fault applies to.
type Scope int

// Scopes.
const (
	ExistingOnly Scope = iota
	ExistingAndNew
)

// dialTimeout bounds the dial to the server.
const dialTimeout = 2 * time.Second

// Proxy forwards the connections that it accepts to one server.
type Proxy struct {
	server     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu       sync.Mutex
	faults   [directions]Fault // for new connections
	conns    map[*conn]struct{}
	accepted int
	closed   bool
}

// New returns a proxy that listens on a free port of 127.0.0.1.
func New(server string) (*Proxy, error) { return NewAt("127.0.0.1:0", server) }

// NewAt returns a proxy that listens on an address.
func NewAt(address, server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listening")
	}
	p := &Proxy{server: server, listener: listener, conns: make(map[*conn]struct{})}
	p.goroutines.Go(p.acceptLoop)
	return p, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns the number of connections accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Set sets the fault of one direction.
func (p *Proxy) Set(direction Direction, fault Fault, scope Scope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if scope == ExistingAndNew {
		p.faults[direction] = fault
	}
	for c := range p.conns {
		c.pipes[direction].set(fault)
	}
}

// SetBoth sets the fault of both directions.
func (p *Proxy) SetBoth(fault Fault, scope Scope) {
	p.Set(ToServer, fault, scope)
	p.Set(ToClient, fault, scope)
}

// Close closes the listener and all connections. Further calls do nothing.
func (p *Proxy) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	for c := range p.conns {
		c.close()
	}
	p.mu.Unlock()
	err := p.listener.Close()
	p.goroutines.Wait()
	return errors.Trace(err)
}

func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.accepted++
		p.mu.Unlock()
		p.goroutines.Go(func() { p.serve(client.(*net.TCPConn)) })
	}
}

// serve connects one client to the server until both directions have ended.
func (p *Proxy) serve(client *net.TCPConn) {
	server, err := net.DialTimeout("tcp", p.server, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // the client sees a reset, as without a proxy
		client.Close()
		return
	}
	c := p.register(client, server.(*net.TCPConn))
	if c == nil {
		client.Close()
		server.Close()
		return
	}
	c.run()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// register adds a connection and sets the faults for new connections on it. It
// returns nil if the proxy has been closed.
func (p *Proxy) register(client, server *net.TCPConn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	c := newConn(client, server)
	p.conns[c] = struct{}{}
	for direction, fault := range p.faults {
		c.pipes[direction].set(fault)
	}
	return c
}
