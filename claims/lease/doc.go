// Package lease decides whether an instance may act as an owner, and under which
// agreed members. It does no I/O: Step takes one event, Ready hands out the
// effects, NextWake says when a Tick is due. One goroutine owns a Core.
//
// # Instances
//
// A Core renews its lease every structs.OwnerRenewInterval. A renewal asks the
// voters for a grant and all other members for promises at the same time; either
// extends the lease to structs.OwnerLease after the renewal began. Effects have
// to be carried out in order: MembersChanged and LeaseChanged reach the claims
// core before a later Propose is sent, because Propose with Settled states that
// the claims core has given up what it does not own any more. Links that break
// or reorder are tolerated; PromiseAnswered.Incarnation has to be that of the
// process at the other end of the link.
//
// # Voters
//
// The voters replicate one Agreement per data centre. Their log carries Command;
// each voter applies the commands in log order with Agreement.Apply, and the
// voter that was asked returns the Result of its own command after it has been
// committed and applied. All exported fields of Agreement and MemberState are
// part of a snapshot: the epoch, who left last and with which token, and of each
// member since when it is one, its count of renewals, the epoch it has settled
// in and the members it knows of. Apply makes these checks:
//
//   - CommandRenew: the instance is a member and names the current epoch.
//   - CommandJoin: every member has settled in the current epoch.
//   - CommandLeave: as CommandRenew, and the count of renewals is the one the command names.
//     The last member has to be settled.
//   - CommandExpire: as CommandRenew, with the same count. Members that the expired one may not know of are
//     removed with it, and it is refused if nobody would remain.
//   - CommandForceRemove: the member is removed at once. It is for an operator who states
//     that the process has been stopped for longer than ExpiryDelay; no other command removes a sole member that
//     is dead.
//
// The leader calls ExpiryMonitor.ExpireCommands at least once per renewal interval, on its monotonic
// clock, and proposes what it returns. It starts a new ExpiryMonitor with each term. After
// each new epoch it sends the View to all members and to the instances that left,
// as ViewReceived; without that, members learn of it at their next renewal.
//
// # Why a job has one owner
//
// Call an epoch confirmed once all its members have settled in it. A member uses
// a partition that it gained only in a confirmed epoch. An earlier owner of the
// partition is either still a member, and then it has settled and given the
// partition up, or it was removed. At the removal its grant had run out, and all
// that remained were members whose promise it needs in every epoch it may still
// be in. They promise it nothing more, and settle only after the promises they
// gave have run out. A process that has lost its memory settles one ExpiryDelay after
// its start, and its promises count for others only while their lease is held
// without a gap.
package lease
