// Package wire holds the messages between instances and the links that carry them.
//
// A link is one yamux session over one TCP connection per pair of instances.
// Of two configured peers, the one with the smaller name dials. The first stream
// carries one-way messages in both directions, heartbeats among them; every call
// opens a stream of its own with one request and one reply. A link without messages
// for structs.LinkTimeout is closed and dialled again, because a connection can
// stop delivering for good while new ones work.
package wire
