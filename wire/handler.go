package wire

import (
	"context"
	"errors"
)

// ErrNoLink means that there is no link to the peer; nothing was sent.
var ErrNoLink = errors.New("no link to the peer")

// Handler processes the messages and calls that arrive over the links of a Mesh.
// Its methods are called concurrently and must not block for long, except
// HandleCall.
type Handler interface {
	// HandleMessage processes a one-way message, heartbeats included. The hello
	// is that of the link which delivered it, so that a late message of an earlier
	// process is not attributed to the present one.
	HandleMessage(hello *Hello, message *Envelope)
	// HandleCall returns the reply to a request. An error is sent to the peer as text.
	HandleCall(ctx context.Context, peerName string, request *Envelope) (*Envelope, error)
	// LinkUp and LinkDown report changes of the link to a peer, in turn: a link that
	// is replaced by another one is reported as down before that one is up.
	LinkUp(hello *Hello)
	LinkDown(peerName string, cause error)
	// LinkFailed reports an accepted connection that did not become a link, and
	// the first of consecutive failures to dial a peer.
	LinkFailed(address string, cause error)
	// Heartbeat returns the body of the next heartbeat.
	Heartbeat() *Heartbeat
}
