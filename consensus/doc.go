// Package consensus is the replicated log of the system state. It does no I/O.
package consensus
