// Package emulator emulates a target. It implements the target protocol of
// docs/target-protocol.md, runs tasks as timers, announces itself to entry
// instances and injects faults. Tests, experiments and hawthorn-target use it.
package emulator
