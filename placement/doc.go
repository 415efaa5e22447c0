// Package placement decides which target runs which task, and keeps every
// target within its capacity. A Core holds the jobs whose home is this
// coordinator and the targets that it owns; it lends free room on its targets
// to the homes at other coordinators and borrows theirs.
//
// The package does no I/O: Step takes an event, Ready returns the effects that
// the caller has to carry out, and NextWake says when the next Tick is due.
// Times are readings of a steady clock that goes on while the machine is
// suspended.
//
// Invariants:
//
//   - A target gets starts only after an answered look under the current fencing
//     token that listed no run unknown here.
//   - A run holds its share of the target's capacity from its order until its
//     end is listed, a look under a newer token does not list it, or every lease
//     that the target may hold has ended.
//   - A task has at most one run that may be alive.
//   - A lease is extended only while the target answers.
package placement
