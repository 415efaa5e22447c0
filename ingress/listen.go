package ingress

import (
	"context"
	"net"
	"syscall"
)

// socketBuffer is the size of the kernel's receive and send buffers of a connection;
// the kernel doubles it. Received bytes that are not read yet count towards the
// machine's memory. At 1.4 ms one way it permits about 10 MB/s.
const socketBuffer = 16 << 10

// Listen listens on a TCP address. The connections have small buffers in the kernel.
// Backlog is the most connections that wait to be accepted, each of which may have a
// full receive buffer; 0 stands for the system's value, which also bounds it.
func Listen(ctx context.Context, address string, backlog int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		// Accepted connections inherit the sizes of the listener.
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer)
			if failed == nil {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBuffer)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := inner.(*net.TCPListener); ok && backlog > 0 {
		raw, err := tcp.SyscallConn()
		if err != nil {
			return nil, err
		}
		// A second call replaces the length of the queue, which package net takes from
		// the machine's settings.
		if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) }); err != nil {
			return nil, err
		}
	}
	return inner, nil
}
