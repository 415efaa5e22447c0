package control

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/consensus/sysstate"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// maxRecentConfigs is the number of configurations kept as bases for deltas. A peer
// whose configuration is older receives the whole configuration.
const maxRecentConfigs = 64

// stateCache holds the newest known state. Its version never decreases. It is safe
// for concurrent use.
type stateCache struct {
	mu     sync.RWMutex
	state  State
	recent []structs.SystemConfig // oldest first
}

// current returns the newest state.
func (c *stateCache) current() State {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state
}

// update stores a state if it is newer, and reports whether it was.
func (c *stateCache) update(state State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.Version() <= c.state.Version() {
		return false
	}
	if state.Config.Version > c.state.Config.Version {
		c.recent = append(c.recent, state.Config)
		if len(c.recent) > maxRecentConfigs {
			c.recent = c.recent[1:]
		}
	}
	c.state = state
	return true
}

// request returns the request for newer state from a peer.
func (c *stateCache) request() *wire.StateRequest {
	state := c.current()
	request := &wire.StateRequest{
		StateVersion:  state.Version(),
		ConfigVersion: state.Config.Version,
		Epochs:        make(map[string]uint64, len(state.Views)),
	}
	for centre, view := range state.Views {
		request.Epochs[centre] = view.Epoch
	}
	return request
}

// reply returns what is newer than the versions in a request.
func (c *stateCache) reply(request *wire.StateRequest) (*wire.StateReply, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	state := &c.state
	reply := &wire.StateReply{StateVersion: state.Version(), ConfigVersion: state.Config.Version}
	for centre, view := range state.Views {
		if view.Epoch <= request.GetEpochs()[centre] {
			continue
		}
		encoded, err := proto.Marshal(sysstate.ViewToProto(&view))
		if err != nil {
			return nil, errors.Annotate(err, "encode view")
		}
		reply.Views = append(reply.Views, &wire.DataCentreView{DataCentre: centre, View: encoded})
	}
	if state.Config.Version <= request.GetConfigVersion() {
		return reply, nil
	}
	revision, err := json.Marshal(state.Revision)
	if err != nil {
		return nil, errors.Annotate(err, "encode revision")
	}
	reply.Revision = revision
	return reply, c.addConfig(reply, request.GetConfigVersion())
}

// addConfig adds the configuration, as a delta if the base is still cached. The
// caller holds c.mu.
func (c *stateCache) addConfig(reply *wire.StateReply, baseVersion uint64) error {
	config := c.state.Config
	for i := range c.recent {
		if c.recent[i].Version == baseVersion {
			config = configDelta(&c.recent[i], &c.state.Config, reply)
			reply.BaseVersion = baseVersion
		}
	}
	encoded, err := json.Marshal(config)
	reply.Config = encoded
	return errors.Annotate(err, "encode configuration")
}

// configDelta returns the entries of after that differ from base, and adds the
// names of removed ones to the reply.
func configDelta(base, after *structs.SystemConfig, reply *wire.StateReply) structs.SystemConfig {
	changed := structs.SystemConfig{
		Version: after.Version,
		Classes: make(map[string]structs.Class),
		Tenants: make(map[string]structs.Tenant),
	}
	reply.RemovedClasses = diffMaps(base.Classes, after.Classes, changed.Classes)
	reply.RemovedTenants = diffMaps(base.Tenants, after.Tenants, changed.Tenants)
	return changed
}

// diffMaps copies new and changed entries to changed and returns the names of
// removed ones.
func diffMaps[V comparable](base, after, changed map[string]V) (removed []string) {
	for name, value := range after {
		if old, ok := base[name]; !ok || old != value {
			changed[name] = value
		}
	}
	for name := range base {
		if _, ok := after[name]; !ok {
			removed = append(removed, name)
		}
	}
	return removed
}

// withReply returns the current state updated with a reply; it does not store it.
// The configuration and each view are replaced if newer. Every state results from
// a prefix of one log: the newer copy of each part is from the longer prefix, so
// that the result is a state that the log has produced.
func (c *stateCache) withReply(reply *wire.StateReply) (State, error) {
	state := c.current()
	state.Views = maps.Clone(state.Views)
	if state.Views == nil {
		state.Views = make(map[string]lease.View)
	}
	for _, view := range reply.GetViews() {
		decoded := &sysstate.LeaseView{}
		if err := proto.Unmarshal(view.GetView(), decoded); err != nil {
			return state, errors.Annotate(err, "decode view")
		}
		if decoded.GetEpoch() > state.Views[view.GetDataCentre()].Epoch {
			state.Views[view.GetDataCentre()] = sysstate.ViewFromProto(decoded)
		}
	}
	if reply.GetConfig() == nil || reply.GetConfigVersion() <= state.Config.Version {
		return state, nil
	}
	config, err := mergeConfig(&state.Config, reply)
	if err != nil {
		return state, err
	}
	state.Config = config
	return state, errors.Annotate(json.Unmarshal(reply.GetRevision(), &state.Revision), "decode revision")
}

func mergeConfig(base *structs.SystemConfig, reply *wire.StateReply) (structs.SystemConfig, error) {
	var config structs.SystemConfig
	if err := json.Unmarshal(reply.GetConfig(), &config); err != nil {
		return config, errors.Annotate(err, "decode configuration")
	}
	if reply.GetBaseVersion() == 0 {
		return config, nil
	}
	if reply.GetBaseVersion() != base.Version {
		return config, errors.Errorf("configuration delta is based on version %d, not %d", reply.GetBaseVersion(), base.Version)
	}
	config.Classes = mergeMaps(base.Classes, config.Classes, reply.GetRemovedClasses())
	config.Tenants = mergeMaps(base.Tenants, config.Tenants, reply.GetRemovedTenants())
	return config, nil
}

func mergeMaps[V any](base, changed map[string]V, removed []string) map[string]V {
	merged := maps.Clone(base)
	if merged == nil {
		merged = make(map[string]V)
	}
	maps.Copy(merged, changed)
	for _, name := range removed {
		delete(merged, name)
	}
	return merged
}
