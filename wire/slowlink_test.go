package wire_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/wire"
)

// slowListener accepts connections that write at a fixed rate.
type slowListener struct {
	net.Listener
	bytesPerSecond int
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn, l.bytesPerSecond}, err
}

type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c slowConn) Write(p []byte) (int, error) {
	const unit = 1500
	written := 0
	for written < len(p) {
		end := min(written+unit, len(p))
		time.Sleep(time.Duration(end-written) * time.Second / time.Duration(c.bytesPerSecond))
		n, err := c.Conn.Write(p[written:end])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

var _ = Describe("a message that takes longer than the timeout of its link", func() {
	var (
		slow, fast         *wire.Mesh
		slowSide, fastSide *recorder
	)
	large := &wire.Envelope{Body: &wire.Envelope_Proposal{Proposal: &wire.Proposal{Command: make([]byte, 600_000)}}}

	BeforeEach(func() {
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		start := func(name string, listener net.Listener, handler *recorder) *wire.Mesh {
			mesh := wire.NewMesh(wire.MeshOptions{
				Self: &wire.Hello{Instance: name}, Listener: listener, Handler: handler, AcceptUnknown: true,
				HeartbeatInterval: 100 * time.Millisecond, Timeout: time.Second,
			})
			go func() { _ = mesh.Run(ctx) }()
			return mesh
		}
		listener := listen()
		slowSide, fastSide = &recorder{}, &recorder{}
		slow = start("slow", slowListener{listener, 200_000}, slowSide)
		fast = start("fast", nil, fastSide)
		fast.Dial(wire.Peer{Name: "slow", Address: listener.Addr().String()})
		Eventually(func() bool { return slow.Linked("fast") && fast.Linked("slow") }, "10s").Should(BeTrue())
	})

	// Guards against a link that is taken for silent while one message is on it, and is
	// replaced by one on which the message begins anew.
	It("arrives on the same link", func() {
		Expect(slow.Send("fast", large)).To(Succeed())
		Eventually(func() int { _, received := fastSide.counts(); return received }, "30s").Should(Equal(1))
		Expect(fastSide.linkChanges()).To(HaveExactElements("up"))
	})

	// Guards against a reply that no peer can ever get because its size exceeds what the
	// link carries within the timeout.
	It("arrives as the reply to a call", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		reply, err := fast.Call(ctx, "slow", large)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetProposal().GetCommand()).To(HaveLen(600_000))
		Expect(slowSide.linkChanges()).To(HaveExactElements("up"))
	})
})
