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
	// MaxHistory is the number of configuration changes that are retained.
	MaxHistory = 256
	// MaxOperations is the number of operation IDs whose answers are retained.
	MaxOperations = 1024
	// MaxTextBytes bounds the texts in the history and in the retained answers,
	// in bytes each; the oldest are dropped first. A summary of a large change
	// has tens of kilobytes, and a snapshot has to fit into one frame of a link.
	MaxTextBytes = 1 << 20
	// MaxConfigBytes bounds the encoded system configuration, in bytes.
	MaxConfigBytes = 4 << 20
)

// Context is the metadata of the log entry that carries a command.
type Context struct {
	Term   uint64        // of the leader that appended the entry
	Clock  time.Duration // leader's clock since it became leader
	UnixMS int64         // leader's wall clock, for the history only
}

// Machine is the deterministic state machine. It is owned by one goroutine.
type Machine struct {
	version    uint64
	config     []byte
	history    []*Change
	operations []*Operation
	// answerBytes and historyBytes are the sizes of the retained texts.
	answerBytes, historyBytes int
	operationsByID            map[string]*Operation
	agreements                map[string]*lease.Agreement // by data centre
	voters                    map[string]string           // member ID by instance
	// summarize writes the summary of a change; nil uses the command's.
	summarize func(before, after *structs.SystemConfig) string
}

// NewMachine returns a machine with version 0 and an empty configuration.
func NewMachine() *Machine {
	return &Machine{
		config:         []byte(emptyConfig),
		operationsByID: map[string]*Operation{},
		agreements:     map[string]*lease.Agreement{},
		voters:         map[string]string{},
	}
}

// Apply executes one encoded Command. A command with the operation ID of an
// earlier one has no effect and gets the first answer.
func (m *Machine) Apply(ctx Context, data []byte) *Answer {
	command := new(Command)
	if err := proto.Unmarshal(data, command); err != nil {
		return m.refuse(Status_STATUS_BAD_COMMAND, "command cannot be decoded")
	}
	id, digest := command.OperationId, commandDigest(command, data)
	if first := m.operationsByID[id]; id != "" && first != nil {
		return m.repeatedAnswer(first, digest)
	}
	answer := m.execute(ctx, command)
	answer.Version = m.version
	if id != "" {
		m.recordOperation(&Operation{Id: id, Digest: digest, Answer: answer})
	}
	return answer
}

func (m *Machine) execute(ctx Context, command *Command) *Answer {
	switch body := command.Body.(type) {
	case *Command_ApplyConfig:
		return m.applyConfig(ctx, command.OperationId, body.ApplyConfig)
	case *Command_Lease:
		return m.applyLease(body.Lease)
	case *Command_MarkVoter:
		return m.markVoter(body.MarkVoter)
	}
	return m.refuse(Status_STATUS_BAD_COMMAND, "command has no known body")
}

func (m *Machine) refuse(status Status, message string) *Answer {
	return &Answer{Status: status, Message: message, Version: m.version}
}

func (m *Machine) repeatedAnswer(first *Operation, digest uint64) *Answer {
	if first.Digest != digest {
		return m.refuse(Status_STATUS_REUSED_OPERATION_ID, "operation ID "+first.Id+" was used for another command")
	}
	answer := proto.CloneOf(first.Answer)
	answer.Repeated = true
	return answer
}

func (m *Machine) recordOperation(operation *Operation) {
	m.operations = append(m.operations, operation)
	m.operationsByID[operation.Id] = operation
	m.answerBytes += answerSize(operation.Answer)
	for len(m.operations) > 1 && (len(m.operations) > MaxOperations || m.answerBytes > MaxTextBytes) {
		m.answerBytes -= answerSize(m.operations[0].Answer)
		delete(m.operationsByID, m.operations[0].Id)
		m.operations = m.operations[1:]
	}
}

func answerSize(answer *Answer) int {
	return len(answer.GetMessage()) + textSize(answer.GetChange())
}

func textSize(change *Change) int {
	return len(change.GetSummary()) + len(change.GetAuthor()) + len(change.GetOperationId())
}

// commandDigest distinguishes commands. For configurations it covers the fields
// and not the encoding, which may differ between releases. The summary is
// excluded: it describes the change against the configuration at the time of the
// request, which may differ when the request is resent.
func commandDigest(command *Command, data []byte) uint64 {
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
