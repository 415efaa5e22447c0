// Package ingress bounds what the clients of an HTTP server hold: connections, heads,
// bodies and time. Rule decides without I/O; Pool applies it to listeners and handlers.
package ingress
