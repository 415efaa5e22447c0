package server

import (
	"context"
	"strings"
	"time"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/server/control"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// proposeTimeout bounds one lease proposal; the lease core retries.
const proposeTimeout = structs.OwnerRenewInterval

// leaseEffect executes an effect of the lease core.
func (s *Server) leaseEffect(_ time.Time, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.Propose:
		go s.proposeLease(e)
	case lease.SendPromiseRequest:
		s.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_LeasePromise{LeasePromise: &wire.LeasePromise{
			Epoch: e.Epoch, DurationMs: e.Duration.Milliseconds(), Sequence: e.Sequence,
		}}})
	case lease.SendPromiseReply:
		s.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_LeasePromised{LeasePromised: &wire.LeasePromised{
			Epoch: e.Epoch, Granted: e.Granted, Sequence: e.Sequence,
		}}})
	case lease.FetchView:
		s.control.Pull(e.Peer)
	case lease.MembersChanged:
		s.membersChanged(&e)
	case lease.LeaseChanged:
		s.leaseChanged(&e)
	case lease.LeaveCompleted:
		close(s.shutdown.left)
	}
}

// proposeLease proposes a command to the voters and posts its result.
func (s *Server) proposeLease(e lease.Propose) {
	ctx, cancel := context.WithTimeout(s.lifetime, proposeTimeout)
	defer cancel()
	result, err := s.control.ProposeLease(ctx, s.options.DataCentre, &e.Command)
	if err != nil {
		s.log.Debug().Str("event", "lease_not_renewed").Str("step", "propose lease").Err(err).Send()
		return
	}
	s.post(input{lease: lease.ProposalApplied{Sequence: e.Sequence, Result: result}})
}

func (s *Server) membersChanged(e *lease.MembersChanged) {
	names := e.View.Names()
	s.directory.setAgreedMembers(s.options.DataCentre, names)
	s.metrics.epoch.Set(e.View.Epoch)
	s.log.Info().Str("event", "members_agreed").Uint64("epoch", e.View.Epoch).
		Str("members", strings.Join(names, ",")).Str("left", e.View.Left).Send()
}

func (s *Server) leaseChanged(e *lease.LeaseChanged) {
	before := s.lease.Swap(e)
	if before == nil || before.Held != e.Held {
		s.log.Info().Str("event", "lease_changed").Bool("held", e.Held).Uint64("epoch", e.Epoch).Send()
	}
}

// leaseHeld reports whether this instance may send starts now.
func (s *Server) leaseHeld() bool {
	if s.static {
		return true
	}
	e := s.lease.Load()
	return e != nil && e.Held && time.Now().Before(e.Until)
}

// applyState applies a newer system state.
func (s *Server) applyState(state control.State) {
	if before := s.configVersion.Swap(state.Config.Version); before != state.Config.Version {
		s.log.Info().Str("event", "config_in_force").Uint64("version", state.Config.Version).
			Str("operator", state.Revision.Operator).Send()
		s.metrics.configVersion.Set(state.Config.Version)
		s.applyConfig(state.Config)
	}
	for centre, view := range state.Views {
		if centre == s.options.DataCentre {
			s.post(input{lease: lease.ViewReceived{View: view}})
			continue
		}
		s.directory.setAgreedMembers(centre, view.Names())
	}
}
