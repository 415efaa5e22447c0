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

// silence is how long a test waits for bytes that must not arrive.
const silence = 50 * time.Millisecond

var _ = Describe("Proxy", func() {
	var (
		proxy *faultproxy.Proxy
		seen  chan string // lines that the server received
	)

	BeforeEach(func() {
		seen = make(chan string, 100)
		server, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		go echo(server, seen)
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
	// ready returns a connection that has passed bytes in both directions.
	ready := func() *client {
		GinkgoHelper()
		c := dial()
		c.send("hello")
		Expect(c.receive()).To(Equal("hello"))
		Expect(seen).To(Receive(Equal("hello")))
		return c
	}

	It("drops silently on existing connections while new ones work", func() {
		old := ready()
		proxy.SetBoth(faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingOnly)
		old.send("lost")
		Consistently(seen, silence).ShouldNot(Receive())
		old.expectOpenAndSilent()
		ready()
		Expect(proxy.Accepted()).To(Equal(2))
	})

	It("drops one direction only, on new connections as well if asked to", func() {
		proxy.Set(faultproxy.ToClient, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingAndNew)
		c := dial()
		c.send("heard")
		Eventually(seen).Should(Receive(Equal("heard")))
		c.expectOpenAndSilent()
	})

	It("never delivers bytes after a gap", func() {
		c := ready()
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingOnly)
		c.send("lost")
		c.expectOpenAndSilent()
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{}, faultproxy.ExistingOnly)
		c.send("after the gap")
		Consistently(seen, silence).ShouldNot(Receive())
	})

	It("keeps a silent connection open when its other end closes", func() {
		c := ready()
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingOnly)
		Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		c.expectOpenAndSilent()
	})

	It("keeps the order of delayed bytes when the delay ends", func() {
		c := ready()
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{Kind: faultproxy.Delay, Delay: silence}, faultproxy.ExistingAndNew)
		c.send("first")
		Consistently(seen, silence/2).ShouldNot(Receive())
		proxy.Set(faultproxy.ToServer, faultproxy.Fault{}, faultproxy.ExistingAndNew)
		c.send("second")
		Expect(c.receive()).To(Equal("first"))
		Expect(c.receive()).To(Equal("second"))
	})

	It("cuts existing connections at once and leaves new ones alone", func() {
		old := ready()
		proxy.SetBoth(faultproxy.Fault{Kind: faultproxy.Cut}, faultproxy.ExistingOnly)
		_, err := old.lines.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		ready()
	})

	It("cuts new connections as well if asked to", func() {
		proxy.SetBoth(faultproxy.Fault{Kind: faultproxy.Cut}, faultproxy.ExistingAndNew)
		_, err := dial().lines.ReadByte()
		Expect(err).To(HaveOccurred())
	})

	It("passes on the end of a stream", func() {
		c := ready()
		Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := c.lines.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("closes with silent connections open", func() {
		c := ready()
		proxy.SetBoth(faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingAndNew)
		c.send("lost")
		Expect(proxy.Close()).To(Succeed())
	})
})

// echo returns every line to its sender until the listener closes.
func echo(server net.Listener, seen chan<- string) {
	for {
		c, err := server.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			lines := bufio.NewScanner(c)
			for lines.Scan() {
				seen <- lines.Text()
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
	Expect(c.SetReadDeadline(time.Now().Add(silence))).To(Succeed())
	_, err := c.lines.ReadByte()
	Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
}
