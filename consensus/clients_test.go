package consensus_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"hawthornshore.example/consensus"
	"hawthornshore.example/consensus/sysstate"
)

// client is an operator that reads the version and changes the configuration,
// and resends a change with its operation ID until it is acknowledged.
type client struct {
	number     int
	sequence   int
	version    uint64 // as last read or acknowledged
	operations []porcupine.Operation
	pending    *porcupine.Operation // the operation in progress
	done       bool
}

// operation is the input of registerModel.
type operation struct {
	read bool
	base uint64
	id   string
}

// outcome is the output of registerModel.
type outcome struct {
	completed bool
	applied   bool
	version   uint64
	last      string // operation ID of the newest change, for reads
}

// registerState is the state of registerModel.
type registerState struct {
	version uint64
	last    string
}

// registerModel is the configuration as a compare-and-swap register.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(registerState), input.(operation), output.(outcome)
		if in.read {
			return !out.completed || (out.version == current.version && out.last == current.last), current
		}
		if in.base != current.version {
			return !out.completed || (!out.applied && out.version == current.version), current
		}
		next := registerState{version: current.version + 1, last: in.id}
		return !out.completed || (out.applied && out.version == next.version), next
	},
}

// runClient runs the operations of a client until it is done.
func (s *simulation) runClient(c *client) {
	s.clients = append(s.clients, c)
	var work func()
	work = func() {
		if c.done {
			return
		}
		if c.pending == nil {
			s.beginOperation(c)
		}
		s.attempt(c, c.sequence)
		s.after(s.between(20, 400), work)
	}
	s.after(s.between(0, 200), work)
}

func (s *simulation) beginOperation(c *client) {
	c.sequence++
	in := operation{read: s.random.IntN(3) == 0}
	if !in.read {
		in.base, in.id = c.version, fmt.Sprintf("%d-%d", c.number, c.sequence)
	}
	c.pending = &porcupine.Operation{ClientId: c.number, Input: in, Call: s.now.UnixNano()}
}

func (s *simulation) finishOperation(c *client, sequence int, out outcome) {
	if c.pending == nil || c.sequence != sequence {
		return
	}
	c.version = out.version
	c.pending.Output, c.pending.Return = out, s.now.UnixNano()
	c.operations = append(c.operations, *c.pending)
	c.pending = nil
}

// attempt sends the client's operation to an instance that acts as a leader.
func (s *simulation) attempt(c *client, sequence int) {
	m := s.members[s.names[s.random.IntN(len(s.names))]]
	if m.core == nil || m.core.Status().Role != consensus.Leader {
		m = s.leader()
	}
	if m == nil || c.pending == nil {
		return
	}
	if in := c.pending.Input.(operation); !in.read {
		s.attemptChange(c, sequence, m, in)
		return
	}
	s.request(m, func(ref consensus.Ref) consensus.Event { return consensus.ReadBarrier{Ref: ref} },
		func(effect consensus.Effect) {
			if ready, ok := effect.(consensus.ReadReady); ok {
				m.reads = append(m.reads, pendingRead{index: ready.Index, done: func() {
					s.finishOperation(c, sequence, readOutcome(m.machine))
				}})
				s.answerReads(m)
			}
		})
}

func readOutcome(machine *sysstate.Machine) outcome {
	out := outcome{completed: true, version: machine.Version()}
	if history := machine.History(); len(history) > 0 {
		out.last = history[len(history)-1].OperationId
	}
	return out
}

func (s *simulation) attemptChange(c *client, sequence int, m *member, in operation) {
	data, err := sysstate.EncodeCommand(&sysstate.Command{
		OperationId: in.id,
		Body: &sysstate.Command_ApplyConfig{ApplyConfig: &sysstate.ApplyConfig{
			BaseVersion: in.base, Config: []byte("{}"), Author: in.id,
		}},
	})
	if err != nil {
		s.violated("encode: %v", err)
	}
	s.request(m, func(ref consensus.Ref) consensus.Event { return consensus.Propose{Ref: ref, Data: data} },
		func(effect consensus.Effect) {
			proposed, ok := effect.(consensus.Proposed)
			if !ok {
				return
			}
			m.results[proposed.Index] = func(entry *consensus.Entry, answer *sysstate.Answer) {
				if entry.Term != proposed.Term {
					return
				}
				s.finishOperation(c, sequence, outcome{
					completed: true, version: answer.Version,
					applied: answer.Status == sysstate.Status_STATUS_OK,
				})
			}
		})
}

// history returns all operations; incomplete ones may take effect at any later
// time.
func (s *simulation) history() []porcupine.Operation {
	var all []porcupine.Operation
	for _, c := range s.clients {
		all = append(all, c.operations...)
		if c.pending != nil {
			pending := *c.pending
			pending.Output, pending.Return = outcome{}, s.now.Add(time.Hour).UnixNano()
			all = append(all, pending)
		}
	}
	return all
}

// checkChanges checks that every acknowledged change is in the final state and
// that the history is linearizable.
func (s *simulation) checkChanges(machine *sysstate.Machine) {
	kept := map[string]bool{}
	for _, change := range machine.History() {
		kept[change.OperationId] = true
	}
	for _, op := range s.history() {
		in, out := op.Input.(operation), op.Output.(outcome)
		if !in.read && out.applied && machine.Version()-out.version < sysstate.MaxHistory && !kept[in.id] {
			s.violated("acknowledged change %s to version %d is lost", in.id, out.version)
		}
	}
	if porcupine.CheckOperationsTimeout(registerModel, s.history(), 20*time.Second) != porcupine.Ok {
		s.violated("history of %d operations is not linearizable", len(s.history()))
	}
}
