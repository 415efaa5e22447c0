package sysstate

import (
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/consensus"
	"hawthornshore.example/structs"
)

// View is a copy of the parts of the state that instances act on.
type View struct {
	Config      structs.SystemConfig
	DataCentres map[string]lease.View // by data centre
	Voters      map[string]string     // member ID by instance
}

// Store shares a Machine between the goroutine that applies entries and
// readers.
type Store struct {
	mu      sync.RWMutex
	machine *Machine
}

// NewStore returns a store over an empty machine.
func NewStore() *Store { return &Store{machine: NewMachine()} }

// SetSummarizer sets the function that writes the summary of a change, in place of
// the one in the command: the proposer may not know the configuration that the
// change replaces. It has to be deterministic. SetSummarizer is called before Apply.
func (s *Store) SetSummarizer(describe func(before, after *structs.SystemConfig) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.describe = describe
}

// Apply carries out the encoded Command of a log entry and returns the encoded
// Answer.
func (s *Store) Apply(entry *consensus.Entry) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx := Context{Term: entry.Term, Clock: time.Duration(entry.ClockNs), UnixMS: entry.UnixMs}
	return proto.Marshal(s.machine.Apply(ctx, entry.Data))
}

// Snapshot returns the encoded State.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore replaces the state by an encoded State.
func (s *Store) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Restore(data)
}

// Version returns the version of the system configuration.
func (s *Store) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.version
}

// History returns the kept configuration changes, oldest first.
func (s *Store) History() []*Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.History()
}

// Agreements returns copies of the agreements on members, by data centre.
func (s *Store) Agreements() map[string]*lease.Agreement {
	s.mu.RLock()
	defer s.mu.RUnlock()
	copies := make(map[string]*lease.Agreement, len(s.machine.centres))
	for name, agreement := range s.machine.centres {
		copies[name] = agreementFromProto(agreementToProto(agreement))
	}
	return copies
}

// View returns a copy of the state.
func (s *Store) View() (View, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	config, err := s.machine.Config()
	if err != nil {
		return View{}, err
	}
	view := View{Config: config, DataCentres: map[string]lease.View{}, Voters: maps.Clone(s.machine.voters)}
	for name, centre := range s.machine.centres {
		view.DataCentres[name] = centre.View()
	}
	return view, nil
}

// EncodeCommand returns the form of a command that Apply takes.
func EncodeCommand(command *Command) ([]byte, error) { return proto.Marshal(command) }

// DecodeAnswer reads what Apply returned.
func DecodeAnswer(data []byte) (*Answer, error) {
	answer := new(Answer)
	return answer, proto.Unmarshal(data, answer)
}
