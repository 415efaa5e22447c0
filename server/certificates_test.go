package server_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/server"
)

// authority is a certificate authority for one test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{certificate: certificate, key: key, serial: 1}
}

// issue writes certificate.pem, key.pem and authority.pem to dir and loads them.
func (a *authority) issue(dir string) *server.Certificates {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
		return path
	}
	certificates, err := server.LoadCertificates(
		write("certificate.pem", "CERTIFICATE", der),
		write("key.pem", "PRIVATE KEY", keyDER),
		write("authority.pem", "CERTIFICATE", a.certificate.Raw))
	Expect(err).NotTo(HaveOccurred())
	return certificates
}

// handshake runs a TLS handshake and returns the errors of both sides.
func handshake(serverConfig, clientConfig *tls.Config) (serverErr, clientErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		done <- tls.Server(conn, serverConfig).Handshake()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	clientErr = tls.Client(conn, clientConfig).Handshake()
	if clientErr != nil {
		conn.Close()
	}
	return <-done, clientErr
}

var _ = Describe("Certificates", func() {
	// Guards against valid certificates that do not verify on both sides.
	It("connects instances of one authority", func() {
		a := newAuthority()
		one, two := a.issue(GinkgoT().TempDir()), a.issue(GinkgoT().TempDir())
		serverErr, clientErr := handshake(one.ServerTLS(), two.ClientTLS())
		Expect(serverErr).NotTo(HaveOccurred())
		Expect(clientErr).NotTo(HaveOccurred())
	})

	// Guards against links with an unauthorized process.
	It("rejects a link from a client of another authority and from one without a certificate", func() {
		own, other := newAuthority().issue(GinkgoT().TempDir()), newAuthority().issue(GinkgoT().TempDir())
		foreignClient := other.ClientTLS()
		foreignClient.VerifyConnection = nil
		serverErr, _ := handshake(own.ServerTLS(), foreignClient)
		Expect(serverErr).To(MatchError(ContainSubstring("unknown authority")))
		serverErr, _ = handshake(own.ServerTLS(), &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
		Expect(serverErr).To(HaveOccurred())
	})

	// Guards against an HTTPS listener that requires a client certificate, and against one
	// that accepts an operator certificate of another authority.
	It("accepts HTTPS clients without a certificate and rejects one of another authority", func() {
		own, other := newAuthority().issue(GinkgoT().TempDir()), newAuthority().issue(GinkgoT().TempDir())
		noCertificate := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
		serverErr, clientErr := handshake(own.HTTPSConfig(), noCertificate)
		Expect(serverErr).NotTo(HaveOccurred())
		Expect(clientErr).NotTo(HaveOccurred())
		foreignClient := other.ClientTLS()
		foreignClient.VerifyConnection = nil
		serverErr, _ = handshake(own.HTTPSConfig(), foreignClient)
		Expect(serverErr).To(HaveOccurred())
	})

	// Guards against an instance that does not verify server certificates.
	It("rejects a server of another authority", func() {
		own, other := newAuthority().issue(GinkgoT().TempDir()), newAuthority().issue(GinkgoT().TempDir())
		_, clientErr := handshake(other.ServerTLS(), own.ClientTLS())
		Expect(clientErr).To(MatchError(ContainSubstring("unknown authority")))
	})

	// Guards against a renewed certificate that takes effect only after a restart,
	// and against a partly written file that makes handshakes fail.
	It("reloads changed files and keeps the loaded ones if they are invalid", func() {
		first, second := newAuthority(), newAuthority()
		dir := GinkgoT().TempDir()
		certificates := first.issue(dir)
		second.issue(dir)
		later := time.Now().Add(time.Minute)
		Expect(os.Chtimes(filepath.Join(dir, "key.pem"), later, later)).To(Succeed())
		client := second.issue(GinkgoT().TempDir())
		serverErr, _ := handshake(certificates.ServerTLS(), client.ClientTLS())
		Expect(serverErr).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600)).To(Succeed())
		later = later.Add(time.Minute)
		Expect(os.Chtimes(filepath.Join(dir, "key.pem"), later, later)).To(Succeed())
		serverErr, _ = handshake(certificates.ServerTLS(), client.ClientTLS())
		Expect(serverErr).NotTo(HaveOccurred())
	})
})
