package sysstate

import (
	"maps"
	"slices"

	"hawthornshore.example/claims/lease"
)

// applyLease executes a lease command on the members of one data centre.
func (m *Machine) applyLease(command *LeaseCommand) *Answer {
	if command.DataCentre == "" || command.Instance == "" {
		return m.refuse(Status_STATUS_BAD_COMMAND, "data centre or instance is missing")
	}
	agreement := m.agreements[command.DataCentre]
	if agreement == nil {
		agreement = lease.NewAgreement()
		m.agreements[command.DataCentre] = agreement
	}
	result := agreement.Apply(CommandFromProto(command))
	if result.View.Epoch == command.Epoch {
		// The instance sent this epoch, so it has the view. Renewals are the
		// most frequent command, and views grow with the members.
		result.View.Members = nil
	}
	return &Answer{Lease: resultToProto(&result)}
}

// CommandToProto returns the log encoding of a lease command.
func CommandToProto(dataCentre string, c *lease.Command) *LeaseCommand {
	return &LeaseCommand{
		DataCentre: dataCentre,
		Kind:       uint32(c.Kind),
		Instance:   c.Instance,
		Epoch:      c.Epoch,
		Settled:    c.Settled,
		Renewals:   c.Renewals,
		Token:      c.Token,
	}
}

// CommandFromProto decodes a lease command from the log.
func CommandFromProto(c *LeaseCommand) lease.Command {
	return lease.Command{
		Kind:     lease.CommandKind(c.Kind),
		Instance: c.Instance,
		Epoch:    c.Epoch,
		Settled:  c.Settled,
		Renewals: c.Renewals,
		Token:    c.Token,
	}
}

func resultToProto(r *lease.Result) *LeaseResult {
	return &LeaseResult{
		Granted:   r.Granted,
		Confirmed: r.Confirmed,
		Renewals:  r.Renewals,
		View:      ViewToProto(&r.View),
	}
}

// ResultFromProto decodes the result of a lease command.
func ResultFromProto(r *LeaseResult) lease.Result {
	return lease.Result{
		Granted:   r.GetGranted(),
		Confirmed: r.GetConfirmed(),
		Renewals:  r.GetRenewals(),
		View:      ViewFromProto(r.GetView()),
	}
}

// ViewToProto returns the log encoding of a view.
func ViewToProto(v *lease.View) *LeaseView {
	view := &LeaseView{Epoch: v.Epoch, Left: v.Left, Token: v.Token}
	for _, member := range v.Members {
		view.Members = append(view.Members, &LeaseMember{Name: member.Name, Joined: member.Joined})
	}
	return view
}

// ViewFromProto decodes a view.
func ViewFromProto(v *LeaseView) lease.View {
	view := lease.View{Epoch: v.GetEpoch(), Left: v.GetLeft(), Token: v.GetToken()}
	for _, member := range v.GetMembers() {
		view.Members = append(view.Members, lease.Member{Name: member.GetName(), Joined: member.GetJoined()})
	}
	return view
}

func agreementToProto(a *lease.Agreement) *Agreement {
	out := &Agreement{Epoch: a.Epoch, Left: a.Left, Token: a.Token}
	for _, name := range slices.Sorted(maps.Keys(a.Members)) {
		member := a.Members[name]
		out.Members = append(out.Members, &AgreedMember{
			Name:     name,
			Joined:   member.Joined,
			Renewals: member.Renewals,
			Settled:  member.Settled,
			Known:    member.MembersSinceRenewal,
		})
	}
	return out
}

func agreementFromProto(a *Agreement) *lease.Agreement {
	out := lease.NewAgreement()
	out.Epoch, out.Left, out.Token = a.GetEpoch(), a.GetLeft(), a.GetToken()
	for _, member := range a.GetMembers() {
		out.Members[member.GetName()] = &lease.MemberState{
			Joined:              member.GetJoined(),
			Renewals:            member.GetRenewals(),
			Settled:             member.GetSettled(),
			MembersSinceRenewal: slices.Clone(member.GetKnown()),
		}
	}
	return out
}
