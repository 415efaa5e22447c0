package settings_test

import (
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/settings"
)

const smallInstance = "[instance]\nname = a1\ndata_centre = west\n"

var _ = Describe("LoadDaemon", func() {
	// Guards against defaults that are documented and not applied.
	It("fills in the defaults", func() {
		d, err := settings.LoadDaemon(folder(map[string]string{"a.ini": smallInstance}))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Instance).To(Equal(settings.Instance{
			Name: "a1", DataCentre: "west", ListenHTTP: "127.0.0.1:8080", ListenLink: "127.0.0.1:8081", LogLevel: "info",
		}))
		Expect(d.Instance.Voter()).To(BeFalse())
		Expect(d.Limits).To(Equal(settings.Limits{
			DrainDelay: 3 * time.Second, DrainTimeout: 30 * time.Second, MaxConnections: 8192, HeaderTimeout: 5 * time.Second, MaxHeaderBytes: 64_000,
			IdleTimeout: 2 * time.Minute, RequestMemory: 64_000_000,
		}))
	})

	// Guards against values that are read in another unit than the written one.
	It("reads units, quotes, comments and relative paths", func() {
		dir := folder(map[string]string{"a.ini": smallInstance + "data_folder = \"state\" # synced\n" +
			"[limits]\ndrain_timeout = 1m30s ; long\nmax_header_size = 8KiB\n" +
			"[tls]\nlink_certificate = a.pem\nlink_key = /k.pem\nlink_authority = ca.pem\n"})
		d, err := settings.LoadDaemon(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Instance.DataFolder).To(Equal(filepath.Join(dir, "state")))
		Expect(d.Instance.Voter()).To(BeTrue())
		Expect(d.Limits.DrainTimeout).To(Equal(90 * time.Second))
		Expect(d.Limits.MaxHeaderBytes).To(BeEquivalentTo(8192))
		Expect(d.TLS.Link).To(Equal(settings.KeyPair{Certificate: filepath.Join(dir, "a.pem"), Key: "/k.pem", Authority: filepath.Join(dir, "ca.pem")}))
		Expect(d.TLS.Operator.Enabled()).To(BeFalse())
	})

	// Guards against an instance that links to itself when all instances share
	// one file of peers.
	It("leaves the instance itself out of the other peers", func() {
		d, err := settings.LoadDaemon(folder(map[string]string{"a.ini": smallInstance, "peers.ini": "" +
			"[peer.a1]\nlink = 127.0.0.1:1\ndata_centre = west\n" +
			"[peer.b1]\nlink = 127.0.0.1:2\ndata_centre = east\nvoter = true\n"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.OtherPeers()).To(Equal([]settings.Peer{{Name: "b1", Link: "127.0.0.1:2", DataCentre: "east", Voter: true}}))
	})

	// Guards against a daemon that starts with settings that are incomplete, out of
	// range or contradictory.
	DescribeTable("rejects bad settings", func(text, message string) {
		_, err := settings.LoadDaemon(folder(map[string]string{"a.ini": text}))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("no name", "[instance]\ndata_centre = d\n", "a.ini:1: [instance] name: the key is required"),
		Entry("no section", "[limits]\n", "[instance] name: the key is required"),
		Entry("empty name", smallInstance+"log_level =\n", `[instance] log_level: bad value "" (allowed: debug, info, warn, error)`),
		Entry("host name", smallInstance+"listen_http = localhost:80\n", "IP:port"),
		Entry("duration without unit", smallInstance+"[limits]\ndrain_timeout = 30\n", `bad value "30" (allowed: 1s to 1h, with unit)`),
		Entry("size without unit", smallInstance+"[limits]\nmax_header_size = 8000\n", `bad value "8000" (allowed: 4kB to 1MB, with unit)`),
		Entry("negative duration", smallInstance+"[limits]\ndrain_timeout = -3s\n", "out of range"),
		Entry("peer without link", smallInstance+"[peer.b]\ndata_centre = d\n", "a.ini:4: [peer.b] link: the key is required"),
		Entry("peer on port 0", smallInstance+"[peer.b]\ndata_centre = d\nlink = 127.0.0.1:0\n", "port 1 to 65535"),
		Entry("two peers on one address", smallInstance+"[peer.b]\ndata_centre = d\nlink = 127.0.0.1:5\n[peer.c]\ndata_centre = d\nlink = 127.0.0.1:5\n", "is the address of [peer.b] too"),
		Entry("contradicting data centre", smallInstance+"[peer.a1]\ndata_centre = d\nlink = 127.0.0.1:5\n", "differs from [instance] data_centre"),
		Entry("contradicting voter", smallInstance+"[peer.a1]\ndata_centre = west\nlink = 127.0.0.1:5\nvoter = true\n", "contradicts [instance] data_folder"),
		Entry("certificate without key", smallInstance+"[tls]\noperator_certificate = c\n", "[tls] operator_key: the key must be set because operator_certificate is set"),
		Entry("authority without certificate", smallInstance+"[tls]\noperator_authority = c\n", "no effect without operator_certificate"),
	)
})
