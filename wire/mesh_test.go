package wire_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

// recorder is a Handler that counts link ups and one-way messages.
type recorder struct {
	mu       sync.Mutex
	linkUps  int
	changes  []string // of links, in order
	received []*wire.Envelope
}

func (r *recorder) HandleMessage(_ *wire.Hello, message *wire.Envelope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if message.GetHeartbeat() == nil {
		r.received = append(r.received, message)
	}
}

func (r *recorder) HandleCall(_ context.Context, peer string, request *wire.Envelope) (*wire.Envelope, error) {
	if string(request.GetProposal().GetCommand()) == "fail" {
		return nil, errors.New("refused by " + peer)
	}
	return request, nil
}

func (r *recorder) LinkUp(*wire.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkUps++
	r.changes = append(r.changes, "up")
}

func (r *recorder) LinkDown(string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, "down")
}

func (r *recorder) linkChanges() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.changes)
}

func (r *recorder) LinkFailed(string, error) {}

func (r *recorder) Heartbeat() *wire.Heartbeat { return &wire.Heartbeat{} }

func (r *recorder) counts() (linkUps, received int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.linkUps, len(r.received)
}

// stallingListener is a listener whose accepted connections can be stalled: they
// stay open, but deliver nothing more.
type stallingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*stallingConn
}

type stallingConn struct {
	net.Conn
	stalled chan struct{}
}

func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.stalled:
		select {} // the bytes are never delivered
	default:
		return n, err
	}
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	stalling := &stallingConn{Conn: conn, stalled: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, stalling)
	return stalling, nil
}

// stall stalls the connections accepted so far.
func (l *stallingListener) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		close(conn.stalled)
	}
	l.conns = nil
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

var _ = Describe("Mesh", func() {
	var (
		a, b         *recorder
		meshA, meshB *wire.Mesh
		listenerB    *stallingListener
	)

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		listenerA := listen()
		listenerB = &stallingListener{Listener: listen()}
		a, b = &recorder{}, &recorder{}
		meshA = wire.NewMesh(wire.MeshOptions{
			Self: &wire.Hello{Instance: "a"}, Listener: listenerA, Handler: a,
			Peers: []wire.Peer{{Name: "b", Address: listenerB.Addr().String()}},
		})
		meshB = wire.NewMesh(wire.MeshOptions{
			Self: &wire.Hello{Instance: "b"}, Listener: listenerB, Handler: b,
			Peers: []wire.Peer{{Name: "a", Address: listenerA.Addr().String()}},
		})
		for _, mesh := range []*wire.Mesh{meshA, meshB} {
			go func() { _ = mesh.Run(ctx) }()
		}
		Eventually(func() bool { return meshA.Linked("b") && meshB.Linked("a") }, "10s").Should(BeTrue())
	})

	request := func(command string) *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_Proposal{Proposal: &wire.Proposal{Command: []byte(command)}}}
	}

	// Guards against one-way messages that only pass in the direction of the dial.
	It("passes messages and calls in both directions", func() {
		Expect(meshA.Send("b", request("x"))).To(Succeed())
		Expect(meshB.Send("a", request("y"))).To(Succeed())
		Eventually(func() int { _, received := a.counts(); return received }, "10s").Should(Equal(1))
		Eventually(func() int { _, received := b.counts(); return received }, "10s").Should(Equal(1))
		for mesh, peer := range map[*wire.Mesh]string{meshA: "b", meshB: "a"} {
			reply, err := mesh.Call(context.Background(), peer, request("echo"))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetProposal().GetCommand()).To(BeEquivalentTo("echo"))
		}
	})

	// Guards against a failed call that looks like an empty reply.
	It("reports the peer's error and a missing link with step and peer", func() {
		_, err := meshA.Call(context.Background(), "b", request("fail"))
		Expect(err).To(MatchError(ContainSubstring("call peer=b: refused by a")))
		_, err = meshA.Call(context.Background(), "c", request("x"))
		Expect(errors.Is(err, wire.ErrNoLink)).To(BeTrue())
	})

	// Guards against a link that stays in use after its connection stopped
	// delivering for good, while new connections work.
	It("replaces a link that stopped delivering", func() {
		listenerB.stall()
		Eventually(func() int { linkUps, _ := b.counts(); return linkUps }, 20*time.Second).Should(BeNumerically(">=", 2))
		Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := meshA.Call(ctx, "b", request("echo"))
			return err
		}, "10s").Should(Succeed())
	})
})

var _ = Describe("Dial", func() {
	run := func(options wire.MeshOptions) *wire.Mesh {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		if options.Handler == nil {
			options.Handler = &recorder{}
		}
		options.HeartbeatInterval, options.Timeout = 20*time.Millisecond, 2*time.Second
		mesh := wire.NewMesh(options)
		go func() { _ = mesh.Run(ctx) }()
		return mesh
	}

	// Guards against an instance that is missing from its peers' configuration and
	// waits to be dialled by those with smaller names.
	It("links an instance to a peer that is not configured with it, whatever their names", func() {
		listener := listen()
		small := run(wire.MeshOptions{Self: &wire.Hello{Instance: "a"}, Listener: listener, AcceptUnknown: true})
		large := run(wire.MeshOptions{Self: &wire.Hello{Instance: "b"}})
		large.Dial(wire.Peer{Name: "a", Address: listener.Addr().String()})
		Eventually(func() bool { return small.Linked("b") && large.Linked("a") }, "10s").Should(BeTrue())
	})

	// Guards against an instance that keeps what it does for a peer, although the
	// peer has lost the link and dialled again before this end noticed the loss.
	It("reports a link as down before the link that replaces it is up", func() {
		listener, changes := listen(), &recorder{}
		small := run(wire.MeshOptions{Self: &wire.Hello{Instance: "a"}, Listener: listener, AcceptUnknown: true, Handler: changes})
		peer := wire.Peer{Name: "a", Address: listener.Addr().String()}
		run(wire.MeshOptions{Self: &wire.Hello{Instance: "b"}}).Dial(peer)
		Eventually(func() bool { return small.Linked("b") }, "10s").Should(BeTrue())
		run(wire.MeshOptions{Self: &wire.Hello{Instance: "b"}}).Dial(peer)
		Eventually(func() int { return len(changes.linkChanges()) }, "10s").Should(BeNumerically(">=", 3))
		Expect(changes.linkChanges()[:3]).To(Equal([]string{"up", "down", "up"}))
	})

	// Guards against two instances that replace each other's links forever.
	It("keeps one link when both instances dial", func() {
		listenerA, listenerB := listen(), listen()
		a := run(wire.MeshOptions{Self: &wire.Hello{Instance: "a"}, Listener: listenerA, AcceptUnknown: true})
		b := run(wire.MeshOptions{Self: &wire.Hello{Instance: "b"}, Listener: listenerB, AcceptUnknown: true})
		a.Dial(wire.Peer{Name: "b", Address: listenerB.Addr().String()})
		b.Dial(wire.Peer{Name: "a", Address: listenerA.Addr().String(), DialDelay: 300 * time.Millisecond})
		Eventually(func() bool { return a.Linked("b") && b.Linked("a") }, "10s").Should(BeTrue())
		Consistently(func() bool { return a.Linked("b") && b.Linked("a") }, "1s").Should(BeTrue())
	})
})
