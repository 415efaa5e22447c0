package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// proxy stands in the links that one machine dials to another.
type proxy struct {
	from, to *machine
	cut      atomic.Bool // no bytes pass, either way
}

// startProxies puts a proxy into each link. Each machine has its own internal port, which
// it also dials at the others; there the proxy listens.
func (f *fleet) startProxies() error {
	for _, from := range f.machines() {
		for _, to := range f.coordinators {
			if from == to {
				continue
			}
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", to.ip, f.network.ports.link+from.offset))
			if err != nil {
				return err
			}
			p := &proxy{from: from, to: to}
			f.proxies = append(f.proxies, p)
			go p.serve(listener, fmt.Sprintf("%s:%d", to.ip, f.network.ports.link+to.offset))
		}
	}
	return nil
}

func (p *proxy) serve(listener net.Listener, target string) {
	for {
		dialled, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			forwarded, err := net.Dial("tcp", target)
			if err != nil {
				dialled.Close()
				return
			}
			go p.pass(forwarded, dialled)
			p.pass(dialled, forwarded)
		}()
	}
}

// pass passes bytes on. During a cut they are held up.
func (p *proxy) pass(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for p.cut.Load() {
			time.Sleep(2 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// split cuts the coordinators of a side from the other coordinators; without a side it
// ends the cut.
func (f *fleet) split(side ...*machine) {
	on := func(m *machine) bool {
		for _, other := range side {
			if other == m {
				return true
			}
		}
		return false
	}
	for _, p := range f.proxies {
		p.cut.Store(p.from.core && on(p.from) != on(p.to))
	}
}
