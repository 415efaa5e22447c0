package sysstate

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/structs"
)

// Snapshot returns the encoded State. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	state := &State{Version: m.version, Config: m.config, History: m.history, Operations: m.operations}
	for _, name := range slices.Sorted(maps.Keys(m.agreements)) {
		state.DataCentres = append(state.DataCentres, &NamedDataCentre{Name: name, Agreement: agreementToProto(m.agreements[name])})
	}
	for _, instance := range slices.Sorted(maps.Keys(m.voters)) {
		state.Voters = append(state.Voters, &Voter{Instance: instance, MemberId: m.voters[instance]})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	return data, errors.Annotate(err, "encode system state")
}

// Restore replaces the state with an encoded State. A state with an older
// configuration version is refused.
func (m *Machine) Restore(data []byte) error {
	state := new(State)
	if err := proto.Unmarshal(data, state); err != nil {
		return errors.Annotate(err, "decode system state")
	}
	if state.Version < m.version {
		return errors.Errorf("snapshot has configuration version %d, older than %d", state.Version, m.version)
	}
	var config structs.SystemConfig
	if err := json.Unmarshal(state.Config, &config); err != nil {
		return errors.Annotate(err, "decode system configuration")
	}
	restored := NewMachine()
	restored.summarize = m.summarize
	restored.version, restored.config = state.Version, state.Config
	for _, change := range state.History {
		restored.recordChange(change)
	}
	for _, operation := range state.Operations {
		restored.recordOperation(operation)
	}
	for _, dataCentre := range state.DataCentres {
		restored.agreements[dataCentre.Name] = agreementFromProto(dataCentre.Agreement)
	}
	for _, voter := range state.Voters {
		restored.voters[voter.Instance] = voter.MemberId
	}
	*m = *restored
	return nil
}
