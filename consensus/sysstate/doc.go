// Package sysstate is the state machine that the voters replicate: the system
// configuration with its history, the operation IDs with their first answers,
// the agreed members of each data centre with their ownership leases, and the
// voters. Machine applies commands; it reads no clock, so that every replica
// gets the same state from the same log. Store shares a Machine between
// goroutines.
//
// # Time
//
// The leader writes its monotonic clock, counted from the moment its
// leadership began, into each log entry. A lease that was renewed in an
// earlier term counts as renewed when the present leadership began. A renewal
// granted by an earlier leader was begun before that moment, because a
// majority left the earlier term before it elected the present leader.
//
// # Members and leases
//
// The epoch of a data centre grows with each change of its agreed members. The
// members in force at an epoch share the partitions. The following has to hold
// for an owner and is up to the caller:
//
//   - It counts its lease from the moment at which it began the renewal, and
//     before it acts on an answer it adopts the members in it.
//   - From the moment it sends a RenewLease it asks every instance named in
//     KnownMembers for a promise when it renews by promises, joining instances
//     included, until an answer no longer lists them.
//   - A new owner of a partition waits out the promises that it gave, and one
//     lease duration after it joined.
//
// A joining instance becomes an agreed member when every agreed member has
// named it in its last renewal. Every owner therefore knows all agreed members
// at any time, and an isolated owner either has the promises of all instances
// that could take over from it, or stops.
//
// A restarted instance joins under a new incarnation and replaces its earlier
// one after that one's lease plus margin: no two processes run under one
// instance name.
package sysstate
