package wire

import (
	"errors"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lateConn is a connection whose Read fails some time after its Close, as one whose
// goroutine has to wait for its turn.
type lateConn struct {
	net.Conn
	readFails chan struct{}
}

func (c *lateConn) Read([]byte) (int, error) {
	<-c.readFails
	return 0, errors.New("read failed")
}

func (c *lateConn) Write([]byte) (int, error) { return 0, errors.New("write failed") }

func (c *lateConn) Close() error { return nil }

var _ = Describe("the connection of a session", func() {
	var (
		conn    *lateConn
		session *yamux.Session
		wrapped *sessionConn
	)

	BeforeEach(func() {
		conn = &lateConn{readFails: make(chan struct{})}
		wrapped = newSessionConn(conn)
		var err error
		session, err = yamux.Client(wrapped, yamuxConfig(time.Minute))
		Expect(err).NotTo(HaveOccurred())
	})

	expectShutdownAfterRead := func() {
		GinkgoHelper()
		Consistently(session.IsClosed, 100*time.Millisecond).Should(BeFalse())
		close(conn.readFails)
		Eventually(session.IsClosed, "10s").Should(BeTrue())
	}

	// Guards against readers of streams that use up the processor while a session that
	// is closed waits for its receive loop.
	It("ends the receive loop before the session is closed", func() {
		go func(wrapped *sessionConn, session *yamux.Session) { _ = wrapped.closeSession(session) }(wrapped, session)
		expectShutdownAfterRead()
	})

	// Guards against the same after a write to the connection has failed.
	It("ends the receive loop before a failed write shuts the session down", func() {
		go func(session *yamux.Session) { _, _ = session.OpenStream() }(session)
		expectShutdownAfterRead()
	})
})
