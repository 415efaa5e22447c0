package server

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// errNoCertificate means that an authority file contains no certificate.
var errNoCertificate = errors.New("file contains no certificate")

// Certificates loads a certificate, its key and a certificate authority from PEM
// files. Changed files are reloaded at the next handshake, so that a renewal needs
// no restart. If reloading fails, the previously loaded files stay in use.
type Certificates struct {
	certificate string
	key         string
	authority   string

	mu      sync.Mutex
	modTime time.Time // newest modification time of the loaded files
	pair    *tls.Certificate
	pool    *x509.CertPool
}

// LoadCertificates loads the files; it fails if one of them is invalid.
// The authority may be empty for HTTPSConfig.
func LoadCertificates(certificate, key, authority string) (*Certificates, error) {
	c := &Certificates{certificate: certificate, key: key, authority: authority}
	changed, err := c.newestModTime()
	if err != nil {
		return nil, err
	}
	return c, c.load(changed)
}

// newestModTime returns the newest modification time of the files.
func (c *Certificates) newestModTime() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{c.certificate, c.key, c.authority} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return newest, fmt.Errorf("certificates: %w", err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (c *Certificates) load(changed time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", c.certificate, err)
	}
	pool := x509.NewCertPool()
	if c.authority != "" {
		pem, err := os.ReadFile(c.authority)
		if err != nil {
			return fmt.Errorf("authority: %w", err)
		}
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("authority %s: %w", c.authority, errNoCertificate)
		}
	}
	c.pair, c.pool, c.modTime = &pair, pool, changed
	return nil
}

// current returns the certificate and the authorities, reloaded if a file has
// changed.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changed, err := c.newestModTime(); err == nil && changed.After(c.modTime) {
		_ = c.load(changed) // on failure the loaded files stay in use
	}
	return c.pair, c.pool
}

// ServerTLS accepts only peers with a certificate issued by the authority.
func (c *Certificates) ServerTLS() *tls.Config {
	return c.serverConfig(tls.RequireAndVerifyClientCert)
}

// HTTPSConfig accepts clients without a certificate, and verifies one if given.
func (c *Certificates) HTTPSConfig() *tls.Config {
	return c.serverConfig(tls.VerifyClientCertIfGiven, "http/1.1")
}

func (c *Certificates) serverConfig(auth tls.ClientAuthType, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientCAs:    pool,
				ClientAuth:   auth,
				NextProtos:   protocols,
			}, nil
		},
	}
}

// ClientTLS presents the certificate and accepts any server certificate issued by
// the authority. Instances are addressed by IP address, so the host name is not
// verified; the instance name in the hello message is.
func (c *Certificates) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := c.current()
			return verifyChain(state.PeerCertificates, pool)
		},
	}
}

func verifyChain(chain []*x509.Certificate, pool *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
