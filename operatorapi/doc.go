// Package operatorapi defines the HTTP API of entry instances for operators:
// the paths and the JSON types. Every instance serves every call; it forwards
// to the leader the calls that need it.
//
// A call that fails is answered with an ErrorReply and a status of 400 or more.
package operatorapi
