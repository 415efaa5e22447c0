// Package api is the client of the HTTP API of entry instances, for operator
// calls and job calls. Every error is a *structs.StepError with the call as the
// step and the instance's address as the peer.
package api
