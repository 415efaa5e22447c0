// Package deployment runs gateways and coordinators as separate processes on
// loopback addresses, with emulated targets and callers, and checks the
// guarantees that callers and targets can observe.
package deployment
