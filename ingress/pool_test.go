package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// serve starts a server that answers with the size of the body, or 503.
func serve(limits *atomic.Pointer[Limits], budget Budget, connections int) (*Pool, string) {
	GinkgoHelper()
	pool := NewPool(Options{Budget: budget, Limits: func() Limits { return *limits.Load() }, Logger: zerolog.Nop()})
	inner, err := Listen(context.Background(), "127.0.0.1:0", 0)
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, len(data))
	})}
	pool.Attach(server)
	listener := pool.Listener("test", connections, inner, false)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = pool.Run(ctx) }()
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() {
		cancel()
		_ = server.Close()
		<-done
	})
	return pool, inner.Addr().String()
}

func current(limits Limits) *atomic.Pointer[Limits] {
	var p atomic.Pointer[Limits]
	p.Store(&limits)
	return &p
}

func dial(address string) net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	return c
}

func status(c net.Conn, request []byte) int {
	GinkgoHelper()
	_, err := c.Write(request)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

// requestWithHead returns a request whose head has the given size.
func requestWithHead(size int) []byte {
	const start, end = "GET / HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
	return []byte(start + strings.Repeat("x", size-len(start)-len(end)) + end)
}

var _ = Describe("a pool", func() {
	budget := Budget{Bytes: 1 << 20, Reserve: 256 << 10}

	// Guards against a limit on heads that is off by one, or that only the first
	// request of a connection is subject to.
	It("serves a head of the limit and answers 431 beyond it", func() {
		pool, address := serve(current(testLimits), budget, 10)
		c := dial(address)
		for range 2 {
			Expect(status(c, requestWithHead(16384))).To(Equal(http.StatusOK))
		}
		Expect(status(dial(address), requestWithHead(16385))).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		var text bytes.Buffer
		pool.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring(`hawthorn_clients_closed_total{reason="head_limit"} 1`))
	})

	// Guards against limits that are in force only after a restart.
	It("applies a changed limit to open connections", func() {
		limits := current(testLimits)
		_, address := serve(limits, budget, 1000)
		c := dial(address)
		Expect(status(c, requestWithHead(10000))).To(Equal(http.StatusOK))
		limits.Store(&Limits{HeadBytes: 9000, HeadTimeout: time.Second, IdleTimeout: 15 * time.Second})
		Eventually(func() int { return status(dial(address), requestWithHead(10000)) }).WithTimeout(10 * time.Second).
			Should(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// Guards against unfinished requests that keep their memory, and ordinary ones that
	// are refused beside them.
	It("serves small and, later, large requests beside unfinished ones", func() {
		pool, address := serve(current(testLimits), budget, 10)
		body := bytes.Repeat([]byte("x"), 250<<10)
		head := []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 256000\r\n\r\n")
		held := func() int64 {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.rule.Held()
		}
		for i := range 3 {
			_, err := dial(address).Write(append(head[:len(head):len(head)], body[:250<<10-1]...))
			Expect(err).NotTo(HaveOccurred())
			Eventually(held).WithTimeout(10 * time.Second).Should(BeNumerically(">", (i+1)*250<<10))
		}
		Expect(held()).To(BeNumerically("<=", 768<<10))
		Expect(status(dial(address), requestWithHead(500))).To(Equal(http.StatusOK))
		Eventually(func() int { return status(dial(address), append(head[:len(head):len(head)], body...)) }).
			WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against more connections than there are descriptors.
	It("keeps to the number of connections and admits new ones", func() {
		pool, address := serve(current(testLimits), budget, 4)
		for range 12 {
			dial(address)
		}
		Eventually(func() (code int) {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return 0
			}
			defer c.Close()
			if _, err := c.Write(requestWithHead(500)); err != nil {
				return 0
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			return response.StatusCode
		}).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		pool.mu.Lock()
		defer pool.mu.Unlock()
		Expect(len(pool.conns)).To(BeNumerically("<=", 4))
	})

	// Guards against callers that are closed without an answer while all connections of
	// the address serve requests, and against refused ones that are kept.
	It("answers 503 while all connections are being served", func() {
		pool := NewPool(Options{Budget: budget, Limits: func() Limits { return testLimits }, Logger: zerolog.Nop()})
		inner, err := Listen(context.Background(), "127.0.0.1:0", 0)
		Expect(err).NotTo(HaveOccurred())
		release := make(chan struct{})
		var serving atomic.Int64
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			serving.Add(1)
			<-release
			w.WriteHeader(http.StatusOK)
		})}
		pool.Attach(server)
		go func() { _ = server.Serve(pool.Listener("test", 2, inner, false)) }()
		DeferCleanup(server.Close)
		var served []net.Conn
		for i := range 2 {
			c := dial(inner.Addr().String())
			_, err := c.Write(requestWithHead(500))
			Expect(err).NotTo(HaveOccurred())
			Eventually(serving.Load).WithTimeout(10 * time.Second).Should(BeEquivalentTo(i + 1))
			served = append(served, c)
		}
		for range 3 * maxRefusals {
			c := dial(inner.Addr().String())
			_, err := c.Write(requestWithHead(4000))
			Expect(err).NotTo(HaveOccurred())
			reader := bufio.NewReader(c)
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
			_, err = reader.ReadByte()
			Expect(err).To(MatchError(io.EOF))
			Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
			Eventually(pool.refusals.Load).WithTimeout(10 * time.Second).Should(BeZero())
		}
		close(release)
		for _, c := range served {
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
		Eventually(func() int { return status(dial(inner.Addr().String()), requestWithHead(500)) }).
			WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against requests that are closed while they are served, because their
	// handler does not read the body to its end.
	It("does not count a released request as unfinished", func() {
		pool := NewPool(Options{Budget: budget, Limits: func() Limits { return testLimits }, Logger: zerolog.Nop()})
		inner, err := Listen(context.Background(), "127.0.0.1:0", 0)
		Expect(err).NotTo(HaveOccurred())
		phases := make(chan Phase, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Release(r)
			pool.mu.Lock()
			for m := range pool.conns {
				phases <- m.phase
			}
			pool.mu.Unlock()
		})}
		pool.Attach(server)
		go func() { _ = server.Serve(pool.Listener("test", 2, inner, false)) }()
		DeferCleanup(server.Close)
		Expect(status(dial(inner.Addr().String()), []byte("DELETE / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"))).
			To(Equal(http.StatusOK))
		Expect(<-phases).To(Equal(Serving))
	})

	// Guards against a released request whose body never ends, and that keeps its place
	// because net/http waits for the rest before a response.
	It("bounds the wait for the rest of a released request", func() {
		pool := NewPool(Options{Budget: budget, Limits: func() Limits { return testLimits }, Logger: zerolog.Nop()})
		inner, err := Listen(context.Background(), "127.0.0.1:0", 0)
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Release(r)
			_, _ = w.Write(make([]byte, 16<<10)) // beyond the buffer of net/http
		})}
		pool.Attach(server)
		go func() { _ = server.Serve(pool.Listener("test", 2, inner, false)) }()
		DeferCleanup(server.Close)
		_, err = dial(inner.Addr().String()).Write([]byte("DELETE / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() (phases []Phase) {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			for m := range pool.conns {
				phases = append(phases, m.phase)
			}
			return phases
		}).WithTimeout(2 * time.Second).Should(ConsistOf(Finishing))
	})

	// Guards against blank lines that are read without end.
	It("closes a connection with blank lines before a request", func() {
		_, address := serve(current(testLimits), budget, 4)
		c := dial(address)
		_, _ = c.Write(bytes.Repeat([]byte("\r\n"), 20000)) // the server may close it first
		_, err := io.Copy(io.Discard, c)
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the connection stays open")
	})

	// Guards against heartbeats that are lost because the process was frozen for a
	// moment: 1,100 targets open up to 733 connections a second.
	DescribeTable("keeps connections waiting while it does not accept", func(backlog, connections int) {
		inner, err := Listen(context.Background(), "127.0.0.1:0", backlog)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(inner.Close)
		for range connections {
			// A SYN that is dropped is sent again after a second.
			c, err := net.DialTimeout("tcp", inner.Addr().String(), 900*time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
		}
	},
		Entry("with a length", 2048, 733),
		Entry("with the system's length", 0, 733),
	)

	// Guards against a body that is read before a response that does not need it: the
	// client waits for 100 Continue, or sends more than net/http discards.
	DescribeTable("answers at once without reading the body", func(header string) {
		pool := NewPool(Options{Budget: budget, Limits: func() Limits { return testLimits }, Logger: zerolog.Nop()})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		mux := http.NewServeMux()
		mux.HandleFunc("/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
			Expect(r.PathValue("id")).To(Equal("7"))
			w.WriteHeader(http.StatusNotFound)
		})
		server := &http.Server{Handler: mux}
		pool.Attach(server)
		go func() { _ = server.Serve(pool.Listener("test", 4, inner, false)) }()
		DeferCleanup(server.Close)
		c := dial(inner.Addr().String())
		Expect(c.SetDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		Expect(status(c, []byte("POST /jobs/7 HTTP/1.1\r\nHost: a\r\n"+header+"\r\n\r\n"))).To(Equal(http.StatusNotFound))
	},
		Entry("with Expect", "Content-Length: 1000\r\nExpect: 100-continue"),
		Entry("of 256 KiB", "Content-Length: 262144"),
	)

	// Guards against encrypted connections whose requests are not counted, or that hide
	// the client's certificate from the handler.
	It("counts requests on encrypted connections", func() {
		pool := NewPool(Options{Budget: budget, Limits: func() Limits { return testLimits }, Logger: zerolog.Nop()})
		var held atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			pool.mu.Lock()
			held.Store(pool.rule.Held())
			pool.mu.Unlock()
			if r.TLS == nil {
				w.WriteHeader(http.StatusForbidden)
			}
		}))
		pool.Attach(server.Config)
		server.Listener = pool.Listener("test", 4, server.Listener, true)
		server.StartTLS()
		DeferCleanup(server.Close)
		for range 2 {
			response, err := server.Client().Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", 100<<10)))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(held.Load()).To(BeNumerically(">=", 100<<10))
		}
		server.Client().CloseIdleConnections()
		Eventually(func() int64 {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.rule.Held() + int64(len(pool.conns))
		}).WithTimeout(10 * time.Second).Should(BeZero())
	})
})
