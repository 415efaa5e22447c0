package sysstate

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
)

// DriftMarginPercent is added to a lease before a takeover, for clocks that
// run at different speeds.
const DriftMarginPercent = 10

func (m *Machine) centre(name string) *DataCentre {
	if m.centres[name] == nil {
		m.centres[name] = new(DataCentre)
	}
	return m.centres[name]
}

func validLease(ms int64) bool { return ms > 0 && ms <= MaxLease.Milliseconds() }

// joinMember makes an instance a member at once when the data centre has none
// or when it replaces its own earlier incarnation; otherwise it becomes
// joining.
func (m *Machine) joinMember(ctx Context, command *JoinMember) *Answer {
	if command.DataCentre == "" || command.Instance == "" || command.Incarnation == "" || !validLease(command.LeaseMs) {
		return m.refuse(Status_STATUS_BAD_COMMAND, "data centre, instance, incarnation or lease is missing")
	}
	centre := m.centre(command.DataCentre)
	if member := centre.member(command.Instance); member != nil {
		return m.rejoin(ctx, centre, member, command)
	}
	joining := &Joining{Instance: command.Instance, Incarnation: command.Incarnation, LeaseMs: command.LeaseMs}
	centre.dropJoining(command.Instance)
	centre.Joining = append(centre.Joining, joining)
	slices.SortFunc(centre.Joining, func(a, b *Joining) int { return strings.Compare(a.Instance, b.Instance) })
	centre.admitJoining(ctx)
	if centre.member(command.Instance) == nil {
		return centre.answer(Status_STATUS_PENDING)
	}
	return centre.answer(Status_STATUS_OK)
}

func (m *Machine) rejoin(ctx Context, centre *DataCentre, member *Member, command *JoinMember) *Answer {
	if member.Incarnation == command.Incarnation {
		return centre.answer(Status_STATUS_OK)
	}
	if wait := member.remaining(ctx); wait > 0 {
		return centre.leaseHeld(wait)
	}
	member.Incarnation, member.LeaseMs = command.Incarnation, command.LeaseMs
	member.KnownMembers = centre.names()
	member.renewed(ctx)
	centre.Epoch++
	return centre.answer(Status_STATUS_OK)
}

// leaveMember removes an instance that says it has stopped.
func (m *Machine) leaveMember(ctx Context, command *LeaveMember) *Answer {
	centre := m.centres[command.DataCentre]
	if joining := centre.joining(command.Instance); joining != nil && joining.Incarnation == command.Incarnation {
		centre.dropJoining(command.Instance)
		centre.forget(command.Instance)
		return centre.answer(Status_STATUS_OK)
	}
	member := centre.member(command.Instance)
	if member == nil || member.Incarnation != command.Incarnation {
		return centre.answer(Status_STATUS_NOT_MEMBER)
	}
	centre.removeMember(command.Instance)
	centre.admitJoining(ctx)
	return centre.answer(Status_STATUS_OK)
}

// renewLease prolongs a lease. A renewal under an old epoch is refused, so
// that an owner never acts on members that were replaced before its renewal.
func (m *Machine) renewLease(ctx Context, command *RenewLease) *Answer {
	centre := m.centres[command.DataCentre]
	if joining := centre.joining(command.Instance); joining != nil && joining.Incarnation == command.Incarnation {
		return centre.answer(Status_STATUS_PENDING)
	}
	member := centre.member(command.Instance)
	switch {
	case !validLease(command.LeaseMs):
		return m.refuse(Status_STATUS_BAD_COMMAND, "lease is out of bounds")
	case member == nil || member.Incarnation != command.Incarnation:
		return centre.answer(Status_STATUS_NOT_MEMBER)
	case command.Epoch != centre.Epoch:
		return centre.answer(Status_STATUS_STALE_EPOCH)
	}
	member.LeaseMs = command.LeaseMs
	member.KnownMembers = centre.names()
	for _, joining := range centre.Joining {
		if slices.Contains(command.KnownMembers, joining.Instance) {
			member.KnownMembers = append(member.KnownMembers, joining.Instance)
		}
	}
	slices.Sort(member.KnownMembers)
	member.renewed(ctx)
	centre.admitJoining(ctx)
	return centre.answer(Status_STATUS_OK)
}

// takeOver removes an owner whose lease has expired on the leader's clock.
func (m *Machine) takeOver(ctx Context, command *TakeOver) *Answer {
	centre := m.centres[command.DataCentre]
	owner, by := centre.member(command.Owner), centre.member(command.By)
	switch {
	case command.Owner == command.By:
		return m.refuse(Status_STATUS_BAD_COMMAND, "an instance cannot take over from itself")
	case owner == nil || owner.Incarnation != command.OwnerIncarnation:
		return centre.answer(Status_STATUS_NOT_MEMBER)
	case by == nil || by.Incarnation != command.ByIncarnation:
		return centre.answer(Status_STATUS_NOT_MEMBER)
	case !slices.Contains(owner.KnownMembers, command.By):
		return centre.answer(Status_STATUS_UNKNOWN_TO_OWNER)
	}
	if wait := owner.remaining(ctx); wait > 0 {
		return centre.leaseHeld(wait)
	}
	centre.removeMember(command.Owner)
	centre.admitJoining(ctx)
	return centre.answer(Status_STATUS_OK)
}

// admitJoining makes joining instances members that every member knows.
func (x *DataCentre) admitJoining(ctx Context) {
	for _, joining := range slices.Clone(x.Joining) {
		if !x.knownToAll(joining.Instance) {
			continue
		}
		x.dropJoining(joining.Instance)
		member := &Member{Instance: joining.Instance, Incarnation: joining.Incarnation, LeaseMs: joining.LeaseMs}
		x.Members = append(x.Members, member)
		slices.SortFunc(x.Members, func(a, b *Member) int { return strings.Compare(a.Instance, b.Instance) })
		member.KnownMembers = x.names()
		member.renewed(ctx)
		x.Epoch++
	}
}

func (x *DataCentre) knownToAll(instance string) bool {
	for _, member := range x.Members {
		if !slices.Contains(member.KnownMembers, instance) {
			return false
		}
	}
	return true
}

func (x *DataCentre) member(instance string) *Member {
	for _, member := range x.GetMembers() {
		if member.Instance == instance {
			return member
		}
	}
	return nil
}

func (x *DataCentre) joining(instance string) *Joining {
	for _, joining := range x.GetJoining() {
		if joining.Instance == instance {
			return joining
		}
	}
	return nil
}

func (x *DataCentre) names() []string {
	names := make([]string, len(x.Members))
	for i, member := range x.Members {
		names[i] = member.Instance
	}
	return names
}

func (x *DataCentre) removeMember(instance string) {
	x.Members = slices.DeleteFunc(x.Members, func(m *Member) bool { return m.Instance == instance })
	x.forget(instance)
	x.Epoch++
}

func (x *DataCentre) dropJoining(instance string) {
	x.Joining = slices.DeleteFunc(x.Joining, func(j *Joining) bool { return j.Instance == instance })
}

// forget makes the members learn of an instance anew should it join again.
func (x *DataCentre) forget(instance string) {
	for _, member := range x.Members {
		member.KnownMembers = slices.DeleteFunc(member.KnownMembers, func(name string) bool { return name == instance })
	}
}

func (x *DataCentre) answer(status Status) *Answer {
	return &Answer{Status: status, DataCentre: proto.CloneOf(x)}
}

func (x *DataCentre) leaseHeld(wait time.Duration) *Answer {
	answer := x.answer(Status_STATUS_LEASE_HELD)
	answer.WaitMs = wait.Milliseconds() + 1
	return answer
}

func (x *Member) renewed(ctx Context) {
	x.RenewedTerm, x.RenewedClockNs = ctx.Term, int64(ctx.Clock)
}

// remaining returns how long the member's lease may still be in use on the
// leader's clock.
func (x *Member) remaining(ctx Context) time.Duration {
	since := ctx.Clock
	if x.RenewedTerm == ctx.Term {
		since -= time.Duration(x.RenewedClockNs)
	}
	lease := time.Duration(x.LeaseMs) * time.Millisecond
	return lease + lease*DriftMarginPercent/100 - since
}
