// Package control keeps an instance's copy of the system state (configuration
// and agreed members) and brings commands to the voters.
//
// The voters replicate the state. Every other instance pulls it: heartbeats
// carry the version that the sender knows, and an instance that sees a newer one
// asks the sender for it. So a change spreads by one heartbeat interval and one
// round trip a hop, without a list of receivers at the voters.
//
// The state's version is the configuration's version plus the epochs of all data
// centres. Each command that changes the state raises one of them by one, so
// that versions are ordered like the voters' log.
package control
