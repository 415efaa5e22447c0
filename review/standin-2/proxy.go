package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections. While it is cut, it holds all bytes and accepts no
// connections, like a silent partition.
type proxy struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	open  bool
	ready *sync.Cond
	conns map[net.Conn]struct{}
	done  bool
}

func newProxy(address, server string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, server: server, open: true, conns: map[net.Conn]struct{}{}}
	p.ready = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = !on
	p.ready.Broadcast()
}

// awaitOpen returns false once the proxy is closed.
func (p *proxy) awaitOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.open && !p.done {
		p.ready.Wait()
	}
	return !p.done
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	if !p.awaitOpen() {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.pipe(server, client) })
	group.Go(func() { p.pipe(client, server) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// pipe forwards one direction. Both connections end with either of them.
func (p *proxy) pipe(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.awaitOpen() {
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

func (p *proxy) close() {
	p.mu.Lock()
	p.done = true
	p.ready.Broadcast()
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
}
