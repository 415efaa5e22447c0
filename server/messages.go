package server

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/claims/lease"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/membership"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// HandleMessage processes a one-way message of a peer.
func (s *Server) HandleMessage(hello *wire.Hello, message *wire.Envelope) {
	peer := hello.GetInstance()
	switch body := message.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		s.handleHeartbeat(peer, body.Heartbeat)
	case *wire.Envelope_ClaimCopy:
		s.handleClaimCopy(peer, body.ClaimCopy)
	case *wire.Envelope_ClaimCopyAck:
		s.handleClaimCopyAck(peer, body.ClaimCopyAck)
	case *wire.Envelope_Announcement:
		s.post(input{dispatch: dispatch.TargetAnnounced{Announcement: announcementFromWire(body.Announcement)}})
	case *wire.Envelope_SlotRequest:
		s.post(input{dispatch: dispatch.SlotsRequested{
			Peer: peer, Class: body.SlotRequest.GetClass(), Count: int(body.SlotRequest.GetCount()),
			MinCores: body.SlotRequest.GetMinCores(), MinMB: body.SlotRequest.GetMinMb(),
			Waited: time.Duration(body.SlotRequest.GetWaitedUs()) * time.Microsecond,
		}})
	case *wire.Envelope_SlotGrant:
		s.post(input{dispatch: dispatch.SlotsGranted{
			Peer: peer, Class: body.SlotGrant.GetClass(), Slots: loansFromWire(time.Now(), body.SlotGrant),
		}})
	case *wire.Envelope_SlotReturn:
		s.post(input{dispatch: dispatch.SlotReturned{
			Peer: peer, TargetID: body.SlotReturn.GetTargetId(), Class: body.SlotReturn.GetClass(),
			Failed: body.SlotReturn.GetFailed(), RunMS: body.SlotReturn.GetRunMs(), Busy: body.SlotReturn.GetBusy(),
		}})
	case *wire.Envelope_Membership:
		s.handleMembership(body.Membership)
	case *wire.Envelope_Consensus:
		s.control.HandleConsensus(peer, body.Consensus)
	case *wire.Envelope_LeasePromise:
		s.post(input{lease: lease.PromiseRequested{
			Peer: peer, Epoch: body.LeasePromise.GetEpoch(), Sequence: body.LeasePromise.GetSequence(),
			Duration: time.Duration(body.LeasePromise.GetDurationMs()) * time.Millisecond,
		}})
	case *wire.Envelope_LeasePromised:
		s.post(input{lease: lease.PromiseAnswered{
			Peer: peer, Incarnation: hello.GetIncarnation(), Sequence: body.LeasePromised.GetSequence(),
			Granted: body.LeasePromised.GetGranted(), Epoch: body.LeasePromised.GetEpoch(),
		}})
	case *wire.Envelope_HandOver:
		s.post(input{claims: claims.HandOverReceived{Peer: peer, HandOver: handOverFromWire(body.HandOver)}})
	case *wire.Envelope_HandOverMatched:
		s.post(input{claims: claims.HandOverAcked{Peer: peer, Token: body.HandOverMatched.GetToken()}})
	default:
		s.log.Warn().Str("event", "message_unexpected").Str("peer", peer).
			Str("type", fmt.Sprintf("%T", body)).Send()
	}
}

// HandleCall serves a request of a peer.
func (s *Server) HandleCall(ctx context.Context, peer string, request *wire.Envelope) (*wire.Envelope, error) {
	switch body := request.GetBody().(type) {
	case *wire.Envelope_JobRequest:
		return s.handleJobRequest(ctx, body.JobRequest)
	}
	reply, err := s.control.HandleCall(ctx, request)
	if reply == nil && err == nil {
		err = fmt.Errorf("unexpected request %T", request.GetBody())
	}
	if err != nil {
		return nil, &structs.StepError{Step: "serve call", Peer: peer, Err: err}
	}
	return reply, nil
}

// LinkUp processes a new link to a peer.
func (s *Server) LinkUp(hello *wire.Hello) {
	peer := hello.GetInstance()
	incarnation, err := strconv.ParseUint(hello.GetIncarnation(), 10, 64)
	if err != nil {
		s.log.Error().Str("event", "hello_malformed").Str("peer", peer).Err(err).Send()
	}
	s.detector.post(membership.PeerFound{Peer: peer, Incarnation: incarnation})
	if s.directory.isLocalPeer(peer) && s.directory.recordIncarnation(peer, hello.GetIncarnation()) {
		s.post(input{claims: claims.PeerRestarted{Peer: peer}})
	}
	s.log.Info().Str("event", "link_up").Str("peer", hello.GetInstance()).
		Str("data_centre", hello.GetDataCentre()).Str("incarnation", hello.GetIncarnation()).Send()
}

// LinkDown processes the loss of the link to a peer.
func (s *Server) LinkDown(peer string, cause error) {
	s.detector.post(membership.LinkLost{Peer: peer})
	s.log.Warn().Str("event", "link_down").Str("peer", peer).Str("step", "link").Err(cause).Send()
	s.post(input{dispatch: dispatch.PeerLost{Peer: peer}})
}

// LinkFailed logs a link that could not be established.
func (s *Server) LinkFailed(address string, cause error) {
	s.log.Warn().Str("event", "link_refused").Str("step", "link").Str("peer", address).Err(cause).Send()
}

// Heartbeat returns the body of the next heartbeat on a link.
func (s *Server) Heartbeat() *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{
		ClockUnixMs:   time.Now().UnixMilli(),
		ConfigVersion: s.configVersion.Load(),
		Draining:      s.shutdown.draining.Load(),
	}
	if !s.static {
		state := s.control.State()
		heartbeat.StateVersion = state.Version()
	}
	if capacity := s.capacity.Load(); capacity != nil {
		heartbeat.FreeSlots = int32(capacity.Free)
		heartbeat.TotalSlots = int32(capacity.Total)
		heartbeat.MaxCores = capacity.MaxCores
		heartbeat.MaxMb = capacity.MaxMB
		heartbeat.Targets = int32(capacity.Targets)
		heartbeat.EjectedTargets = int32(capacity.Ejected)
	}
	return heartbeat
}

func (s *Server) handleHeartbeat(peer string, heartbeat *wire.Heartbeat) {
	s.control.ObserveVersion(peer, heartbeat.GetStateVersion())
	s.directory.recordHeartbeat(peer, heartbeat)
	s.detector.post(membership.HeartbeatReceived{Peer: peer})
	if s.directory.setDraining(peer, heartbeat.GetDraining()) {
		s.reassignTargets()
	}
	if s.directory.isLocalPeer(peer) {
		s.post(input{dispatch: dispatch.PeerCapacityUpdated{
			Peer: peer, Free: int(heartbeat.GetFreeSlots()), Total: int(heartbeat.GetTotalSlots()),
			MaxCores: heartbeat.GetMaxCores(), MaxMB: heartbeat.GetMaxMb(),
			Targets: int(heartbeat.GetTargets()), Ejected: int(heartbeat.GetEjectedTargets()),
		}})
	}
}

// handleClaimCopy stores a copy and acknowledges it unless it has an answer.
func (s *Server) handleClaimCopy(peer string, message *wire.ClaimCopy) {
	c, err := copyFromWire(message)
	if err != nil {
		s.log.Error().Str("event", "claim_copy_malformed").Str("peer", peer).Err(err).Send()
		return
	}
	s.post(input{claims: claims.CopyReceived{Peer: peer, Copy: c}})
	if c.Answer == nil {
		s.send(peer, &wire.Envelope{Body: &wire.Envelope_ClaimCopyAck{ClaimCopyAck: &wire.ClaimCopyAck{JobId: c.JobID[:]}}})
	}
}

func (s *Server) handleClaimCopyAck(peer string, message *wire.ClaimCopyAck) {
	id, err := jobIDFromWire(message.GetJobId())
	if err != nil {
		s.log.Error().Str("event", "claim_ack_malformed").Str("peer", peer).Err(err).Send()
		return
	}
	s.post(input{claims: claims.CopyAcked{Peer: peer, JobID: id}})
}
