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

// View is a copy of the parts of the state that instances use.
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

// SetSummarizer sets the function that writes the summary of a change, instead of
// the one in the command: the proposer may not have the configuration that the
// change replaces. It has to be deterministic. SetSummarizer is called before Apply.
func (s *Store) SetSummarizer(summarize func(before, after *structs.SystemConfig) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.summarize = summarize
}

// Apply executes the encoded Command of a log entry and returns the encoded
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

// Restore replaces the state with an encoded State.
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

// History returns the retained configuration changes, oldest first.
func (s *Store) History() []*Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.History()
}

// Agreements returns copies of the agreements on members, by data centre.
func (s *Store) Agreements() map[string]*lease.Agreement {
	s.mu.RLock()
	defer s.mu.RUnlock()
	copies := make(map[string]*lease.Agreement, len(s.machine.agreements))
	for name, agreement := range s.machine.agreements {
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
	for name, agreement := range s.machine.agreements {
		view.DataCentres[name] = agreement.View()
	}
	return view, nil
}

// EncodeCommand returns the encoding of a command for Apply.
func EncodeCommand(command *Command) ([]byte, error) { return proto.Marshal(command) }

// DecodeAnswer decodes an answer that Apply returned.
func DecodeAnswer(data []byte) (*Answer, error) {
	answer := new(Answer)
	return answer, proto.Unmarshal(data, answer)
}
