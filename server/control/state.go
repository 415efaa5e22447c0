package control

import (
	"hawthornshore.example/claims/lease"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

// State is the replicated system state.
type State struct {
	Config   structs.SystemConfig
	Revision operatorapi.Revision  // the change that produced Config
	Views    map[string]lease.View // agreed members, by data centre
}

// Version returns the state's version; see the package comment.
func (s *State) Version() uint64 {
	version := s.Config.Version
	for _, view := range s.Views {
		version += view.Epoch
	}
	return version
}
