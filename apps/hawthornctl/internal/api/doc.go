// Package api calls the HTTP server of entry instances: operators' calls and
// job calls. Every error is a *structs.StepError that names the call as the
// step and the instance's address as the peer.
package api
