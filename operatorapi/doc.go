// Package operatorapi is the HTTP contract between operators and entry
// instances: the paths and the JSON types. Every instance answers every call;
// it forwards to the leader what only the leader can decide.
//
// A call that fails is answered with an ErrorReply and a status of 400 or more.
package operatorapi
