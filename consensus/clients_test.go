package consensus_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"hawthornshore.example/consensus"
	"hawthornshore.example/consensus/sysstate"
)

// client is an operator who reads the version and changes the configuration,
// and resends a change under its operation ID until it is answered.
type client struct {
	number     int
	sent       int
	version    uint64 // as last read or answered
	operations []porcupine.Operation
	open       *porcupine.Operation // the operation without an answer
	done       bool
}

// operation is the input of the checker's model.
type operation struct {
	read bool
	base uint64
	id   string
}

// outcome is the output of the checker's model.
type outcome struct {
	known   bool
	applied bool
	version uint64
	last    string // operation ID of the newest change, for reads
}

// registerState is the model's state.
type registerState struct {
	version uint64
	last    string
}

// model is the compare-and-swap register that the configuration has to be.
var model = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(registerState), input.(operation), output.(outcome)
		if in.read {
			return !out.known || (out.version == current.version && out.last == current.last), current
		}
		if in.base != current.version {
			return !out.known || (!out.applied && out.version == current.version), current
		}
		next := registerState{version: current.version + 1, last: in.id}
		return !out.known || (out.applied && out.version == next.version), next
	},
}

// runClient lets a client work until it is told to be done.
func (s *simulation) runClient(c *client) {
	s.clients = append(s.clients, c)
	var work func()
	work = func() {
		if c.done {
			return
		}
		if c.open == nil {
			s.beginOperation(c)
		}
		s.try(c, c.sent)
		s.after(s.between(20, 400), work)
	}
	s.after(s.between(0, 200), work)
}

func (s *simulation) beginOperation(c *client) {
	c.sent++
	in := operation{read: s.random.IntN(3) == 0}
	if !in.read {
		in.base, in.id = c.version, fmt.Sprintf("%d-%d", c.number, c.sent)
	}
	c.open = &porcupine.Operation{ClientId: c.number, Input: in, Call: s.now.UnixNano()}
}

func (s *simulation) finishOperation(c *client, sent int, out outcome) {
	if c.open == nil || c.sent != sent {
		return
	}
	c.version = out.version
	c.open.Output, c.open.Return = out, s.now.UnixNano()
	c.operations = append(c.operations, *c.open)
	c.open = nil
}

// try sends the client's operation to some instance that believes to lead.
func (s *simulation) try(c *client, sent int) {
	m := s.members[s.names[s.random.IntN(len(s.names))]]
	if m.core == nil || m.core.Status().Role != consensus.Leader {
		m = s.leader()
	}
	if m == nil || c.open == nil {
		return
	}
	if in := c.open.Input.(operation); !in.read {
		s.tryChange(c, sent, m, in)
		return
	}
	s.ask(m, func(ref consensus.Ref) consensus.Event { return consensus.ReadBarrier{Ref: ref} },
		func(effect consensus.Effect) {
			if ready, ok := effect.(consensus.ReadReady); ok {
				m.reads = append(m.reads, simRead{index: ready.Index, done: func() {
					s.finishOperation(c, sent, observed(m.machine))
				}})
				s.answerReads(m)
			}
		})
}

func observed(machine *sysstate.Machine) outcome {
	out := outcome{known: true, version: machine.Version()}
	if history := machine.History(); len(history) > 0 {
		out.last = history[len(history)-1].OperationId
	}
	return out
}

func (s *simulation) tryChange(c *client, sent int, m *member, in operation) {
	data, err := sysstate.EncodeCommand(&sysstate.Command{
		OperationId: in.id,
		Body: &sysstate.Command_ApplyConfig{ApplyConfig: &sysstate.ApplyConfig{
			BaseVersion: in.base, Config: []byte("{}"), Author: in.id,
		}},
	})
	if err != nil {
		s.violated("encode: %v", err)
	}
	s.ask(m, func(ref consensus.Ref) consensus.Event { return consensus.Propose{Ref: ref, Data: data} },
		func(effect consensus.Effect) {
			proposed, ok := effect.(consensus.Proposed)
			if !ok {
				return
			}
			m.results[proposed.Index] = func(entry *consensus.Entry, answer *sysstate.Answer) {
				if entry.Term != proposed.Term {
					return
				}
				s.finishOperation(c, sent, outcome{
					known: true, version: answer.Version,
					applied: answer.Status == sysstate.Status_STATUS_OK,
				})
			}
		})
}

// history returns all operations; those without an answer may take effect at
// any later time.
func (s *simulation) history() []porcupine.Operation {
	var all []porcupine.Operation
	for _, c := range s.clients {
		all = append(all, c.operations...)
		if c.open != nil {
			open := *c.open
			open.Output, open.Return = outcome{}, s.now.Add(time.Hour).UnixNano()
			all = append(all, open)
		}
	}
	return all
}

// checkChanges: every acknowledged change is in the final state, and raced
// changes are linearizable.
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
	if porcupine.CheckOperationsTimeout(model, s.history(), 20*time.Second) != porcupine.Ok {
		s.violated("history of %d operations is not linearizable", len(s.history()))
	}
}
