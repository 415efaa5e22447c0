package server

import (
	"hawthornshore.example/claims"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// passAnnouncement hands an announcement to the target's slot manager.
func (s *Server) passAnnouncement(manager string, a *structs.Announcement) error {
	if manager == s.options.Name {
		s.post(input{dispatch: dispatch.TargetSeen{Announcement: *a}})
		return nil
	}
	return s.mesh.Send(manager, &wire.Envelope{Body: &wire.Envelope_Announcement{Announcement: announcementToWire(a)}})
}

// reviewTargets gives up the targets that another live instance manages now.
func (s *Server) reviewTargets() {
	s.post(input{inspect: func(_ *claims.Core, core *dispatch.Core) {
		for _, id := range core.ManagedTargets() {
			if s.directory.manager(id) != s.options.Name {
				s.postLater(input{dispatch: dispatch.TargetReleased{TargetID: id}})
			}
		}
	}})
}

// postLater hands an event to the decision loop from within the loop, which
// must not wait for itself.
func (s *Server) postLater(in input) {
	go s.post(in)
}
