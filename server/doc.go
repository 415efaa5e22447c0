// Package server implements hawthornshore's entry instance, which accepts jobs and
// dispatches their tasks, as a library: it connects the claims, dispatch, lease and
// membership cores to network, timers and files. Programs use New and Run.
//
// Goroutines and what they own:
//
//   - coreLoop owns the claims, dispatch and lease cores. All other goroutines
//     post events to its bounded queue; memberLoop owns the membership core.
//   - one goroutine per attempt calls its target and posts the resulting events.
//   - the mesh has a reader, a writer, an acceptor and a heartbeat per link.
//   - net/http serves callers, targets and operators.
package server
