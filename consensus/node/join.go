package node

import (
	"maps"
	"slices"
	"time"

	"hawthornshore.example/consensus"
)

// joiner finds or forms the group, and on the leader brings instances that ask
// into the group. It belongs to the core loop.
type joiner struct {
	loop    *loop
	due     time.Time
	started bool              // this instance has a log
	fresh   map[string]string // member IDs of peers without a log, by name
	members map[string]bool   // names of members that probed peers have told
	asked   map[string]string // leader: member IDs that ask to join, by name
}

func (j *joiner) tick() {
	now := j.loop.now
	if now.Before(j.due) {
		return
	}
	j.due = now.Add(probeInterval)
	status := j.loop.core.Status()
	if status.Leader == "" {
		j.probe()
	}
	if !j.started {
		j.form()
	}
	if status.Role == consensus.Leader && status.CommittedInTerm {
		j.repair(status.Members)
		return
	}
	j.asked = nil
}

// probe asks all peers for the group, and the members that they have told: only
// the leader admits instances, and it need not be a peer.
func (j *joiner) probe() {
	names := slices.Concat(j.loop.node.options.Peers, slices.Sorted(maps.Keys(j.members)))
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

// receive handles the messages that are not for the core.
func (j *joiner) receive(message *consensus.Message) bool {
	switch body := message.Body.(type) {
	case *consensus.Message_ProbeRequest:
		j.probed(message.From)
	case *consensus.Message_ProbeReply:
		name := InstanceName(message.From)
		delete(j.fresh, name)
		if !body.ProbeReply.Started {
			j.fresh[name] = message.From
		}
		j.learnMembers(body.ProbeReply.GetMembers())
	default:
		return false
	}
	return true
}

// learnMembers keeps the names of members, if other instances than peers may be
// members.
func (j *joiner) learnMembers(members *consensus.Members) {
	if !j.loop.node.options.AdmitNonPeers {
		return
	}
	for _, id := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		j.members[InstanceName(id)] = true
	}
}

func (j *joiner) probed(from string) {
	members := j.loop.core.Status().Members
	j.send(from, &consensus.Message{Body: &consensus.Message_ProbeReply{
		ProbeReply: &consensus.ProbeReply{Started: j.started, Members: members},
	}})
	options := &j.loop.node.options
	if (options.AdmitNonPeers || slices.Contains(options.Peers, InstanceName(from))) && !members.Has(from) {
		if j.asked == nil {
			j.asked = map[string]string{}
		}
		j.asked[InstanceName(from)] = from
	}
}

// form begins a new group. Only the first of the peers does so, and only after
// every other one has said that it has no log; two instances that formed
// groups with different incarnations of a third would disagree.
func (j *joiner) form() {
	options := j.loop.node.options
	if options.DisableBootstrap || options.Peers[0] != options.Name {
		return
	}
	voters := []string{j.loop.node.id}
	for _, peer := range options.Peers[1:] {
		id, ok := j.fresh[peer]
		if !ok {
			return
		}
		voters = append(voters, id)
	}
	j.loop.step(consensus.Bootstrap{Voters: voters})
}

// repair makes at most one membership change: it promotes a learner that has
// caught up, after removing the voter that it replaces, or else adds a learner.
func (j *joiner) repair(members *consensus.Members) {
	for _, learner := range members.Learners {
		old := voterByName(members, InstanceName(learner))
		switch {
		case !j.loop.core.CaughtUp(learner):
		case old != "":
			if j.silent(old, j.loop.node.options.Core.ElectionTimeout) {
				j.change(consensus.RemoveMember, old)
				return
			}
		case j.mayVote(members, learner):
			j.change(consensus.PromoteLearner, learner)
			return
		default:
			if lost := j.lostVoter(members); lost != "" {
				j.change(consensus.RemoveMember, lost)
				return
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(j.asked)) {
		id := j.asked[name]
		delete(j.asked, name)
		if members.Has(id) {
			continue
		}
		if stale := learnerByName(members, name); stale != "" {
			j.change(consensus.RemoveMember, stale)
			return
		}
		j.change(consensus.AddLearner, id)
		return
	}
}

// mayVote reports whether a learner without an earlier incarnation may become a
// voter: a peer always, another one while voters are missing.
func (j *joiner) mayVote(members *consensus.Members, learner string) bool {
	options := &j.loop.node.options
	if options.DesiredVoters == nil {
		return slices.Contains(options.Peers, InstanceName(learner))
	}
	return len(members.Voters) < options.DesiredVoters()
}

// lostVoter returns a voter whose vote a caught-up learner may take, or "".
func (j *joiner) lostVoter(members *consensus.Members) string {
	options := &j.loop.node.options
	if options.DesiredVoters == nil || options.ReplaceAfter == 0 {
		return ""
	}
	for _, id := range members.Voters {
		if id != j.loop.node.id && j.silent(id, options.ReplaceAfter) {
			return id
		}
	}
	return ""
}

// silent reports whether a member has not answered for some time.
func (j *joiner) silent(id string, limit time.Duration) bool {
	return j.loop.now.Sub(j.loop.core.LastContact(id)) > limit
}

// change proposes a membership change. A refused one is tried again when it is
// still needed at a later tick.
func (j *joiner) change(kind consensus.ChangeKind, id string) {
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
