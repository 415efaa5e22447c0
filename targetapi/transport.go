package targetapi

import (
	"net"
	"net/http"
)

// newTransport returns a transport with a bound on the connections per target.
// Without reuse every request opens a connection of its own.
func newTransport(maxConnections int, reuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
	}
}
