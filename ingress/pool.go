package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// ErrOverloaded is returned by reads of a body that does not fit into the budget. The
// request was not passed on.
var ErrOverloaded = errors.New("too many large requests")

// Options configure a Pool.
type Options struct {
	Budget Budget
	// Limits returns the limits in force. It is called every sweepInterval.
	Limits func() Limits
	Logger zerolog.Logger
}

const (
	// sweepInterval is how often overdue connections are closed and new limits applied.
	sweepInterval = 200 * time.Millisecond
	// logLinesPerSweep bounds the lines for closed clients to 5 a second, so that they
	// do not take the place of other lines.
	logLinesPerSweep = 1
	// fullResponse is sent to a connection for which there is no place.
	fullResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// maxRefusals is the most connections that stay open until the client has read its
	// fullResponse. Their descriptors are beyond the limits of the addresses.
	maxRefusals = 8
)

// Pool applies one Rule to the connections of all addresses of a process.
type Pool struct {
	options Options
	metrics *metrics.Set
	mu      sync.Mutex
	rule    *Rule
	conns   map[*Member]*conn
	lines   int // logged since the last sweep
	omitted int // closed clients without a line
	closed  map[Reason]*metrics.Counter
	// refusals are the connections that wait for the end of their fullResponse.
	refusals atomic.Int64
}

// NewPool returns a pool without addresses.
func NewPool(options Options) *Pool {
	p := &Pool{
		options: options, metrics: metrics.NewSet(), rule: NewRule(options.Budget, options.Limits()),
		conns: map[*Member]*conn{}, closed: map[Reason]*metrics.Counter{},
	}
	for _, reason := range reasons {
		p.closed[reason] = p.metrics.GetOrCreateCounter(fmt.Sprintf(`hawthorn_clients_closed_total{reason=%q}`, string(reason)))
	}
	p.metrics.GetOrCreateGauge("hawthorn_client_request_bytes", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.rule.Held())
	})
	return p
}

// Run closes overdue connections until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			limits := p.options.Limits()
			p.mu.Lock()
			p.rule.Limits = limits
			p.lines = 0
			overdue := p.rule.Overdue(now)
			p.mu.Unlock()
			p.close(overdue)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Drain closes unfinished requests, so that they do not hold up a planned stop.
func (p *Pool) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule.Drain()
}

// WritePrometheus writes the metrics of the pool.
func (p *Pool) WritePrometheus(w io.Writer) { p.metrics.WritePrometheus(w) }

// Listener applies the rule to a listener. Limit is the most connections of the
// address. Opaque connections, which are encrypted above this listener, have heads
// that only the server bounds.
func (p *Pool) Listener(name string, limit int, inner net.Listener, opaque bool) net.Listener {
	group := NewGroup(name, limit)
	p.mu.Lock()
	p.rule.Add(group)
	p.mu.Unlock()
	p.metrics.GetOrCreateGauge(fmt.Sprintf(`hawthorn_client_connections{address=%q}`, name), func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(len(group.members))
	})
	return &listener{Listener: inner, pool: p, group: group, opaque: opaque}
}

// Attach applies the rule to a server that serves connections of Listener.
func (p *Pool) Attach(server *http.Server) {
	server.Handler = p.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if inner := unwrap(c); inner != nil && state == http.StateIdle {
			p.enter(inner, Idle)
		}
	}
}

type listener struct {
	net.Listener
	pool   *Pool
	group  *Group
	opaque bool
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, pool: l.pool, scan: !l.opaque}
		l.pool.mu.Lock()
		member, victim := l.pool.rule.Open(l.group, time.Now())
		if member != nil {
			c.member = member
			l.pool.conns[member] = c
		}
		l.pool.mu.Unlock()
		if victim != nil {
			l.pool.close([]Closing{{victim, ConnectionLimit}})
		}
		if member == nil {
			l.pool.count(ConnectionLimit)
			l.refuse(accepted)
			continue
		}
		return c, nil
	}
}

// refuse answers a connection that is not admitted. None of its bytes were read.
func (l *listener) refuse(c net.Conn) {
	half, ok := c.(interface{ CloseWrite() error })
	if l.opaque || !ok {
		_ = c.Close()
		return
	}
	// The response fits into the empty send buffer, so that the write does not wait.
	_, err := io.WriteString(c, fullResponse)
	if err != nil || half.CloseWrite() != nil {
		_ = c.Close()
		return
	}
	if l.pool.refusals.Add(1) > maxRefusals {
		l.pool.refusals.Add(-1)
		_ = c.Close()
		return
	}
	// Closing a connection with unread bytes resets it, and the client may lose the
	// response.
	go func() {
		defer l.pool.refusals.Add(-1)
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c)
	}()
}

type connKey struct{}

// unwrap returns the connection below an encrypted one, or nil.
func unwrap(c net.Conn) *conn {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	inner, _ := c.(*conn)
	return inner
}

func (p *Pool) enter(c *conn, phase Phase) {
	now := time.Now()
	p.mu.Lock()
	p.rule.Enter(c.member, phase, now)
	p.mu.Unlock()
}

func (p *Pool) writing(m *Member, now time.Time) {
	p.mu.Lock()
	p.rule.Writing(m, now)
	p.mu.Unlock()
}

// leave removes a connection.
func (p *Pool) leave(c *conn) {
	p.mu.Lock()
	p.rule.Close(c.member)
	delete(p.conns, c.member)
	p.mu.Unlock()
}

// close closes the connections of members that the rule has chosen.
func (p *Pool) close(members []Closing) {
	for _, closing := range members {
		p.mu.Lock()
		c := p.conns[closing.Member]
		p.mu.Unlock()
		if c == nil {
			continue
		}
		p.count(closing.Reason)
		if closing.Reason != IdleTimeout {
			p.log(c, closing.Reason)
		}
		c.abort()
	}
}

func (p *Pool) count(reason Reason) { p.closed[reason].Inc() }

// log writes the line of a closed client, at most logLinesPerSweep in a sweepInterval.
func (p *Pool) log(c *conn, reason Reason) {
	p.mu.Lock()
	if p.lines >= logLinesPerSweep {
		p.omitted++
		p.mu.Unlock()
		return
	}
	p.lines++
	omitted := p.omitted
	p.omitted = 0
	m := *c.member
	p.mu.Unlock()
	p.options.Logger.Info().Str("event", "client_closed").Str("reason", string(reason)).Str("address", m.group.Name).
		Str("peer", c.RemoteAddr().String()).Str("phase", m.phase.String()).Int64("received", m.received).
		Int64("age_ms", time.Since(m.since).Milliseconds()).Int("omitted", omitted).Send()
}
