// Package lease decides whether an instance may act as an owner, and under which
// agreed members. It does no I/O: Step processes one event, Ready returns the
// effects, NextWake returns when a Tick is due. A Core is not safe for concurrent
// use.
//
// # Instances
//
// A Core renews its lease every structs.OwnerRenewInterval. A renewal requests a
// grant from the voters and promises from all other members at the same time;
// either extends the lease to structs.OwnerLease after the renewal began. Effects
// have to be carried out in order: MembersChanged and LeaseChanged reach the
// claims core before a later Propose is sent, because Propose with Settled states
// that the claims core has given up what it does not own any more. Links that
// break or reorder are tolerated; PromiseReplyReceived.Incarnation has to be that of
// the process at the other end of the link.
//
// # Voters
//
// The voters replicate one Agreement per data centre. Their log carries Command;
// each voter applies the commands in log order with Agreement.Apply, and the
// voter that received a command returns its Result after the command has been
// committed and applied. All exported fields of Agreement and MemberState are
// part of a snapshot. Apply makes these checks:
//
//   - CommandRenew: the instance is a member and the epoch is the current one.
//   - CommandJoin: every member has settled in the current epoch.
//   - CommandLeave: as CommandRenew, and the member's count of renewals is that
//     of the command. The last member has to be settled.
//   - CommandExpire: as CommandRenew, with the same count. Members that joined
//     since the last renewal of the expired one are removed with it. It is
//     refused if no member would remain.
//   - CommandForceRemove: as CommandRenew; the member is removed at once. It is
//     for an operator who states that the process has been stopped for longer than
//     ExpiryDelay; no other command removes a sole member that is dead.
//
// The leader calls ExpiryMonitor.ExpireCommands at least once per renewal
// interval, on its monotonic clock, and proposes the commands. It creates a new
// ExpiryMonitor in each term. After each new epoch it sends the View to all
// members and to the instances that left, as ViewReceived; without that, members
// receive it with their next renewal.
//
// # Why a job has one owner
//
// An epoch is confirmed once all its members have settled in it. A member uses a
// partition that it gained only in a confirmed epoch. An earlier owner of the
// partition is either still a member, and then it has settled and given the
// partition up, or it was removed. At the removal its grant had expired, and all
// that remained were members whose promise it needs in every epoch it may still
// be in. They promise it nothing more, and settle only after the promises they
// gave have expired. A process that was restarted settles one ExpiryDelay after
// its start, and its promises count for others only while their lease is held
// without a gap.
package lease
