package sysstate

import (
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	"hawthornshore.example/structs"
)

const emptyConfig = `{"version":0,"classes":{},"tenants":{}}`

// applyConfig is a compare-and-swap on the version.
func (m *Machine) applyConfig(ctx Context, operationID string, command *ApplyConfig) *Answer {
	if command.BaseVersion != m.version {
		answer := m.refuse(Status_STATUS_VERSION_CONFLICT,
			fmt.Sprintf("configuration has version %d, not %d", m.version, command.BaseVersion))
		answer.Change = m.changeAfter(command.BaseVersion)
		return answer
	}
	if len(command.Config) > MaxConfigBytes {
		return m.refuse(Status_STATUS_BAD_COMMAND, fmt.Sprintf("configuration exceeds %d bytes", MaxConfigBytes))
	}
	var config structs.SystemConfig
	if err := json.Unmarshal(command.Config, &config); err != nil {
		return m.refuse(Status_STATUS_BAD_COMMAND, "configuration cannot be decoded")
	}
	config.Version = m.version + 1
	encoded, err := json.Marshal(config)
	if err != nil {
		return m.refuse(Status_STATUS_BAD_COMMAND, "configuration cannot be encoded")
	}
	summary := command.Summary
	if m.summarize != nil {
		before, err := m.Config()
		if err != nil {
			return m.refuse(Status_STATUS_BAD_COMMAND, "current configuration cannot be decoded")
		}
		summary = m.summarize(&before, &config)
	}
	m.version, m.config = config.Version, encoded
	change := &Change{
		Version: m.version, Author: command.Author, UnixMs: ctx.UnixMS,
		OperationId: operationID, Summary: summary,
	}
	m.recordChange(change)
	return &Answer{Change: proto.CloneOf(change)}
}

// recordChange adds a change to the history and drops the oldest ones.
func (m *Machine) recordChange(change *Change) {
	m.history = append(m.history, change)
	m.historyBytes += textSize(change)
	for len(m.history) > 1 && (len(m.history) > MaxHistory || m.historyBytes > MaxTextBytes) {
		m.historyBytes -= textSize(m.history[0])
		m.history = m.history[1:]
	}
}

// changeAfter returns the change that replaced a version, or the newest one
// when that change is no longer retained.
func (m *Machine) changeAfter(version uint64) *Change {
	for _, change := range m.history {
		if change.Version == version+1 {
			return proto.CloneOf(change)
		}
	}
	if len(m.history) == 0 {
		return nil
	}
	return proto.CloneOf(m.history[len(m.history)-1])
}

// Version returns the version of the system configuration.
func (m *Machine) Version() uint64 { return m.version }

// Config returns the system configuration.
func (m *Machine) Config() (structs.SystemConfig, error) {
	var config structs.SystemConfig
	err := json.Unmarshal(m.config, &config)
	return config, err
}

// History returns the retained changes, oldest first.
func (m *Machine) History() []*Change {
	history := make([]*Change, len(m.history))
	for i, change := range m.history {
		history[i] = proto.CloneOf(change)
	}
	return history
}
