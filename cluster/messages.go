package cluster

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// HandleMessage processes a one-way message.
func (c *Coordinator) HandleMessage(hello *wire.Hello, message *wire.Envelope) {
	peer := hello.GetInstance()
	switch body := message.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		c.handleHeartbeat(peer, body.Heartbeat)
	case *wire.Envelope_Directory:
		c.addCoordinators(directoryNames(body.Directory))
	case *wire.Envelope_Consensus:
		c.logNode.receive(peer, body.Consensus.GetData())
	case *wire.Envelope_Submission:
		c.handleSubmission(peer, body.Submission)
	case *wire.Envelope_Withdrawal:
		c.loop.push(placement.Withdraw{Caller: placement.Caller{Gateway: peer, Ref: body.Withdrawal.GetRef()}})
	case *wire.Envelope_RoomUpdate:
		c.loop.push(placement.PeerAvailability{
			Peer: peer, Draining: body.RoomUpdate.GetDraining(), Targets: availabilityFromWire(body.RoomUpdate.GetRooms()),
			Partial: body.RoomUpdate.GetPartial(), Removed: body.RoomUpdate.GetRemoved(),
		})
	case *wire.Envelope_PlacementRequest:
		c.loop.push(placement.PlacementsRequested{Peer: peer, Placements: placementsFromWire(body.PlacementRequest)})
	case *wire.Envelope_PlacementReports:
		c.loop.push(placement.PlacementsReported{Peer: peer, Reports: reportsFromWire(body.PlacementReports)})
	case *wire.Envelope_PlacementStops:
		c.loop.push(placement.StopRequested{Peer: peer, Refs: body.PlacementStops.GetRefs()})
	case *wire.Envelope_TargetHandOver:
		c.handleHandOver(peer, body.TargetHandOver)
	case *wire.Envelope_TargetDrain:
		c.handleTargetDrain(body.TargetDrain)
	case *wire.Envelope_DocumentRequest:
		c.documents.answer(peer, body.DocumentRequest)
	case *wire.Envelope_CancelledJobs:
		for _, id := range body.CancelledJobs.GetJobIds() {
			c.loop.push(placement.Cancel{JobID: id})
		}
	}
}

func (c *Coordinator) handleSubmission(gateway string, submission *wire.Submission) {
	ref := submission.GetRef()
	c.send(gateway, &wire.Envelope{Body: &wire.Envelope_SubmissionReceived{SubmissionReceived: &wire.SubmissionReceived{Ref: ref}}})
	job := jobFromWire(submission)
	if err := job.Validate(); err != nil { // of a gateway with an earlier version
		c.send(gateway, &wire.Envelope{Body: &wire.Envelope_SubmissionAnswer{SubmissionAnswer: answerToWire(&placement.AnswerJob{
			Caller: placement.Caller{Ref: ref}, Outcome: placement.NotRun, Reason: err.Error(), RetryAfter: notRunRetryDelay,
		})}})
		return
	}
	if submission.GetStored() {
		go c.handleStoredSubmission(c.runCtx, gateway, submission)
		return
	}
	c.loop.push(placement.Submit{Caller: placement.Caller{Gateway: gateway, Ref: ref}, Job: job})
}

// handleHandOver takes a target over. A peer with an earlier version may own one that
// is not valid.
func (c *Coordinator) handleHandOver(peer string, message *wire.TargetHandOver) {
	event := placement.HandOverReceived{Peer: peer, HandOver: handOverFromWire(message)}
	if err := event.HandOver.Description.Validate(); err != nil {
		event.Invalid = err.Error()
	}
	c.loop.push(event)
}

func (c *Coordinator) handleTargetDrain(message *wire.TargetDrain) {
	if message.GetLeft() {
		c.loop.push(placement.TargetDeregistered{Target: message.GetTarget(), BootUnixMS: message.GetBornUnixMs()})
		return
	}
	c.loop.push(placement.TargetDraining{Target: message.GetTarget(), BootUnixMS: message.GetBornUnixMs()})
}

func (c *Coordinator) handleHeartbeat(peer string, beat *wire.Heartbeat) {
	c.mu.Lock()
	state, ok := c.linked[peer]
	if ok {
		state.documentVersion, state.draining = beat.GetConfigVersion(), beat.GetDraining()
		if beat.LogReadAgeMs != nil {
			state.hasReadLog, state.logReadAt = true, boottimeNow()-fromMS(beat.GetLogReadAgeMs())
		}
		c.linked[peer] = state
	}
	gateway := ok && !state.coordinator
	c.mu.Unlock()
	if gateway {
		c.documents.push(peer)
	}
}

// HandleCall answers a request from another instance.
func (c *Coordinator) HandleCall(ctx context.Context, _ string, request *wire.Envelope) (*wire.Envelope, error) {
	switch body := request.GetBody().(type) {
	case *wire.Envelope_LogProposal:
		proposed, err := c.logNode.handleProposal(ctx, body.LogProposal.GetCommand())
		return &wire.Envelope{Body: &wire.Envelope_LogProposed{LogProposed: proposed}}, err
	case *wire.Envelope_LogReadRequest:
		reply, err := c.logNode.readIndex(ctx)
		return &wire.Envelope{Body: &wire.Envelope_LogReadReply{LogReadReply: reply}}, err
	case *wire.Envelope_DocumentRead:
		document, err := c.logNode.readDocument(ctx, body.DocumentRead.GetForwarded())
		return &wire.Envelope{Body: &wire.Envelope_DocumentAnswer{
			DocumentAnswer: &wire.DocumentAnswer{Version: document.Version, Body: document.Body},
		}}, err
	case *wire.Envelope_JobQuestion:
		if body.JobQuestion.GetCancelled() {
			state := &wire.JobState{}
			return &wire.Envelope{Body: &wire.Envelope_JobState{JobState: state}}, c.rememberCancelled(ctx, body.JobQuestion.GetJobId())
		}
		state, err := c.handleJobQuery(ctx, body.JobQuestion.GetJobId(), body.JobQuestion.GetCancel())
		return &wire.Envelope{Body: &wire.Envelope_JobState{JobState: state}}, err
	case *wire.Envelope_TargetHandOver:
		target := descriptionFromWire(body.TargetHandOver.GetTarget())
		if err := target.Validate(); err != nil {
			return nil, errors.Annotate(err, "forwarded heartbeat")
		}
		return &wire.Envelope{}, c.acceptHeartbeat(ctx, target)
	}
	return nil, errors.NotSupportedf("request %T", request.GetBody())
}

// LinkUp adds a linked peer and sends it the directory.
func (c *Coordinator) LinkUp(hello *wire.Hello) {
	name := hello.GetInstance()
	c.mu.Lock()
	c.linked[name] = peerState{
		coordinator: hello.GetVoter(), dataCentre: hello.GetDataCentre(), home: homeName(hello),
		requestsDocuments: hello.GetRequestsDocuments(), reportsLogReads: hello.GetReportsLogReads(),
		knowsRunRanges: hello.GetKnowsRunRanges(),
	}
	if hello.GetVoter() {
		c.directory[name] = hello.GetDataCentre()
	}
	c.mu.Unlock()
	c.options.Logger.Info().Str("event", "link_up").Str("peer", name).Str("data_centre", hello.GetDataCentre()).Send()
	c.sendDirectory(name)
	if hello.GetVoter() {
		c.loop.push(placement.PeerConnected{Peer: name, ChecksStepLimits: hello.GetChecksStepLimits()})
	}
}

// sendDirectory sends the directory to a new peer. If the peer is a coordinator,
// the directory also goes to all other peers.
func (c *Coordinator) sendDirectory(newPeer string) {
	c.mu.Lock()
	directory := &wire.Directory{}
	for name, centre := range c.directory {
		directory.Coordinators = append(directory.Coordinators, &wire.DirectoryEntry{Name: name, DataCentre: centre})
	}
	receivers := []string{newPeer}
	if c.linked[newPeer].coordinator {
		for name := range c.linked {
			if name != newPeer {
				receivers = append(receivers, name)
			}
		}
	}
	c.mu.Unlock()
	for _, name := range receivers {
		c.send(name, &wire.Envelope{Body: &wire.Envelope_Directory{Directory: directory}})
	}
}

func directoryNames(directory *wire.Directory) []string {
	var names []string
	for _, entry := range directory.GetCoordinators() {
		names = append(names, entry.GetName())
	}
	return names
}

// LinkDown removes a linked peer.
func (c *Coordinator) LinkDown(peer string, cause error) {
	c.mu.Lock()
	state := c.linked[peer]
	delete(c.linked, peer)
	c.mu.Unlock()
	c.options.Logger.Warn().Str("event", "link_down").Str("peer", peer).Err(cause).Send()
	if state.coordinator {
		c.loop.push(placement.PeerDisconnected{Peer: peer})
		return
	}
	c.documents.forget(peer)
	c.loop.push(placement.GatewayDisconnected{Gateway: peer})
}

// LinkFailed logs a connection that did not become a link.
func (c *Coordinator) LinkFailed(address string, cause error) {
	c.options.Logger.Warn().Str("event", "link_refused").Str("peer", address).Err(cause).Send()
}

// Heartbeat returns the body of the next heartbeat.
func (c *Coordinator) Heartbeat() *wire.Heartbeat {
	beat := &wire.Heartbeat{ClockUnixMs: time.Now().UnixMilli()}
	if readAt, ok := c.logNode.catchUp.newestRead(); ok {
		beat.LogReadAgeMs = proto.Int64(ms(boottimeNow() - readAt))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	beat.ConfigVersion, beat.Draining = c.document.Version, c.draining
	return beat
}
