package server

import (
	"context"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/claims/lease"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/wire"
)

func handOverToWire(h *claims.HandOver) *wire.HandOver {
	message := &wire.HandOver{Token: h.Token, Epoch: h.Epoch}
	for _, seal := range h.Partitions {
		message.Partitions = append(message.Partitions, &wire.PartitionSeal{
			Partition:     int32(seal.Partition),
			HorizonUnixMs: seal.HorizonUnixMS,
			Count:         int32(seal.Count),
			Digest:        seal.Digest,
		})
	}
	return message
}

func handOverFromWire(message *wire.HandOver) claims.HandOver {
	h := claims.HandOver{Token: message.GetToken(), Epoch: message.GetEpoch()}
	for _, seal := range message.GetPartitions() {
		h.Partitions = append(h.Partitions, claims.Seal{
			Partition:     int(seal.GetPartition()),
			HorizonUnixMS: seal.GetHorizonUnixMs(),
			Count:         int(seal.GetCount()),
			Digest:        seal.GetDigest(),
		})
	}
	return h
}

// forwardWaiting forwards a submission that waited for a change of owner to the
// new owner, and answers the pending request.
func (s *Server) forwardWaiting(e claims.Forward) {
	job := e.Submit.Job
	req := &jobRequest{
		action:         wire.JobAction_JOB_ACTION_SUBMIT,
		job:            job,
		digest:         e.Submit.Digest,
		answerDeadline: answerDeadline(wire.JobAction_JOB_ACTION_SUBMIT, &job),
	}
	ctx, cancel := context.WithDeadline(s.lifetime, req.answerDeadline)
	defer cancel()
	s.pending.answer(e.Submit.Request, s.route(ctx, req))
}

// handOver waits until the claims core has handed over its records, and then
// until the voters have removed this instance from the members. If the hand-over
// is incomplete leaveMargin before the timeout, it leaves anyway.
func (s *Server) handOver(ctx context.Context) error {
	s.post(input{claims: claims.Drain{}, dispatch: dispatch.Drain{}})
	handOverCtx, cancel := context.WithTimeout(ctx, s.options.DrainTimeout-leaveMargin)
	defer cancel()
	var done claims.HandOverCompleted
	select {
	case done = <-s.shutdown.handedOver:
	case <-handOverCtx.Done():
		s.log.Warn().Str("event", "hand_over_incomplete").Str("step", "hand over").Send()
	}
	s.post(input{lease: lease.Leave{Token: done.Token, Epoch: done.Epoch}})
	select {
	case <-s.shutdown.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leaveMargin is the part of the drain timeout reserved for leaving the members.
const leaveMargin = 2 * time.Second
