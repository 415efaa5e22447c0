package settings

import "time"

// Limits bounds the daemon's use of resources.
type Limits struct {
	DrainDelay     time.Duration
	DrainTimeout   time.Duration
	MaxConnections int
	HeaderTimeout  time.Duration
	MaxHeaderBytes int64
	IdleTimeout    time.Duration
	RequestMemory  int64 // bytes
}

func (m *mergedSettings) limits() Limits {
	s := m.section("limits")
	return Limits{
		DrainDelay:     s.duration("drain_delay"),
		DrainTimeout:   s.duration("drain_timeout"),
		MaxConnections: s.integer("max_connections"),
		HeaderTimeout:  s.duration("header_timeout"),
		MaxHeaderBytes: s.bytes("max_header_size"),
		IdleTimeout:    s.duration("idle_timeout"),
		RequestMemory:  s.bytes("max_request_memory"),
	}
}
