// Package placement decides which target runs which task and keeps every
// target within its capacity. A Core holds the jobs whose home is this
// coordinator and the targets that it owns. It offers free capacity on its
// targets to other coordinators and places tasks on theirs.
//
// The package does no I/O: Step takes an event and Ready returns the effects
// that the caller has to carry out. The caller sends a Tick every TickInterval.
// Times are readings of a monotonic clock that also counts while the machine is
// suspended.
//
// Invariants:
//
//   - A target gets starts only after a successful poll under the current fencing
//     token that listed no run unknown to this coordinator.
//   - A run holds its share of the target's capacity from its start order until
//     its end is listed, a poll under a newer token does not list it, or every
//     lease that the target may hold has expired.
//   - A task has at most one run that may be alive.
//   - A lease is extended only while the target responds.
//   - A target that may get a start late, whose task may run elsewhere, is polled until
//     the start can no longer arrive. A next boot that gets it before the first of
//     these polls does carry it out.
//
// A run is one execution of a task; package dispatch has the word attempt for it. A
// coordinator owns the targets that it is in charge of; package dispatch calls this
// managing.
package placement
