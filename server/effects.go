package server

import (
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// claimsEffect executes an effect of the claims core.
func (s *Server) claimsEffect(_ time.Time, effect claims.Effect) {
	switch e := effect.(type) {
	case claims.SendCopy:
		s.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_ClaimCopy{ClaimCopy: copyToWire(e.Copy)}})
	case claims.Reply:
		s.pending.answer(e.Request, e.Answer)
	case claims.SendHandOver:
		s.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_HandOver{HandOver: handOverToWire(&e.HandOver)}})
	case claims.AckHandOver:
		s.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_HandOverMatched{HandOverMatched: &wire.HandOverMatched{Token: e.Token}}})
	case claims.HandOverCompleted:
		s.publishHandOver(e)
	case claims.Forward:
		go s.forwardWaiting(e)
	case claims.CopyTimedOut:
		s.metrics.claimUncopied.Inc()
		s.log.Debug().Str("event", "claim_uncopied").Str("job_id", e.JobID.String()).
			Str("step", "copy").Str("peer", e.Peer).Send()
	}
}

// publishHandOver passes the completed hand-over to the drain, in place of an
// earlier one that the drain has not read yet.
func (s *Server) publishHandOver(e claims.HandOverCompleted) {
	select {
	case <-s.shutdown.handedOver:
	default:
	}
	s.shutdown.handedOver <- e
}

// dispatchEffect executes an effect of the dispatch core.
func (s *Server) dispatchEffect(now time.Time, effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.StartAttempt:
		s.metrics.starts.Inc()
		s.attempts.add()
		go s.runAttempt(e)
	case dispatch.ResolveAttempt:
		s.metrics.countWasted(wastedResolve)
		s.attempts.add()
		go s.resolveAttempt(e)
	case dispatch.CancelAttempt:
		s.attempts.add()
		go s.cancelAttempt(e)
	case dispatch.JobFinished:
		s.jobFinished(&e.Answer)
	case dispatch.RequestSlots:
		s.metrics.slotRequests.Inc()
		s.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_SlotRequest{SlotRequest: &wire.SlotRequest{
			Class: e.Class, Count: int32(e.Count), MinCores: e.MinCores, MinMb: e.MinMB,
			WaitedUs: e.Waited.Microseconds(),
		}}})
	case dispatch.GrantSlots:
		if len(e.Slots) == 0 {
			s.metrics.countWasted(wastedGrant)
		}
		s.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_SlotGrant{SlotGrant: loansToWire(now, &e)}})
	case dispatch.ReturnSlot:
		if e.RunMS == 0 && !e.Failed {
			s.metrics.countWasted(wastedLoan)
		}
		s.send(e.Peer, &wire.Envelope{Body: &wire.Envelope_SlotReturn{SlotReturn: &wire.SlotReturn{
			TargetId: e.TargetID, Class: e.Class, Failed: e.Failed, RunMs: e.RunMS, Busy: e.Busy,
		}}})
	case dispatch.TargetEjected:
		s.log.Warn().Str("event", "target_ejected").Str("target", e.TargetID).Str("cause", e.Cause).Send()
	case dispatch.TargetRestored:
		s.log.Info().Str("event", "target_restored").Str("target", e.TargetID).Send()
	}
}

func (s *Server) jobFinished(answer *structs.Answer) {
	s.metrics.jobFinished(answer)
	if answer.Outcome == structs.OutcomeComplete {
		return
	}
	s.log.Info().Str("event", "job_finished").Str("job_id", answer.JobID.String()).
		Str("outcome", string(answer.Outcome)).Str("reason", string(answer.Reason)).
		Str("message", answer.Message).Send()
}

// afterPass publishes the state that heartbeats and the readiness check read.
func (s *Server) afterPass(claimsCore *claims.Core, dispatchCore *dispatch.Core) {
	capacity := dispatchCore.Capacity()
	s.capacity.Store(&capacity)
	ownership := claimsCore.Ownership()
	s.ownership.Store(&ownership)
}

// send queues a one-way message to a peer. A message that cannot be queued is
// dropped, as on a failed link; every exchange has its own timeout.
func (s *Server) send(peer string, message *wire.Envelope) {
	if err := s.mesh.Send(peer, message); err != nil {
		s.metrics.sendFailed.Inc()
		s.log.Debug().Str("event", "send_failed").Str("step", "send").Str("peer", peer).Err(err).Send()
	}
}
