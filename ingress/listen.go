package ingress

import (
	"context"
	"net"
	"syscall"
)

const (
	// socketBuffer is the size of the kernel's receive and send buffers of a connection;
	// the kernel doubles it. Received bytes that are not read yet count towards the
	// machine's memory. At 1.4 ms one way it permits about 10 MB/s.
	socketBuffer = 16 << 10
	// acceptQueue is the number of connections that wait to be accepted. Each may have
	// a full receive buffer.
	acceptQueue = 256
)

// Listen listens on a TCP address. The connections have small buffers in the kernel.
func Listen(ctx context.Context, address string) (net.Listener, error) {
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
	if tcp, ok := inner.(*net.TCPListener); ok {
		raw, err := tcp.SyscallConn()
		if err != nil {
			return nil, err
		}
		// A second call replaces the length of the queue, which package net takes from
		// the machine's settings.
		if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), acceptQueue) }); err != nil {
			return nil, err
		}
	}
	return inner, nil
}
