// Package sysstate is the replicated state machine of the voters: the system
// configuration with its history, the operation IDs with their first answers,
// the agreed members of each data centre with their ownership leases, and the
// voters. Machine applies commands; it reads no clock, so that every replica
// gets the same state from the same log. Store shares a Machine between
// goroutines.
//
// # Members and leases
//
// The members of a data centre and the renewals of their leases are a
// lease.Agreement, which claims/lease defines and tests. A lease command changes
// nothing else.
package sysstate
