package cluster

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/cluster/documents"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// slowLink is the network link of a gateway: it carries what all coordinators send to
// the gateway, in the order of their writes, at a fixed rate.
type slowLink struct {
	bytesPerSecond int

	mu   sync.Mutex
	sent int
}

// slowLinkUnit is the number of bytes that a connection sends before another one may.
const slowLinkUnit = 1500

func (l *slowLink) carry(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	time.Sleep(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	l.sent += bytes
}

// sentBytes returns the number of bytes that were carried so far.
func (l *slowLink) sentBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// slowListener accepts connections that write through a slowLink.
type slowListener struct {
	net.Listener
	link *slowLink
}

func (s slowListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	return slowConn{conn, s.link}, err
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c slowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		unit := p[written:min(written+slowLinkUnit, len(p))]
		c.link.carry(len(unit))
		n, err := c.Conn.Write(unit)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// documentNetwork is a gateway with links to coordinators that have no log: documents
// are passed to them.
type documentNetwork struct {
	link         *slowLink
	coordinators []*Coordinator
	gateway      *Gateway
}

func startDocumentNetwork(bytesPerSecond, coordinators int) *documentNetwork {
	GinkgoHelper()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	DeferCleanup(func() {
		stop()
		running.Wait()
	})
	run := func(loop func(context.Context) error) { running.Go(func() { _ = loop(ctx) }) }
	n := &documentNetwork{link: &slowLink{bytesPerSecond: bytesPerSecond}}
	listeners, port := listenOnOnePort(coordinators)
	var names []string
	for _, listener := range listeners {
		host, _, err := net.SplitHostPort(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		names = append(names, host)
		c := NewCoordinator(CoordinatorOptions{
			Name: host, DataCentre: "z1", Listener: slowListener{listener, n.link}, LinkPort: port,
			DataFolder: GinkgoT().TempDir(), Logger: zerolog.New(io.Discard),
			Placement: placement.Options{Name: host}, Decode: decodeTestDocument,
		})
		n.coordinators = append(n.coordinators, c)
		run(c.mesh.Run)
	}
	n.gateway = NewGateway(GatewayOptions{
		Name: "g", DataCentre: "z1", LinkPort: port, Seeds: names, Decode: decodeTestDocument, Logger: zerolog.New(io.Discard),
	})
	run(n.gateway.Run)
	for _, name := range names {
		Eventually(func() bool { return n.gateway.mesh.Linked(name) }, "20s").Should(BeTrue())
	}
	return n
}

// listenOnOnePort returns listeners on different loopback addresses and one port.
func listenOnOnePort(count int) ([]net.Listener, int) {
	GinkgoHelper()
	for range 20 {
		var listeners []net.Listener
		port := 0
		for i := range count {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.91.0.%d:%d", i+1, port))
			if err != nil {
				break
			}
			listeners = append(listeners, listener)
			port = listener.Addr().(*net.TCPAddr).Port
		}
		if len(listeners) == count {
			return listeners, port
		}
		for _, listener := range listeners {
			listener.Close()
		}
	}
	Fail("no port is free on all addresses")
	return nil, 0
}

// testDocument returns a document whose body cannot be compressed.
func testDocument(version uint64, bytes int) Document {
	body := binary.BigEndian.AppendUint64(nil, version)
	random := rand.New(rand.NewPCG(version, 0))
	for len(body) < bytes {
		body = binary.BigEndian.AppendUint64(body, random.Uint64())
	}
	return Document{Version: version, Body: body}
}

func decodeTestDocument(body []byte) (*Deployment, error) {
	return &Deployment{Version: binary.BigEndian.Uint64(body)}, nil
}

// apply passes a committed document to all coordinators.
func (n *documentNetwork) apply(document Document) {
	for _, c := range n.coordinators {
		c.applyDocument(document)
	}
}

// gatewayVersion returns the version that the gateway obeys.
func (n *documentNetwork) gatewayVersion() uint64 {
	if deployment := n.gateway.Deployment(); deployment != nil {
		return deployment.Version
	}
	return 0
}

// pushedVersions receives the versions of documents that arrive unasked.
type pushedVersions chan uint64

func (p pushedVersions) HandleMessage(_ *wire.Hello, message *wire.Envelope) {
	if state := message.GetDocumentState(); state != nil {
		p <- state.GetVersion()
	}
}

func (pushedVersions) HandleCall(context.Context, string, *wire.Envelope) (*wire.Envelope, error) {
	return nil, errors.New("no calls")
}
func (pushedVersions) LinkUp(*wire.Hello)         {}
func (pushedVersions) LinkDown(string, error)     {}
func (pushedVersions) LinkFailed(string, error)   {}
func (pushedVersions) Heartbeat() *wire.Heartbeat { return &wire.Heartbeat{} }

var _ = Describe("the document on the way to a gateway", func() {
	// Pattern: changes in quick succession, and a link that carries each of them once but
	// not once from each coordinator. Guards against a gateway that obeys versions which
	// were superseded seconds ago, because they wait ahead of the newest one.
	It("is not sent by each coordinator, nor once it is superseded", func() {
		const (
			size     = 10_000
			interval = 100 * time.Millisecond
			changes  = 40
		)
		n := startDocumentNetwork(200_000, 3)
		for version := range uint64(changes) {
			n.apply(testDocument(version+1, size))
			time.Sleep(interval)
		}
		n.apply(testDocument(changes+1, size))
		before := n.link.sentBytes()
		Eventually(n.gatewayVersion, "60s", "1ms").Should(Equal(uint64(changes + 1)))
		Expect(n.link.sentBytes()-before).To(BeNumerically("<", 3*size), "sent after the last change until it is obeyed")
		Expect(n.link.sentBytes()).To(BeNumerically("<", 3*(changes+1)*size/2), "sent altogether")
	})

	// Pattern: answers to callers beside a large document. Guards against answers and
	// heartbeats that wait until the document has passed.
	It("lets an answer of any coordinator pass after a few pieces", func() {
		const size, coordinators = 600_000, 3
		n := startDocumentNetwork(200_000, coordinators)
		n.apply(testDocument(1, size))
		Eventually(n.link.sentBytes, "20s", "1ms").Should(BeNumerically(">", size/10))
		answers := make(chan Answer, coordinators)
		before := n.link.sentBytes()
		for i, c := range n.coordinators {
			ref := uint64(i + 1)
			n.gateway.mu.Lock()
			n.gateway.pending[ref] = &pendingJob{coordinator: c.options.Name, answer: answers}
			n.gateway.mu.Unlock()
			Expect(c.send(n.gateway.options.Name, &wire.Envelope{Body: &wire.Envelope_SubmissionAnswer{
				SubmissionAnswer: &wire.SubmissionAnswer{Ref: ref, Outcome: wire.JobOutcome(placement.Completed)},
			}})).To(BeTrue())
		}
		for range coordinators {
			Eventually(answers, "20s", "1ms").Should(Receive())
		}
		Expect(n.link.sentBytes() - before).To(BeNumerically("<", 4*documents.PieceBytes))
		Expect(n.gatewayVersion()).To(BeZero(), "the document is still on its way")
	})

	// Guards against gateways of an earlier version, which request nothing, being left
	// with an old document during an upgrade.
	It("is sent unasked to a gateway that does not request it", func() {
		n := startDocumentNetwork(1_000_000, 1)
		received := make(pushedVersions, 10)
		earlier := newMesh(newHello("earlier", "z2"), nil, received)
		earlier.Dial(linkPeer(n.coordinators[0].options.Name, n.coordinators[0].options.LinkPort))
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = earlier.Run(ctx) })
		defer running.Wait()
		defer stop()
		n.apply(testDocument(1, 100))
		Eventually(received, "20s").Should(Receive(Equal(uint64(1))))
		n.apply(testDocument(2, 100))
		Eventually(received, "20s").Should(Receive(Equal(uint64(2))))
	})

	// Pattern: a document that takes a slow link longer than linkTimeout. Guards against
	// heartbeats that wait behind it, so that the link is given up and the document
	// begins anew on the next one, without end.
	It("arrives also if it takes longer than a silent link is kept", func() {
		n := startDocumentNetwork(200_000, 3)
		n.apply(testDocument(1, 300_000))
		Eventually(n.gatewayVersion, "60s").Should(Equal(uint64(1)))
	})
})
