package cluster

import (
	"net"
	"strconv"
	"time"

	"hawthornshore.example/wire"
)

const (
	// linkHeartbeat and linkTimeout watch the links. A caller's next attempt
	// comes a second and more after a broken one, so both ends of a failed link
	// have to notice it within less than that.
	linkHeartbeat = 150 * time.Millisecond
	linkTimeout   = 700 * time.Millisecond
	// linkDialTimeout bounds one attempt to connect, far above a round trip, so
	// that a machine that has just come back is found soon.
	linkDialTimeout = 200 * time.Millisecond
)

// newHello introduces a new process on its links.
func newHello(name, dataCentre string) *wire.Hello {
	return &wire.Hello{Instance: name, DataCentre: dataCentre, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36)}
}

// newMesh returns the links of a process. Without a listener it only dials.
func newMesh(hello *wire.Hello, listener net.Listener, handler wire.Handler) *wire.Mesh {
	return wire.NewMesh(wire.MeshOptions{
		Self:              hello,
		Listener:          listener,
		Handler:           handler,
		AcceptUnknown:     true,
		HeartbeatInterval: linkHeartbeat,
		Timeout:           linkTimeout,
		DialTimeout:       linkDialTimeout,
	})
}

// linkPeer returns where a coordinator takes links. Its name is its address.
func linkPeer(name string, port int) wire.Peer {
	return wire.Peer{Name: name, Address: net.JoinHostPort(name, strconv.Itoa(port))}
}
