package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/membership"
)

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	draining   atomic.Bool
	once       sync.Once
	requested  chan struct{}                 // closed when an operator requests a drain
	handedOver chan claims.HandOverCompleted // holds the last completed hand-over
	left       chan struct{}                 // closed when the voters have removed this instance
}

func newShutdownState() *shutdownState {
	return &shutdownState{
		requested:  make(chan struct{}),
		handedOver: make(chan claims.HandOverCompleted, 1),
		left:       make(chan struct{}),
	}
}

// drain shuts down gracefully: the readiness check fails first, so that the load
// balancer removes the instance; then requests in flight are finished.
func (s *Server) drain() {
	s.shutdown.draining.Store(true)
	s.directory.setDraining(s.options.Name, true)
	s.log.Info().Str("event", "drain_started").Send()
	s.reassignTargets()
	time.Sleep(s.options.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), s.options.DrainTimeout)
	defer cancel()
	if s.static {
		s.post(input{dispatch: dispatch.Drain{}})
	} else if err := s.handOver(ctx); err != nil {
		s.log.Error().Str("event", "drain_timeout").Str("step", "leave members").Err(err).Send()
	}
	if s.options.Clients != nil {
		s.options.Clients.Drain()
	}
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Error().Str("event", "drain_timeout").Str("step", "close client connections").Err(err).Send()
	}
	if err := s.requests.wait(ctx); err != nil {
		s.log.Error().Str("event", "drain_timeout").Str("step", "finish requests").Err(err).Send()
	}
	if err := s.attempts.wait(ctx); err != nil {
		s.log.Error().Str("event", "drain_timeout").Str("step", "finish attempts").Err(err).Send()
	}
	if err := s.control.TransferLeadership(ctx); err != nil {
		s.log.Warn().Str("event", "resign_failed").Str("step", "transfer leadership").Err(err).Send()
	}
	s.detector.post(membership.Leave{})
	s.log.Info().Str("event", "drain_finished").Send()
}
