package node

import (
	"maps"
	"slices"
	"time"

	"hawthornshore.example/consensus"
)

// joiner finds or bootstraps the group, and on the leader maintains its members.
// It is owned by the core loop.
type joiner struct {
	loop         *loop
	nextTick     time.Time
	hasLog       bool
	emptyPeers   map[string]string // member IDs of peers without a log, by name
	discovered   map[string]bool   // names of the members in probe replies
	joinRequests map[string]string // leader: member IDs of probing instances, by name
}

func (j *joiner) tick() {
	now := j.loop.now
	if now.Before(j.nextTick) {
		return
	}
	j.nextTick = now.Add(probeInterval)
	status := j.loop.core.Status()
	if status.Leader == "" {
		j.probe()
	}
	if !j.hasLog {
		j.bootstrap()
	}
	if status.Role == consensus.Leader && status.CommittedInTerm {
		j.reconcile(status.Members)
		return
	}
	j.joinRequests = nil
}

// probe probes all peers and the discovered members: only the leader admits
// instances, and it need not be a peer.
func (j *joiner) probe() {
	names := slices.Concat(j.loop.node.options.Peers, slices.Sorted(maps.Keys(j.discovered)))
	slices.Sort(names)
	for _, peer := range slices.Compact(names) {
		if peer != j.loop.node.options.Name {
			j.send(peer, &consensus.Message{Body: &consensus.Message_ProbeRequest{
				ProbeRequest: &consensus.ProbeRequest{},
			}})
		}
	}
}

func (j *joiner) send(to string, message *consensus.Message) {
	message.From, message.To = j.loop.node.id, to
	j.loop.send(message)
}

// receive handles probe messages; it returns false for messages to the core.
func (j *joiner) receive(message *consensus.Message) bool {
	switch body := message.Body.(type) {
	case *consensus.Message_ProbeRequest:
		j.handleProbe(message.From)
	case *consensus.Message_ProbeReply:
		name := InstanceName(message.From)
		delete(j.emptyPeers, name)
		if !body.ProbeReply.Started {
			j.emptyPeers[name] = message.From
		}
		j.addDiscovered(body.ProbeReply.GetMembers())
	default:
		return false
	}
	return true
}

// addDiscovered records the names of members if instances other than peers may
// be members.
func (j *joiner) addDiscovered(members *consensus.Members) {
	if !j.loop.node.options.AdmitNonPeers {
		return
	}
	for _, id := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		j.discovered[InstanceName(id)] = true
	}
}

func (j *joiner) handleProbe(from string) {
	members := j.loop.core.Status().Members
	j.send(from, &consensus.Message{Body: &consensus.Message_ProbeReply{
		ProbeReply: &consensus.ProbeReply{Started: j.hasLog, Members: members},
	}})
	options := &j.loop.node.options
	if (options.AdmitNonPeers || slices.Contains(options.Peers, InstanceName(from))) && !members.Has(from) {
		if j.joinRequests == nil {
			j.joinRequests = map[string]string{}
		}
		j.joinRequests[InstanceName(from)] = from
	}
}

// bootstrap creates a new group. Only the first of the peers does so, and only
// after every other one has replied that it has no log; two instances that
// created groups with different incarnations of a third would conflict.
func (j *joiner) bootstrap() {
	options := j.loop.node.options
	if options.DisableBootstrap || options.Peers[0] != options.Name {
		return
	}
	voters := []string{j.loop.node.id}
	for _, peer := range options.Peers[1:] {
		id, ok := j.emptyPeers[peer]
		if !ok {
			return
		}
		voters = append(voters, id)
	}
	j.loop.step(consensus.Bootstrap{Voters: voters})
}

// reconcile proposes at most one membership change: it promotes a caught-up
// learner, after removing the voter that it replaces, or else adds a learner.
func (j *joiner) reconcile(members *consensus.Members) {
	for _, learner := range members.Learners {
		replaced := voterByName(members, InstanceName(learner))
		switch {
		case !j.loop.core.CaughtUp(learner):
		case replaced != "":
			if j.unreachable(replaced, j.loop.node.options.Core.ElectionTimeout) {
				j.proposeChange(consensus.RemoveMember, replaced)
				return
			}
		case j.canPromote(members, learner):
			j.proposeChange(consensus.PromoteLearner, learner)
			return
		default:
			if unreachable := j.unreachableVoter(members); unreachable != "" {
				j.proposeChange(consensus.RemoveMember, unreachable)
				return
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(j.joinRequests)) {
		id := j.joinRequests[name]
		delete(j.joinRequests, name)
		if members.Has(id) {
			continue
		}
		if stale := learnerByName(members, name); stale != "" {
			j.proposeChange(consensus.RemoveMember, stale)
			return
		}
		j.proposeChange(consensus.AddLearner, id)
		return
	}
}

// canPromote reports whether a learner that replaces no voter of its name may be
// promoted: any learner while voters are missing, or peers if DesiredVoters is nil.
func (j *joiner) canPromote(members *consensus.Members, learner string) bool {
	options := &j.loop.node.options
	if options.DesiredVoters == nil {
		return slices.Contains(options.Peers, InstanceName(learner))
	}
	return len(members.Voters) < options.DesiredVoters()
}

// unreachableVoter returns a voter that a caught-up learner may replace, or "".
func (j *joiner) unreachableVoter(members *consensus.Members) string {
	options := &j.loop.node.options
	if options.DesiredVoters == nil || options.ReplaceAfter == 0 {
		return ""
	}
	for _, id := range members.Voters {
		if id != j.loop.node.id && j.unreachable(id, options.ReplaceAfter) {
			return id
		}
	}
	return ""
}

// unreachable reports whether a member has not replied for longer than limit.
func (j *joiner) unreachable(id string, limit time.Duration) bool {
	return j.loop.now.Sub(j.loop.core.LastContact(id)) > limit
}

// proposeChange proposes a membership change. A refused one is retried at a
// later tick if it is still needed.
func (j *joiner) proposeChange(kind consensus.ChangeKind, id string) {
	j.loop.lastRef++
	j.loop.step(consensus.ProposeMembers{
		Ref:    j.loop.lastRef,
		Change: consensus.MemberChange{Kind: kind, Member: id},
	})
}

func voterByName(members *consensus.Members, name string) string {
	for _, id := range members.GetVoters() {
		if InstanceName(id) == name {
			return id
		}
	}
	return ""
}

func learnerByName(members *consensus.Members, name string) string {
	for _, id := range members.GetLearners() {
		if InstanceName(id) == name {
			return id
		}
	}
	return ""
}
