// Package deployment runs gateways and coordinators as separate processes on
// loopback addresses, with emulated targets and clients, and checks the
// guarantees that clients and targets can observe.
package deployment
