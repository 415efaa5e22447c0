package cli

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/apps/hawthornctl/internal/api"
)

// globalFlags are the flags common to all commands.
type globalFlags struct {
	Address     []string      `short:"a" env:"HAWTHORN_ADDRESS" default:"127.0.0.1:8080" placeholder:"ADDR" help:"HTTP address or URL of an instance; several, separated by commas, are tried in order."`
	Timeout     time.Duration `default:"10s" help:"Timeout of one call to one instance (job submissions wait until the deadline)."`
	Tries       int           `default:"3" help:"Maximum number of times that a call is sent, over all addresses, if its answer is lost (1 to 20)."`
	JSON        bool          `name:"json" help:"Write results as JSON."`
	NoHeader    bool          `help:"Omit the header line of tables."`
	Authority   string        `type:"existingfile" placeholder:"FILE" help:"Certificate authority of the instances, for https addresses."`
	Certificate string        `type:"existingfile" placeholder:"FILE" help:"Certificate of the operator, for https addresses."`
	Key         string        `type:"existingfile" placeholder:"FILE" help:"Private key of --certificate."`
}

// maxTries bounds the flag --tries.
const maxTries = 20

// Validate is called by kong after parsing.
func (g *globalFlags) Validate() error {
	if g.Tries < 1 || g.Tries > maxTries {
		return fmt.Errorf("--tries must be 1 to %d", maxTries)
	}
	if g.Timeout <= 0 {
		return fmt.Errorf("--timeout must be positive")
	}
	if (g.Certificate == "") != (g.Key == "") {
		return fmt.Errorf("--certificate and --key must be given together")
	}
	for _, address := range g.Address {
		if address == "" {
			return fmt.Errorf("--address must not be empty")
		}
	}
	return nil
}

func (g *globalFlags) client() (*api.Client, error) {
	config, err := g.tls()
	if err != nil {
		return nil, err
	}
	return api.New(api.Options{Addresses: g.Address, Timeout: g.Timeout, Tries: g.Tries, TLS: config}), nil
}

func (g *globalFlags) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if g.Authority != "" {
		pem, err := os.ReadFile(g.Authority)
		if err != nil {
			return nil, errors.Annotate(err, "read --authority")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("read --authority: %s contains no certificate", g.Authority)
		}
	}
	if g.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(g.Certificate, g.Key)
		if err != nil {
			return nil, errors.Annotate(err, "read --certificate and --key")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
