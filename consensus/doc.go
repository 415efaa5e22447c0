// Package consensus implements a log that is replicated with the Raft protocol.
// It does no I/O: Step processes one event, Ready returns and clears the pending
// effects, and NextWake returns when a Tick is due. One goroutine owns a Core.
//
// # Safety
//
// A term has at most one leader: a vote is durable before its reply is sent, and
// a candidate counts its own vote once that vote is durable.
//
// An acknowledgement is emitted only after Synced has reported the Persist
// effect that carries the acknowledged state as durable. The core delays such
// messages itself, so the caller may send every SendMessage effect immediately,
// in any order relative to Persist. Persist effects must be written in the
// order in which Ready returned them.
//
// An instance in contact with a leader ignores vote requests (leader lease), a
// candidate runs a pre-vote before it increments the term, and a leader without
// contact to a quorum for ElectionTimeout steps down. An instance that rejoins
// after a long partition therefore still has its old term.
//
// Membership changes one member at a time. A change takes effect when its entry
// is appended to the log; the next one is refused until it is committed. A
// learner is promoted only when its durable log reaches the leader's commit
// index.
//
// A member ID identifies one incarnation of a disk. An instance that lost its
// disk must use a new ID, because its votes and its log are lost.
package consensus
