package main

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/cluster"
	"hawthornshore.example/ingress"
)

// Limits where the operators' document has none.
const (
	defaultHeadBytes   = 16 << 10
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 15 * time.Second
	// outerHeadBytes and outerHeadTimeout bound the limits of the document. net/http
	// applies them without the pool.
	outerHeadBytes   = 1 << 20
	outerHeadTimeout = time.Minute
)

const (
	// fileDescriptors is the part of the machine's descriptors that is for files.
	fileDescriptors = 200
	// linkDescriptors is for links, listeners and the runtime: at most 8 coordinators
	// are linked in both directions.
	linkDescriptors = 32
	// sideConnections is the limit on connections for readiness and for metrics. Each
	// is asked by a few clients, about once a second.
	sideConnections = 32
	// callerBacklog is the most connections that wait to be accepted at a gateway: 8 MiB
	// with full receive buffers, 0.06 of 144 MB.
	callerBacklog = 256
	// controlBacklog holds the heartbeats of almost 3 s of a frozen coordinator: 1,100
	// targets open up to 733 connections a second. With full receive buffers it takes
	// 64 MiB, 0.16 of 408 MB, which fits as long as the accepted connections do not all
	// have full send buffers.
	controlBacklog = 2048
	// sideBacklog is that of readiness and metrics: as many as are served.
	sideBacklog = sideConnections
	// targetShare is the part of a coordinator's descriptors for its connections to
	// targets; as many are left for those from targets.
	targetShare = 0.5
	// connectionBytes is the memory of a connection without a body: two buffers of
	// 4 KB, the stacks of its goroutines, its request and a head of 4 KB.
	connectionBytes = 32 << 10
	// connectionShare is the part of the machine's memory for connections. Twice as much may
	// be in the kernel's buffers for them, which is outside the runtime's limit of 0.6. It
	// permits 576 connections with 144 MB.
	connectionShare = 0.125
	// requestShare is the part of the machine's memory for the bytes of requests. Reading
	// them takes up to twice as much, and the runtime's limit has to hold the rest.
	requestShare = 0.12
	// smallShare is the part of the bytes of requests that is reserved for small ones.
	smallShare = 0.25
	// unknownMemory stands for the machine's memory where the settings do not have it.
	unknownMemory = 144 << 20
	// leastConnections is the limit that is kept with very few descriptors.
	leastConnections = 16
)

// clients applies the limits for untrusted clients to the servers of a process.
type clients struct {
	pool *ingress.Pool
	// connections is the limit for the address of callers, or of targets and operators.
	connections int
}

func (p *process) newClients(limits func() cluster.Limits) *clients {
	s := &p.settings
	memory := cmp.Or(s.MemoryBytes, unknownMemory)
	connections := int(connectionShare * float64(memory) / connectionBytes)
	if s.MaxDescriptors > 0 {
		descriptors := s.MaxDescriptors - fileDescriptors - linkDescriptors - sideConnections
		if s.ControlAddress == "" {
			descriptors -= sideConnections
		} else {
			descriptors = int(float64(descriptors) * (1 - targetShare))
		}
		connections = min(connections, descriptors)
	}
	budget := int64(requestShare * float64(memory))
	pool := ingress.NewPool(ingress.Options{
		Budget: ingress.Budget{Bytes: budget, Reserve: int64(smallShare * float64(budget))},
		Limits: func() ingress.Limits { return clientLimits(limits()) },
		Logger: p.logger,
	})
	p.writeClientMetrics = pool.WritePrometheus
	return &clients{pool: pool, connections: max(connections, leastConnections)}
}

// clientLimits returns the limits of the document, or the defaults.
func clientLimits(l cluster.Limits) ingress.Limits {
	return ingress.Limits{
		HeadBytes:   min(cmp.Or(max(l.MaxHeaderBytes, 0), defaultHeadBytes), outerHeadBytes),
		HeadTimeout: min(cmp.Or(l.HeaderTimeout, defaultHeadTimeout), outerHeadTimeout),
		IdleTimeout: cmp.Or(l.IdleTimeout, defaultIdleTimeout),
	}
}

// address is where a server listens.
type address struct {
	name, hostPort string
	connections    int // limit
	backlog        int // most connections that wait to be accepted
}

// serve listens on the address and serves in the group until the context ends.
func (c *clients) serve(ctx context.Context, group *errgroup.Group, a address, server *http.Server) error {
	inner, err := ingress.Listen(ctx, a.hostPort, a.backlog)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", a.hostPort)
	}
	listener := c.pool.Listener(a.name, a.connections, inner, false)
	server.ReadHeaderTimeout, server.MaxHeaderBytes = outerHeadTimeout, outerHeadBytes
	c.pool.Attach(server)
	server.ErrorLog = nil // the standard logger: errors go to stderr, without a rate limit
	group.Go(func() error {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Annotatef(err, "serve %s", a.hostPort)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}
