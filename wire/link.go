package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"hawthornshore.example/ring"
)

const (
	// maxFrameBytes bounds one message; a job body may be 1 MiB and an answer several.
	maxFrameBytes = 16 << 20
	// sendQueueSize is the number of one-way messages that may wait on a link.
	sendQueueSize = 4096
	// acceptBacklog is the number of the peer's calls that may wait to be accepted.
	acceptBacklog = 4096
)

// link is one established session with a peer.
type link struct {
	hello         *Hello // sent by the peer
	conn          *sessionConn
	session       *yamux.Session
	messageStream net.Conn // first stream, for one-way messages
	sendQueue     *ring.Ring[*Envelope]
	sequence      uint64
	timing        timing
	closing       atomic.Bool // received messages are dropped
	delivery      sync.Mutex  // held while the handler processes a message
}

func yamuxConfig(timeout time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // the application heartbeats cover liveness
	config.AcceptBacklog = acceptBacklog
	config.ConnectionWriteTimeout = timeout
	config.StreamOpenTimeout = timeout
	config.LogOutput = io.Discard
	return config
}

// newLink exchanges hello messages over a new session.
func newLink(conn *sessionConn, session *yamux.Session, messageStream net.Conn, self *Hello, timing timing) (*link, error) {
	l := &link{
		conn:          conn,
		session:       session,
		messageStream: messageStream,
		sendQueue:     ring.New[*Envelope](sendQueueSize),
		timing:        timing,
	}
	if err := messageStream.SetDeadline(time.Now().Add(l.timing.timeout)); err != nil {
		return nil, err
	}
	sent := &Envelope{Body: &Envelope_Hello{Hello: self}}
	if _, err := protodelim.MarshalTo(messageStream, sent); err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	received := &Envelope{}
	if err := readFrame(&byteReader{messageStream}, received); err != nil {
		return nil, fmt.Errorf("receive hello: %w", err)
	}
	if l.hello = received.GetHello(); l.hello == nil {
		return nil, errors.New("first message is not a hello")
	}
	return l, messageStream.SetDeadline(time.Time{})
}

// byteReader reads single bytes without buffering, so that no byte after the
// hello is consumed from the stream.
type byteReader struct{ io.Reader }

func (r *byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

func readFrame(r protodelim.Reader, message *Envelope) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(r, message)
}

// run serves the link until it fails or ctx ends, and returns the cause.
func (l *link) run(ctx context.Context, handler Handler) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.writeLoop(ctx) })
	group.Go(func() error { return l.readLoop(handler) })
	group.Go(func() error { return l.acceptLoop(ctx, handler) })
	group.Go(func() error { return l.heartbeatLoop(ctx, handler) })
	group.Go(func() error {
		<-ctx.Done()
		l.sendQueue.Close()
		return l.close()
	})
	return group.Wait()
}

func (l *link) close() error { return l.conn.closeSession(l.session) }

// writeLoop sends the one-way messages.
func (l *link) writeLoop(ctx context.Context) error {
	writer := bufio.NewWriter(chunkWriter{l.messageStream, l.timing.timeout})
	var batch []*Envelope
	for {
		select {
		case <-l.sendQueue.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
		batch = l.sendQueue.PopAll(batch[:0])
		if err := l.writeBatch(writer, batch); err != nil {
			return fmt.Errorf("write, %d messages waiting: %w", l.sendQueue.Len(), err)
		}
	}
}

func (l *link) writeBatch(writer *bufio.Writer, batch []*Envelope) error {
	for _, message := range batch {
		if _, err := protodelim.MarshalTo(writer, message); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// readLoop passes the one-way messages of the peer to the handler.
func (l *link) readLoop(handler Handler) error {
	reader := bufio.NewReader(l.messageStream)
	for {
		message := &Envelope{}
		if err := readFrame(reader, message); err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if !l.deliver(handler, message) {
			return errors.New("link closed by this instance")
		}
	}
}

// deliver passes a message to the handler unless the link is closing.
func (l *link) deliver(handler Handler, message *Envelope) bool {
	l.delivery.Lock()
	defer l.delivery.Unlock()
	if l.closing.Load() {
		return false
	}
	handler.HandleMessage(l.hello, message)
	return true
}

// stopDelivery returns once the handler gets no more messages of the link.
func (l *link) stopDelivery() {
	l.closing.Store(true)
	l.delivery.Lock()
	defer l.delivery.Unlock()
}

// acceptLoop serves the calls of the peer, each in a goroutine of its own.
func (l *link) acceptLoop(ctx context.Context, handler Handler) error {
	for {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go l.serveCall(ctx, stream, handler)
	}
}

func (l *link) serveCall(ctx context.Context, stream net.Conn, handler Handler) {
	defer stream.Close()
	request := &Envelope{}
	if err := readFrame(bufio.NewReader(stream), request); err != nil {
		return
	}
	reply, err := handler.HandleCall(ctx, l.hello.GetInstance(), request)
	if err != nil {
		reply = &Envelope{Body: &Envelope_CallError{CallError: &CallError{Message: err.Error()}}}
	}
	_, _ = protodelim.MarshalTo(chunkWriter{stream, l.timing.timeout}, reply) // on failure the caller gets a closed stream
}

// heartbeatLoop sends heartbeats and fails once nothing was received within the timeout.
// Any byte counts: the peer's heartbeats may wait behind other messages on a slow link.
func (l *link) heartbeatLoop(ctx context.Context, handler Handler) error {
	ticker := time.NewTicker(l.timing.heartbeat)
	defer ticker.Stop()
	for {
		l.sequence++
		heartbeat := handler.Heartbeat()
		heartbeat.Sequence = l.sequence
		message := &Envelope{Body: &Envelope_Heartbeat{Heartbeat: heartbeat}}
		if err := l.sendQueue.Push(message); err != nil {
			return fmt.Errorf("queue heartbeat: %w", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if silence := l.conn.sinceRead(); silence > l.timing.timeout {
			return fmt.Errorf("nothing received for %s", silence.Round(time.Millisecond))
		}
	}
}

// call opens a stream for one request and one reply.
func (l *link) call(ctx context.Context, request *Envelope) (*Envelope, error) {
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream: %w", ErrNoLink, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if _, err := protodelim.MarshalTo(chunkWriter{stream: stream}, request); err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	reply := &Envelope{}
	if err := readFrame(bufio.NewReader(stream), reply); err != nil {
		return nil, fmt.Errorf("receive reply: %w", err)
	}
	if failure := reply.GetCallError(); failure != nil {
		return nil, &RemoteError{Message: failure.GetMessage()}
	}
	return reply, nil
}

// RemoteError is an error that the peer returned for a call.
type RemoteError struct{ Message string }

func (e *RemoteError) Error() string { return e.Message }
