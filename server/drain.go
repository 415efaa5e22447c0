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

// plannedStop is how far a graceful stop of the instance has come.
type plannedStop struct {
	draining   atomic.Bool
	once       sync.Once
	requested  chan struct{}                 // closed by an operator's request
	handedOver chan claims.HandOverCompleted // holds the latest hand-over
	left       chan struct{}                 // closed when the voters have removed this instance
}

func newPlannedStop() *plannedStop {
	return &plannedStop{
		requested:  make(chan struct{}),
		handedOver: make(chan claims.HandOverCompleted, 1),
		left:       make(chan struct{}),
	}
}

// drain carries out a planned stop: the balancer is told first, then requests
// in flight are finished.
func (s *Server) drain() {
	s.stop.draining.Store(true)
	s.directory.setDraining(s.options.Name, true)
	s.log.Info().Str("event", "drain_started").Send()
	s.reviewTargets()
	time.Sleep(s.options.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), s.options.DrainTimeout)
	defer cancel()
	if s.static {
		s.post(input{dispatch: dispatch.Drain{}})
	} else if err := s.handOver(ctx); err != nil {
		s.log.Error().Str("event", "drain_timeout").Str("step", "leave members").Err(err).Send()
	}
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Error().Str("event", "drain_timeout").Str("step", "close callers").Err(err).Send()
	}
	if err := s.requests.wait(ctx); err != nil {
		s.log.Error().Str("event", "drain_timeout").Str("step", "finish requests").Err(err).Send()
	}
	if err := s.attempts.wait(ctx); err != nil {
		s.log.Error().Str("event", "drain_timeout").Str("step", "finish attempts").Err(err).Send()
	}
	if err := s.control.TransferLeadership(ctx); err != nil {
		s.log.Warn().Str("event", "resign_failed").Str("step", "hand over leadership").Err(err).Send()
	}
	s.detector.notice(membership.Leave{})
	s.log.Info().Str("event", "drain_finished").Send()
}
