// Package consensus is the replicated log of the system state. It does no I/O:
// Step takes one event, Ready returns and clears the pending effects, and
// NextWake says when a Tick is due. One goroutine owns a Core.
//
// # Rules
//
// A term has at most one leader: a vote is durable before its reply is
// released, and a candidate counts its own vote once that vote is durable.
//
// An acknowledgement leaves the core only after the Persist effect that
// carries the acknowledged state was reported by Synced. The core holds such
// messages back itself, so that the caller may send every SendMessage effect
// at once, in any order relative to Persist. Persist effects have to reach the
// disk in the order in which Ready returned them.
//
// An instance that hears from a leader refuses votes (leader lease), a
// candidate asks for pre-votes before it raises the term, and a leader that
// does not hear from a quorum within ElectionTimeout steps down. An instance
// that was isolated for a long time therefore returns with its old term.
//
// Membership changes one member at a time. A change is in force from the
// moment its entry is in the log; the next one is refused until it is
// committed. A learner is promoted only when its durable log reaches the
// leader's commit index.
//
// A member ID stands for one incarnation of one disk. An instance that lost
// its disk has to use a new ID, because it forgot its votes and its log.
package consensus
