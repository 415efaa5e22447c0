// Package control maintains an instance's copy of the system state (configuration
// and agreed members) and proposes commands to the voters.
//
// The voters replicate the state with Raft. Every other instance pulls it:
// heartbeats carry the sender's version, and the receiver of a newer one requests
// the state from the sender. A change therefore takes one heartbeat interval and
// one round trip per hop, and voters keep no list of receivers.
//
// The state's version is the configuration's version plus the epochs of all data
// centres. Each command that changes the state increments one of them by one, so
// that versions are in the order of the voters' log.
package control
