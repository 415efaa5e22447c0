package server

import (
	"context"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/membership"
	"hawthornshore.example/ring"
	"hawthornshore.example/wire"
)

// memberQueueSize is the capacity of the queue of events for the member loop. A
// heartbeat that does not fit is dropped; the next one replaces it.
const memberQueueSize = 4096

// detector is the failure detector; its membership core is owned by memberLoop.
type detector struct {
	core  *membership.Core
	queue *ring.Ring[membership.Event]
}

func newDetector(options *Options) *detector {
	return &detector{
		core: membership.New(membership.Options{
			Instance:    options.Name,
			Incarnation: options.Incarnation,
			Seed:        options.Incarnation,
		}),
		queue: ring.New[membership.Event](memberQueueSize),
	}
}

// post queues an event for the member loop.
func (d *detector) post(event membership.Event) {
	_ = d.queue.Push(event) // see memberQueueSize
}

// memberLoop steps the membership core until ctx ends.
func (s *Server) memberLoop(ctx context.Context) error {
	d := s.detector
	timer := time.NewTimer(membership.ProbeInterval)
	defer timer.Stop()
	var batch []membership.Event
	for {
		select {
		case <-d.queue.Ready():
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		batch = d.queue.PopAll(batch[:0])
		for _, event := range append(batch, membership.Tick{}) {
			d.core.Step(time.Now(), event)
		}
		for _, effect := range d.core.Ready() {
			s.membershipEffect(effect)
		}
		if due, ok := d.core.NextWake(); ok {
			timer.Reset(max(time.Until(due), 0))
		}
	}
}

// membershipEffect executes an effect of the membership core.
func (s *Server) membershipEffect(effect membership.Effect) {
	switch e := effect.(type) {
	case membership.Send:
		s.sendMembership(&e)
	case membership.MemberUp:
		s.log.Info().Str("event", "member_up").Str("peer", e.Name).Send()
		s.setMemberLive(e.Name, true)
	case membership.MemberSuspected:
		s.log.Info().Str("event", "member_suspected").Str("peer", e.Name).Send()
		s.directory.setSuspect(e.Name)
	case membership.MemberDown:
		s.log.Warn().Str("event", "member_down").Str("peer", e.Name).Bool("left", e.Left).Send()
		s.setMemberLive(e.Name, false)
		s.directory.setDown(e.Name, e.Left)
	case membership.ClockSkewChanged:
		s.clockSkewChanged(&e)
	}
}

func (s *Server) sendMembership(e *membership.Send) {
	s.send(e.To, &wire.Envelope{Body: &wire.Envelope_Membership{Membership: membershipToWire(&e.Message)}})
}

func (s *Server) handleMembership(message *wire.MembershipMessage) {
	s.detector.post(membership.MessageReceived{Message: membershipFromWire(message)})
}

func membershipToWire(m *membership.Message) *wire.MembershipMessage {
	message := &wire.MembershipMessage{
		Kind:        uint32(m.Kind),
		From:        m.From,
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		Subject:     m.Subject,
		ForInstance: m.Requester,
		ClockUnixMs: m.ClockUnixMS,
	}
	for i := range m.Updates {
		message.Updates = append(message.Updates, &wire.MemberUpdate{
			Name:        m.Updates[i].Name,
			Incarnation: m.Updates[i].Incarnation,
			Status:      uint32(m.Updates[i].Status),
		})
	}
	return message
}

func membershipFromWire(message *wire.MembershipMessage) membership.Message {
	m := membership.Message{
		Kind:        membership.Kind(message.GetKind()),
		From:        message.GetFrom(),
		Incarnation: message.GetIncarnation(),
		Sequence:    message.GetSequence(),
		Subject:     message.GetSubject(),
		Requester:   message.GetForInstance(),
		ClockUnixMS: message.GetClockUnixMs(),
	}
	for _, update := range message.GetUpdates() {
		m.Updates = append(m.Updates, membership.Update{
			Name:        update.GetName(),
			Incarnation: update.GetIncarnation(),
			Status:      membership.Status(update.GetStatus()),
		})
	}
	return m
}

// setMemberLive records whether an instance is alive and reassigns targets.
func (s *Server) setMemberLive(instance string, live bool) {
	if s.directory.setLive(instance, live) {
		s.reassignTargets()
	}
}

// clockSkewChanged suspends the admission of jobs while the clock is skewed,
// because job IDs cannot be compared with the recovery horizon then.
func (s *Server) clockSkewChanged(e *membership.ClockSkewChanged) {
	event := s.log.Info()
	if e.Skewed {
		event = s.log.Error()
	}
	event.Str("event", "clock_skew").Bool("skewed", e.Skewed).Int64("offset_ms", e.Offset.Milliseconds()).Send()
	s.clockOffset.Store(e.Offset.Milliseconds())
	s.post(input{claims: claims.ClockSkewChanged{Skewed: e.Skewed}})
}
