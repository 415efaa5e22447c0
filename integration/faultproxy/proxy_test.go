package faultproxy_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/faultproxy"
)

func TestFaultProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultproxy")
}

// quietPeriod is how long a test waits for bytes that must not arrive.
const quietPeriod = 50 * time.Millisecond

var _ = Describe("Proxy", func() {
	var (
		proxy    *faultproxy.Proxy
		received chan string // lines that the server received
	)

	BeforeEach(func() {
		received = make(chan string, 100)
		server, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		go echo(server, received)
		proxy, err = faultproxy.New(server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
	})

	dial := func() *client {
		GinkgoHelper()
		c, err := net.Dial("tcp", proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return &client{Conn: c, lines: bufio.NewReader(c)}
	}
	// connect returns a connection that has passed bytes in both directions.
	connect := func() *client {
		GinkgoHelper()
		c := dial()
		c.send("hello")
		Expect(c.receive()).To(Equal("hello"))
		Expect(received).To(Receive(Equal("hello")))
		return c
	}

	// Guards against a drop that closes the connection, and against one that also affects
	// connections opened after it.
	It("drops silently on existing connections while new ones work", func() {
		old := connect()
		proxy.SetBoth(faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingOnly)
		old.send("lost")
		Consistently(received, quietPeriod).ShouldNot(Receive())
		old.expectOpenAndSilent()
		connect()
		Expect(proxy.Accepted()).To(Equal(2))
	})

	// Guards against a one-way drop that also stops the other direction, or that misses
	// connections opened after it.
	It("drops one direction only, on new connections as well if they are in scope", func() {
		proxy.Set(faultproxy.ToClient, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingAndNew)
		c := dial()
		c.send("heard")
		Eventually(received).Should(Receive(Equal("heard")))
		c.expectOpenAndSilent()
	})

	// Guards against a stream with missing bytes, which TCP never delivers, when a drop
	// ends on an open connection.
	It("never delivers bytes after a gap", func() {
		c := connect()
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingOnly)
		c.send("lost")
		c.expectOpenAndSilent()
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{}, faultproxy.ExistingOnly)
		c.send("after the gap")
		Consistently(received, quietPeriod).ShouldNot(Receive())
	})

	// Guards against an end of stream that passes a drop, so that the peer notices the
	// fault at once.
	It("keeps a silent connection open when its other end closes", func() {
		c := connect()
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingOnly)
		Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		c.expectOpenAndSilent()
	})

	// Guards against later bytes that overtake delayed ones once the delay is removed.
	It("keeps the order of delayed bytes when the delay ends", func() {
		c := connect()
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{Kind: faultproxy.Delay, Delay: quietPeriod}, faultproxy.ExistingAndNew)
		c.send("first")
		Consistently(received, quietPeriod/2).ShouldNot(Receive())
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{}, faultproxy.ExistingAndNew)
		c.send("second")
		Expect(c.receive()).To(Equal("first"))
		Expect(c.receive()).To(Equal("second"))
	})

	// Guards against a cut that waits for the next bytes, and against one that also affects
	// connections opened after it.
	It("cuts existing connections at once and does not affect new ones", func() {
		old := connect()
		proxy.SetBoth(faultproxy.Fault{Kind: faultproxy.Cut}, faultproxy.ExistingOnly)
		_, err := old.lines.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		connect()
	})

	// Guards against a cut that misses connections opened after it.
	It("cuts new connections as well if they are in scope", func() {
		proxy.SetBoth(faultproxy.Fault{Kind: faultproxy.Cut}, faultproxy.ExistingAndNew)
		_, err := dial().lines.ReadByte()
		Expect(err).To(HaveOccurred())
	})

	// Guards against a half-closed connection whose other end never sees the end of the
	// stream.
	It("forwards the end of a stream", func() {
		c := connect()
		Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := c.lines.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against a Close that waits forever for connections that drop bytes.
	It("closes with silent connections open", func() {
		c := connect()
		proxy.SetBoth(faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingAndNew)
		c.send("lost")
		Expect(proxy.Close()).To(Succeed())
	})
})

// echo returns every line to its sender until the listener closes.
func echo(server net.Listener, received chan<- string) {
	for {
		c, err := server.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			lines := bufio.NewScanner(c)
			for lines.Scan() {
				received <- lines.Text()
				_, _ = io.WriteString(c, lines.Text()+"\n")
			}
		}()
	}
}

type client struct {
	net.Conn
	lines *bufio.Reader
}

func (c *client) send(line string) {
	GinkgoHelper()
	_, err := io.WriteString(c, line+"\n")
	Expect(err).NotTo(HaveOccurred())
}

func (c *client) receive() string {
	GinkgoHelper()
	line, err := c.lines.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	return line[:len(line)-1]
}

// expectOpenAndSilent fails if bytes or the end of the stream arrive.
func (c *client) expectOpenAndSilent() {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(quietPeriod))).To(Succeed())
	_, err := c.lines.ReadByte()
	Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
}
