package cluster

import (
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"hawthornshore.example/wire"
)

const (
	// linkHeartbeatInterval and linkTimeout detect failed links. A caller retries a
	// second or more after a failure, so both ends of a link have to detect its
	// failure in less than that.
	linkHeartbeatInterval = 150 * time.Millisecond
	linkTimeout           = 700 * time.Millisecond
	// linkDialTimeout bounds one attempt to connect. It is far above a round trip,
	// and short, so that a machine that is up again is reached soon.
	linkDialTimeout = 200 * time.Millisecond
)

// newHello returns the Hello of a new process.
func newHello(name, dataCentre string) *wire.Hello {
	return &wire.Hello{Instance: name, DataCentre: dataCentre, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36)}
}

// firstRef returns a random number to count refs from. Messages for an earlier process
// of the same name may still arrive, so its refs are not used again; the time of day
// does not tell processes apart after it has stepped back.
func firstRef() uint64 { return rand.Uint64() >> 1 &^ (1<<24 - 1) }

// newMesh returns the mesh of a process. Without a listener it only dials.
func newMesh(hello *wire.Hello, listener net.Listener, handler wire.Handler) *wire.Mesh {
	mesh := wire.NewMesh(wire.MeshOptions{
		Self:              hello,
		Listener:          listener,
		Handler:           handler,
		AcceptUnknown:     true,
		HeartbeatInterval: linkHeartbeatInterval,
		Timeout:           linkTimeout,
		DialTimeout:       linkDialTimeout,
	})
	registerTraffic(mesh.Traffic())
	return mesh
}

// linkPeer returns the peer of a coordinator. Its name is its IP address.
func linkPeer(name string, port int) wire.Peer {
	return wire.Peer{Name: name, Address: net.JoinHostPort(name, strconv.Itoa(port))}
}
