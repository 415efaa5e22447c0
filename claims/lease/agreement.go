package lease

import (
	"maps"
	"slices"
)

// Agreement is the voters' replicated state for the members of one data centre.
// Only Apply changes it, which is deterministic and reads no clock. Every field
// must be part of the voters' snapshots.
//
// A member that acts as an owner in an epoch is not replaced before it has settled
// in a later one or was removed; a removal leaves only members that the removed
// one needs a promise from in every epoch it may still be in. So once the promises
// of the remaining members have expired, the removed member has stopped.
type Agreement struct {
	Epoch   uint64
	Members map[string]*MemberState
	Left    string
	Token   uint64
}

// MemberState is the replicated state of one member.
type MemberState struct {
	Joined uint64 // epoch since which it is a member without interruption
	// Renewals counts its renewals. It keeps increasing across removals.
	Renewals uint64
	Settled  uint64 // last epoch in which it settled; see Command.Settled
	// MembersSinceRenewal holds the instances that were members in every epoch
	// since its last renewal.
	MembersSinceRenewal []string
}

// NewAgreement returns an agreement without members.
func NewAgreement() *Agreement {
	return &Agreement{Members: make(map[string]*MemberState)}
}

// Apply applies one command of the log.
func (a *Agreement) Apply(cmd Command) Result {
	granted := false
	switch cmd.Kind {
	case CommandRenew:
		granted = a.renew(cmd)
	case CommandJoin:
		granted = a.join(cmd.Instance)
	case CommandLeave:
		granted = a.leave(cmd)
	case CommandExpire:
		granted = a.expire(cmd)
	case CommandForceRemove:
		granted = a.forceRemove(cmd)
	}
	return a.result(cmd.Instance, granted)
}

func (a *Agreement) result(instance string, granted bool) Result {
	r := Result{Granted: granted, Confirmed: a.confirmed(), View: a.View()}
	if m := a.Members[instance]; m != nil {
		r.Renewals = m.Renewals
	}
	return r
}

// View returns the view of the current epoch.
func (a *Agreement) View() View {
	v := View{Epoch: a.Epoch, Left: a.Left, Token: a.Token}
	for _, name := range a.names() {
		v.Members = append(v.Members, Member{Name: name, Joined: a.Members[name].Joined})
	}
	return v
}

func (a *Agreement) names() []string { return slices.Sorted(maps.Keys(a.Members)) }

// confirmed reports whether all members have settled in the current epoch.
func (a *Agreement) confirmed() bool {
	for _, m := range a.Members {
		if m.Settled != a.Epoch {
			return false
		}
	}
	return true
}

func (a *Agreement) renew(cmd Command) bool {
	m := a.Members[cmd.Instance]
	if m == nil || cmd.Epoch != a.Epoch {
		return false
	}
	m.Renewals++
	m.MembersSinceRenewal = a.names()
	if cmd.Settled {
		m.Settled = a.Epoch
	}
	return true
}

// join is refused until the epoch is confirmed: a member that joined an unconfirmed
// epoch has never acted as an owner, so that a removal may drop it again.
func (a *Agreement) join(instance string) bool {
	if a.Members[instance] != nil {
		return true
	}
	if !a.confirmed() {
		return false
	}
	a.Members[instance] = &MemberState{}
	a.beginEpoch("", 0)
	m := a.Members[instance]
	m.Joined = a.Epoch
	m.Renewals = a.Epoch << renewalsPerEpochBits
	m.MembersSinceRenewal = a.names()
	return true
}

// renewalsPerEpochBits makes the counts of a member that joins again start above
// those of its earlier membership, without keeping removed members.
const renewalsPerEpochBits = 32

// leave removes the last member only after it has settled. Until then it may be bound
// by a promise to a removed member that still acts as an owner, and no other member
// would wait for the end of that promise.
func (a *Agreement) leave(cmd Command) bool {
	m := a.Members[cmd.Instance]
	if m == nil || cmd.Epoch != a.Epoch || cmd.Renewals != m.Renewals {
		return false
	}
	if len(a.Members) == 1 && !cmd.Settled && m.Settled != a.Epoch {
		return false
	}
	delete(a.Members, cmd.Instance)
	a.beginEpoch(cmd.Instance, cmd.Token)
	return true
}

// expire removes a member and all that joined since its last renewal.
func (a *Agreement) expire(cmd Command) bool {
	m := a.Members[cmd.Instance]
	if m == nil || cmd.Epoch != a.Epoch || cmd.Renewals != m.Renewals {
		return false
	}
	remaining := slices.DeleteFunc(a.names(), func(name string) bool {
		return name == cmd.Instance || !slices.Contains(m.MembersSinceRenewal, name)
	})
	if len(remaining) == 0 {
		return false // no promise would show when it has stopped
	}
	maps.DeleteFunc(a.Members, func(name string, _ *MemberState) bool {
		return !slices.Contains(remaining, name)
	})
	a.beginEpoch("", 0)
	return true
}

func (a *Agreement) forceRemove(cmd Command) bool {
	if a.Members[cmd.Instance] == nil || cmd.Epoch != a.Epoch {
		return false
	}
	delete(a.Members, cmd.Instance)
	a.beginEpoch("", 0)
	return true
}

// beginEpoch starts the next epoch with the current members.
func (a *Agreement) beginEpoch(left string, token uint64) {
	a.Epoch++
	a.Left, a.Token = left, token
	for _, m := range a.Members {
		m.MembersSinceRenewal = slices.DeleteFunc(m.MembersSinceRenewal, func(name string) bool {
			return a.Members[name] == nil
		})
	}
}
