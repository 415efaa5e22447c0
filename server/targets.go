package server

import (
	"hawthornshore.example/claims"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// forwardAnnouncement sends an announcement to the target's slot manager.
func (s *Server) forwardAnnouncement(manager string, a *structs.Announcement) error {
	if manager == s.options.Name {
		s.post(input{dispatch: dispatch.TargetAnnounced{Announcement: *a}})
		return nil
	}
	return s.mesh.Send(manager, &wire.Envelope{Body: &wire.Envelope_Announcement{Announcement: announcementToWire(a)}})
}

// reassignTargets releases the targets that another live instance manages now. It
// sends their last announcements to that instance, so that their slots can be used
// before the next announcement.
func (s *Server) reassignTargets() {
	s.post(input{inspect: func(_ *claims.Core, dispatchCore *dispatch.Core) {
		for _, target := range dispatchCore.Targets() {
			a := target.Announcement
			manager := s.directory.manager(a.TargetID)
			if manager == s.options.Name {
				continue
			}
			if err := s.forwardAnnouncement(manager, &a); err != nil {
				s.log.Debug().Str("event", "send_failed").Str("step", "hand over target").Str("peer", manager).Err(err).Send()
			}
			s.postAsync(input{dispatch: dispatch.TargetReassigned{TargetID: a.TargetID}})
		}
	}})
}

// postAsync queues an event from within the core loop, which must not block on
// its own queue.
func (s *Server) postAsync(in input) {
	go s.post(in)
}
