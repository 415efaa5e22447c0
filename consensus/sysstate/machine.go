package sysstate

import (
	"hash/fnv"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/structs"
)

const (
	// MaxHistory is the number of configuration changes that are kept.
	MaxHistory = 256
	// MaxOperations is the number of operation IDs whose answers are kept.
	MaxOperations = 1024
	// MaxTextBytes bounds the texts that history and kept answers hold, in
	// bytes each; the oldest ones go first. A summary of a large change has
	// tens of kilobytes, and a snapshot has to fit into one frame of a link.
	MaxTextBytes = 1 << 20
	// MaxConfigBytes bounds the encoded system configuration, in bytes.
	MaxConfigBytes = 4 << 20
)

// Context is what the log says about the entry that carries a command.
type Context struct {
	Term   uint64        // of the leader that appended the entry
	Clock  time.Duration // leader's clock since its leadership began
	UnixMS int64         // leader's wall clock, for the history only
}

// Machine is the deterministic state machine. It is owned by one goroutine.
type Machine struct {
	version    uint64
	config     []byte
	history    []*Change
	operations []*Operation
	// answerBytes and historyBytes are the sizes of the kept texts.
	answerBytes, historyBytes int
	byID                      map[string]*Operation
	centres                   map[string]*lease.Agreement // by data centre
	voters                    map[string]string           // member ID by instance
	// describe writes the summary of a change; nil takes the command's.
	describe func(before, after *structs.SystemConfig) string
}

// NewMachine returns a machine with version 0 and an empty configuration.
func NewMachine() *Machine {
	return &Machine{
		config:  []byte(emptyConfig),
		byID:    map[string]*Operation{},
		centres: map[string]*lease.Agreement{},
		voters:  map[string]string{},
	}
}

// Apply carries out one encoded Command. A command that repeats an operation
// ID has no effect and gets the first answer.
func (m *Machine) Apply(ctx Context, data []byte) *Answer {
	command := new(Command)
	if err := proto.Unmarshal(data, command); err != nil {
		return m.refuse(Status_STATUS_BAD_COMMAND, "command cannot be decoded")
	}
	id, digest := command.OperationId, digestOf(command, data)
	if first := m.byID[id]; id != "" && first != nil {
		return m.repeat(first, digest)
	}
	answer := m.carryOut(ctx, command)
	answer.Version = m.version
	if id != "" {
		m.remember(&Operation{Id: id, Digest: digest, Answer: answer})
	}
	return answer
}

func (m *Machine) carryOut(ctx Context, command *Command) *Answer {
	switch body := command.Body.(type) {
	case *Command_ApplyConfig:
		return m.applyConfig(ctx, command.OperationId, body.ApplyConfig)
	case *Command_Lease:
		return m.changeLease(body.Lease)
	case *Command_MarkVoter:
		return m.markVoter(body.MarkVoter)
	}
	return m.refuse(Status_STATUS_BAD_COMMAND, "command has no known body")
}

func (m *Machine) refuse(status Status, message string) *Answer {
	return &Answer{Status: status, Message: message, Version: m.version}
}

func (m *Machine) repeat(first *Operation, digest uint64) *Answer {
	if first.Digest != digest {
		return m.refuse(Status_STATUS_REUSED_OPERATION_ID, "operation ID "+first.Id+" was used for another command")
	}
	answer := proto.CloneOf(first.Answer)
	answer.Repeated = true
	return answer
}

func (m *Machine) remember(operation *Operation) {
	m.operations = append(m.operations, operation)
	m.byID[operation.Id] = operation
	m.answerBytes += answerSize(operation.Answer)
	for len(m.operations) > 1 && (len(m.operations) > MaxOperations || m.answerBytes > MaxTextBytes) {
		m.answerBytes -= answerSize(m.operations[0].Answer)
		delete(m.byID, m.operations[0].Id)
		m.operations = m.operations[1:]
	}
}

func answerSize(answer *Answer) int {
	return len(answer.GetMessage()) + textSize(answer.GetChange())
}

func textSize(change *Change) int {
	return len(change.GetSummary()) + len(change.GetAuthor()) + len(change.GetOperationId())
}

// digestOf tells commands apart. For configurations it covers the fields and
// not the encoding, which may differ between releases. The summary is left out:
// it describes the change against the configuration at the time of the request,
// which is another one when the request is resent.
func digestOf(command *Command, data []byte) uint64 {
	hash := fnv.New64a()
	apply := command.GetApplyConfig()
	if apply == nil {
		hash.Write(data)
		return hash.Sum64()
	}
	for _, part := range []string{
		strconv.FormatUint(apply.BaseVersion, 10), string(apply.Config), apply.Author,
	} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hash.Sum64()
}

func (m *Machine) markVoter(command *MarkVoter) *Answer {
	if command.Instance == "" {
		return m.refuse(Status_STATUS_BAD_COMMAND, "instance is missing")
	}
	if !command.Removed {
		m.voters[command.Instance] = command.MemberId
	} else if m.voters[command.Instance] == command.MemberId {
		delete(m.voters, command.Instance)
	}
	return &Answer{}
}
