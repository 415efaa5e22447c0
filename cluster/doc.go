// Package cluster is the library behind the gateway and the coordinator
// daemons. A gateway keeps callers' connections and hands their jobs to a
// coordinator. A coordinator stores the operators' document with the other
// coordinators, owns the targets that report to it, and runs the placement core.
//
// The package knows neither the callers' nor the targets' wire formats: an
// adapter decodes them and implements Targets.
package cluster
