package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/structs"
)

const (
	// redialInterval is the pause between attempts to dial a peer.
	redialInterval = 200 * time.Millisecond
	// After more than slowRedialAfter consecutive failed attempts, the peer is assumed
	// to be down for long, and the pause is slowRedialInterval.
	slowRedialAfter    = 40
	slowRedialInterval = time.Second
)

// Peer is another instance and the address of its link listener.
type Peer struct {
	Name    string
	Address string // host:port
	// DialDelay is the delay of the first attempt to dial; later ones follow after
	// redialInterval plus DialDelay, or after slowRedialInterval alone. If two
	// instances dial each other, one needs it, or they keep replacing each other's links.
	DialDelay time.Duration
}

// MeshOptions configures a Mesh.
type MeshOptions struct {
	Self     *Hello
	Listener net.Listener // accepts links that peers dial; nil: none
	Peers    []Peer       // Run dials those with larger names than Self
	Handler  Handler
	// AcceptUnknown accepts links of instances that are not among the peers.
	AcceptUnknown bool
	// HeartbeatInterval and Timeout replace structs.LinkHeartbeatInterval and
	// structs.LinkTimeout if they are set.
	HeartbeatInterval time.Duration
	Timeout           time.Duration
	// DialTimeout bounds one attempt to connect; Timeout if it is 0.
	DialTimeout time.Duration
	// ClientTLS secures dialled links; nil means plain TCP. The listener has
	// its own TLS.
	ClientTLS *tls.Config
}

// timing is how often a link sends heartbeats and when it times out.
type timing struct {
	heartbeat time.Duration
	timeout   time.Duration
}

// Mesh keeps one link to each peer.
type Mesh struct {
	options   MeshOptions
	changes   sync.Mutex // held while links change and the handler is told
	mu        sync.RWMutex
	links     map[string]*link // by name of the peer
	dialled   map[string]bool  // peers passed to Dial
	dialQueue chan Peer        // peers that have no dial loop yet
	timing    timing
	traffic   Traffic
}

// dialQueueSize is the number of peers that may wait for a dial loop. It must not be
// smaller than the number of peers that Run dials: Run queues them all before it
// starts the first loop.
const dialQueueSize = 256

// NewMesh returns a Mesh that dials and accepts links once Run is called.
func NewMesh(options MeshOptions) *Mesh {
	m := &Mesh{
		options:   options,
		links:     make(map[string]*link),
		dialled:   make(map[string]bool),
		dialQueue: make(chan Peer, dialQueueSize),
		timing:    timing{structs.LinkHeartbeatInterval, structs.LinkTimeout},
	}
	if options.HeartbeatInterval > 0 {
		m.timing.heartbeat = options.HeartbeatInterval
	}
	if options.Timeout > 0 {
		m.timing.timeout = options.Timeout
	}
	return m
}

// Dial adds a peer to keep a link to. It has no effect for a peer that is
// dialled already. It blocks while the queue of peers to dial is
// full; only Run removes peers from it.
func (m *Mesh) Dial(peer Peer) {
	m.mu.Lock()
	exists := m.dialled[peer.Name]
	m.dialled[peer.Name] = true
	m.mu.Unlock()
	if !exists {
		m.dialQueue <- peer
	}
}

// Traffic returns the byte counters of the links.
func (m *Mesh) Traffic() *Traffic { return &m.traffic }

// Run dials and accepts links until ctx ends or the listener fails.
func (m *Mesh) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if m.options.Listener != nil {
		group.Go(func() error { return m.listenLoop(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		if m.options.Listener == nil {
			return nil
		}
		return m.options.Listener.Close()
	})
	for _, peer := range m.options.Peers {
		if m.options.Self.GetInstance() < peer.Name {
			m.Dial(peer)
		}
	}
	group.Go(func() error {
		for {
			select {
			case peer := <-m.dialQueue:
				group.Go(func() error { return m.dialLoop(ctx, peer) })
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	return group.Wait()
}

// listenLoop accepts connections of peers that dial this instance.
func (m *Mesh) listenLoop(ctx context.Context) error {
	for {
		conn, err := m.options.Listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept link: %w", err)
		}
		go m.serveAccepted(ctx, conn)
	}
}

func (m *Mesh) serveAccepted(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	if err := m.acceptLink(ctx, conn); err != nil {
		m.options.Handler.LinkFailed(conn.RemoteAddr().String(), err)
	}
}

// acceptLink serves a link over an accepted connection. The error is the reason
// why no link was established.
func (m *Mesh) acceptLink(ctx context.Context, conn net.Conn) error {
	handshakeCtx, cancel := context.WithTimeout(ctx, m.timing.timeout)
	defer cancel()
	if tlsConn, ok := conn.(*tls.Conn); ok {
		if err := tlsConn.HandshakeContext(handshakeCtx); err != nil {
			return fmt.Errorf("TLS handshake: %w", err)
		}
	}
	linkConn := newSessionConn(&countingConn{conn, &m.traffic})
	session, err := yamux.Server(linkConn, yamuxConfig(m.timing.timeout))
	if err != nil {
		return err
	}
	defer linkConn.closeSession(session)
	messageStream, err := session.AcceptStreamWithContext(handshakeCtx)
	if err != nil {
		return fmt.Errorf("accept first stream: %w", err)
	}
	return m.serve(ctx, linkConn, session, messageStream, "")
}

// dialLoop keeps a link to one peer. It does not dial while a link from the peer
// exists.
func (m *Mesh) dialLoop(ctx context.Context, peer Peer) error {
	failures := 0
	pause := peer.DialDelay
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
		pause = redialInterval + peer.DialDelay
		if m.Linked(peer.Name) {
			failures = 0
			continue
		}
		err := m.dialOnce(ctx, peer)
		if err == nil {
			failures = 0
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			m.options.Handler.LinkFailed(peer.Address, fmt.Errorf("dial %s: %w", peer.Name, err))
		}
		if failures++; failures > slowRedialAfter {
			pause = slowRedialInterval
		}
	}
}

// dialOnce dials the peer and serves the link until it fails. The error is the
// reason why no link was established.
func (m *Mesh) dialOnce(ctx context.Context, peer Peer) error {
	conn, err := m.dial(ctx, peer)
	if err != nil {
		return err
	}
	defer conn.Close()
	linkConn := newSessionConn(&countingConn{conn, &m.traffic})
	session, err := yamux.Client(linkConn, yamuxConfig(m.timing.timeout))
	if err != nil {
		return err
	}
	defer linkConn.closeSession(session)
	messageStream, err := session.OpenStream()
	if err != nil {
		return err
	}
	return m.serve(ctx, linkConn, session, messageStream, peer.Name)
}

func (m *Mesh) dial(ctx context.Context, peer Peer) (net.Conn, error) {
	timeout := m.options.DialTimeout
	if timeout == 0 {
		timeout = m.timing.timeout
	}
	dialer := &net.Dialer{Timeout: timeout}
	if m.options.ClientTLS == nil {
		return dialer.DialContext(ctx, "tcp", peer.Address)
	}
	tlsDialer := &tls.Dialer{NetDialer: dialer, Config: m.options.ClientTLS}
	return tlsDialer.DialContext(ctx, "tcp", peer.Address)
}

// serve registers the link and runs it until it fails. An empty wantName
// accepts any configured peer. The error is the reason why no link was established.
func (m *Mesh) serve(ctx context.Context, conn *sessionConn, session *yamux.Session, messageStream net.Conn, wantName string) error {
	l, err := newLink(conn, session, messageStream, m.options.Self, m.timing)
	if err != nil {
		return err
	}
	peerName := l.hello.GetInstance()
	if err := m.checkPeerName(peerName, wantName); err != nil {
		return fmt.Errorf("instance %q: %w", peerName, err)
	}
	m.bringUp(peerName, l)
	err = l.run(ctx, m.options.Handler)
	m.takeDown(peerName, l, err)
	return nil
}

func (m *Mesh) checkPeerName(got, want string) error {
	if want != "" && got != want {
		return fmt.Errorf("expected instance %q, got %q", want, got)
	}
	if want != "" || m.options.AcceptUnknown {
		return nil
	}
	for _, peer := range m.options.Peers {
		if peer.Name == got {
			return nil
		}
	}
	return errors.New("instance is not a configured peer")
}

var errReplaced = errors.New("the peer has dialled again")

// bringUp makes l the link to the peer. An older link is reported as down first, even
// if its failure has not been detected here: the peer dials again only after it has
// abandoned the older link, with what was under way on it.
func (m *Mesh) bringUp(peerName string, l *link) {
	m.changes.Lock()
	defer m.changes.Unlock()
	m.mu.Lock()
	old := m.links[peerName]
	m.links[peerName] = l
	m.mu.Unlock()
	if old != nil {
		old.stopDelivery()
		go old.close() // waits for the goroutines of the session
		m.options.Handler.LinkDown(peerName, errReplaced)
	}
	m.options.Handler.LinkUp(l.hello)
}

// takeDown removes l unless another link has replaced it.
func (m *Mesh) takeDown(peerName string, l *link, cause error) {
	m.changes.Lock()
	defer m.changes.Unlock()
	m.mu.Lock()
	current := m.links[peerName] == l
	if current {
		delete(m.links, peerName)
	}
	m.mu.Unlock()
	if current {
		l.stopDelivery()
		m.options.Handler.LinkDown(peerName, cause)
	}
}

func (m *Mesh) link(peerName string) *link {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.links[peerName]
}

// Send queues a one-way message. The message may still be lost with the link.
func (m *Mesh) Send(peerName string, message *Envelope) error {
	l := m.link(peerName)
	if l == nil {
		return &structs.StepError{Step: "send", Peer: peerName, Err: ErrNoLink}
	}
	if err := l.sendQueue.Push(message); err != nil {
		return &structs.StepError{Step: "send", Peer: peerName, Err: err}
	}
	return nil
}

// Call sends a request and waits for its reply. An error that wraps ErrNoLink
// means that nothing was sent.
func (m *Mesh) Call(ctx context.Context, peerName string, request *Envelope) (*Envelope, error) {
	l := m.link(peerName)
	if l == nil {
		return nil, &structs.StepError{Step: "call", Peer: peerName, Err: ErrNoLink}
	}
	reply, err := l.call(ctx, request)
	if err != nil {
		return nil, &structs.StepError{Step: "call", Peer: peerName, Err: err}
	}
	return reply, nil
}

// CloseLinks closes all links and drops received messages that have not reached the
// handler. It is for use after a pause of the process: peers may have assumed that
// it failed, so that their earlier messages are invalid.
func (m *Mesh) CloseLinks() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.links {
		l.closing.Store(true)
		go l.close() // waits for the goroutines of the session
	}
}

// Linked reports whether there is a link to the peer.
func (m *Mesh) Linked(peerName string) bool { return m.link(peerName) != nil }
