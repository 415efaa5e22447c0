// Package emulator is a stand-in for a target. It serves the target contract
// of docs/target-protocol.md, runs tasks as timers, announces itself to entry
// instances and brings about faults on request. Tests, experiments and
// hawthorn-target use it.
package emulator
