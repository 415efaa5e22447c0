// Package wire holds the messages and the links between instances.
//
// A link is one yamux session over one TCP connection per pair of instances.
// The instance with the smaller name dials. The first stream carries one-way
// messages in both directions, heartbeats among them; every call opens a
// stream of its own with one request and one reply. A link that was silent for
// structs.LinkTimeout is closed and dialled again, because a connection can go
// silent for good while new ones work.
package wire
