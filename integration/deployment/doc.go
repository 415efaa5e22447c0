// Package deployment runs gateways and coordinators as separate processes on
// loopback addresses, with emulated targets and callers, and checks the
// promises from what callers and targets see.
package deployment
