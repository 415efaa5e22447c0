// Package evacuation holds the evacuated data centres as a state machine without I/O.
// The coordinators apply the same orders from their log in the same order.
package evacuation

import (
	"maps"
	"slices"

	"hawthornshore.example/wire"
)

// State is the state of a data centre that had an order.
type State struct {
	Evacuated   bool
	Revision    uint64 // increases with each order that changed the state
	SinceUnixMS int64  // when the last of these was proposed
}

// Set holds the states of the data centres. The zero value has none: nothing is
// evacuated.
type Set struct {
	states map[string]State
}

// Get returns the state of a data centre.
func (s *Set) Get(dataCentre string) State { return s.states[dataCentre] }

// Evacuated returns the evacuated data centres in alphabetical order.
func (s *Set) Evacuated() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.states)) {
		if s.states[name].Evacuated {
			names = append(names, name)
		}
	}
	return names
}

// Apply applies an order. It changes the state only if the order was proposed for the
// revision in force, so that a delayed order cannot undo a later one.
func (s *Set) Apply(clockUnixMS int64, order *wire.EvacuationOrder) *wire.EvacuationApplied {
	name := order.GetDataCentre()
	state := s.states[name]
	switch {
	case state.Evacuated == order.GetEvacuate():
		return &wire.EvacuationApplied{Outcome: wire.EvacuationOutcome_EVACUATION_OUTCOME_IN_FORCE, Revision: state.Revision}
	case state.Revision != order.GetRevision():
		return &wire.EvacuationApplied{Outcome: wire.EvacuationOutcome_EVACUATION_OUTCOME_CONFLICT, Revision: state.Revision}
	}
	state = State{Evacuated: order.GetEvacuate(), Revision: state.Revision + 1, SinceUnixMS: clockUnixMS}
	s.set(name, state)
	return &wire.EvacuationApplied{Outcome: wire.EvacuationOutcome_EVACUATION_OUTCOME_APPLIED, Revision: state.Revision}
}

// Adopt records a state in force that the log has, unless a later one is known.
func (s *Set) Adopt(name string, state State) {
	if s.Get(name).Revision < state.Revision {
		s.set(name, state)
	}
}

func (s *Set) set(name string, state State) {
	if s.states == nil {
		s.states = map[string]State{}
	}
	s.states[name] = state
}

// Snapshot returns the states in alphabetical order of the data centres.
func (s *Set) Snapshot() []*wire.EvacuationState {
	var states []*wire.EvacuationState
	for _, name := range slices.Sorted(maps.Keys(s.states)) {
		state := s.states[name]
		states = append(states, &wire.EvacuationState{
			DataCentre: name, Evacuated: state.Evacuated, Revision: state.Revision, SinceUnixMs: state.SinceUnixMS,
		})
	}
	return states
}

// Restore replaces the states with those of a snapshot.
func (s *Set) Restore(states []*wire.EvacuationState) {
	s.states = nil
	for _, state := range states {
		s.set(state.GetDataCentre(), State{
			Evacuated: state.GetEvacuated(), Revision: state.GetRevision(), SinceUnixMS: state.GetSinceUnixMs(),
		})
	}
}

// Merge returns a set with the state of the higher revision of each data centre.
func Merge(a, b *Set) Set {
	merged := Set{states: maps.Clone(a.states)}
	for name, state := range b.states {
		merged.Adopt(name, state)
	}
	return merged
}
