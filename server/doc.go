// Package server is hawthornshore's entry instance as a library: it joins the
// decision cores to sockets, timers and files. Programs embed it with New and
// Run.
//
// Goroutines and what they own:
//
//   - decisionLoop owns the claims and dispatch cores. Everything else reaches
//     them through one bounded ring.
//   - one goroutine per attempt talks to its target and reports back.
//   - the mesh has a reader, a writer, an acceptor and a heartbeat per link.
//   - net/http serves callers, targets and operators.
package server
