package control

import (
	"hawthornshore.example/claims/lease"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

// State is the system state that an instance acts on.
type State struct {
	Config   structs.SystemConfig
	Revision operatorapi.Revision  // the change that led to the configuration
	Views    map[string]lease.View // agreed members, by data centre
}

// Version orders states. See the package comment.
func (s *State) Version() uint64 {
	version := s.Config.Version
	for _, view := range s.Views {
		version += view.Epoch
	}
	return version
}
