// Package cluster is the library behind the gateway and the coordinator
// daemons. A gateway holds callers' connections and submits their jobs to a
// coordinator. A coordinator replicates the operators' document with the other
// coordinators, owns the targets that send it heartbeats, and runs the placement
// core.
//
// The package is independent of the callers' and the targets' wire formats: an
// adapter decodes them and implements Targets.
package cluster
