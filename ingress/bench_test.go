package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// BenchmarkRequest measures an ordinary request on a kept connection, with and without
// a pool.
func BenchmarkRequest(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "pool"}[bounded]
		b.Run(name, func(b *testing.B) {
			inner, err := Listen(context.Background(), "127.0.0.1:0", 0)
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(http.StatusOK)
			})}
			listener := inner
			if bounded {
				pool := NewPool(Options{
					Budget: Budget{Bytes: 1 << 24, Reserve: 1 << 20}, Limits: func() Limits { return testLimits }, Logger: zerolog.Nop(),
				})
				pool.Attach(server)
				listener = pool.Listener("test", 1000, inner, false)
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			request := []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				response.Body.Close()
			}
		})
	}
}
