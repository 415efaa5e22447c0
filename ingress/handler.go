package ingress

import (
	"io"
	"net/http"
	"time"
)

// holdStep is the number of bytes of a body that are held at a time before they are
// read. It is the size of net/http's buffer.
const holdStep = 4 << 10

// handler counts the bodies of requests.
func (p *Pool) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			p.enter(c, Serving)
		} else {
			p.enter(c, Body)
			c.body.Store(true)
			// The server's request keeps its Body: net/http recognises the type when it
			// decides whether to read the rest before the response.
			counted := *r
			counted.Body = &body{ReadCloser: r.Body, pool: p, conn: c}
			r = &counted
		}
		defer p.finish(c)
		next.ServeHTTP(w, r)
	})
}

// finish returns the bytes of a request and bounds the time until the next one.
func (p *Pool) finish(c *conn) {
	c.body.Store(false)
	c.rest.Store(false)
	now := time.Now()
	p.mu.Lock()
	p.rule.Release(c.member)
	p.rule.Enter(c.member, Finishing, now)
	p.mu.Unlock()
}

// Release marks a request as complete and returns its bytes to the budget. A handler
// calls it once it has decoded the body and no longer refers to it, or does not need it.
func Release(r *http.Request) {
	if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
		now := time.Now()
		c.pool.mu.Lock()
		c.pool.rule.Release(c.member)
		c.pool.rule.Enter(c.member, Serving, now)
		c.pool.mu.Unlock()
		c.rest.Store(c.body.Load())
	}
}

// body is a request's body whose bytes are held before they are read.
type body struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	room int // held and not read yet
}

// Read reads from the body, or returns ErrOverloaded.
func (b *body) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if b.room == 0 {
		now := time.Now()
		b.pool.mu.Lock()
		admitted, victims := b.pool.rule.Hold(b.conn.member, holdStep, now)
		b.pool.mu.Unlock()
		b.pool.close(victims)
		if !admitted {
			b.pool.count(MemoryLimit)
			b.pool.log(b.conn, MemoryLimit)
			return 0, ErrOverloaded
		}
		b.room = holdStep
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.room)])
	b.room -= n
	if err == io.EOF {
		b.conn.body.Store(false)
		b.pool.enter(b.conn, Serving)
	}
	return n, err
}
