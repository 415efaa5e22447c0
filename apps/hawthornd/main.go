// Command hawthornd is an entry instance of hawthornshore.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"hawthornshore.example/ingress"
	"hawthornshore.example/logging"
	"hawthornshore.example/server"
	"hawthornshore.example/settings"
)

// arguments is the command line.
type arguments struct {
	Settings string `required:"" type:"existingdir" help:"Folder with the INI files of this instance's settings."`
	Config   string `required:"" type:"existingdir" help:"Folder with the INI files of the initial system configuration."`
	Check    bool   `help:"Check both folders, report every error and exit."`
	// SetAsideDamagedLog may only be given if the other voters have the log.
	SetAsideDamagedLog bool `help:"If the log in the data folder is damaged, move it to a subfolder and fetch it from the other voters instead of refusing to start."`
}

func main() {
	var args arguments
	kong.Parse(&args,
		kong.Name("hawthornd"),
		kong.Description("Entry instance of hawthornshore: accepts jobs from callers and starts their tasks on targets."))
	if err := run(&args); err != nil {
		fmt.Fprintln(os.Stderr, "hawthornd:", err)
		os.Exit(1)
	}
}

func run(args *arguments) error {
	daemon, daemonErr := settings.LoadDaemon(args.Settings)
	system, _, systemErr := settings.LoadSystem(args.Config)
	if daemonErr != nil || systemErr != nil {
		for _, err := range []error{daemonErr, systemErr} {
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
		return errors.New("the settings are not valid")
	}
	if args.Check {
		fmt.Println("settings and configuration are valid")
		return nil
	}
	options, err := serverOptions(&daemon)
	if err != nil {
		return err
	}
	options.Config = system
	options.SetAsideDamaged = args.SetAsideDamagedLog
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return errors.Trace(server.New(options).Run(ctx))
}

// serverOptions opens the listeners and converts the settings.
func serverOptions(daemon *settings.Daemon) (server.Options, error) {
	level, err := zerolog.ParseLevel(daemon.Instance.LogLevel)
	if err != nil {
		return server.Options{}, errors.Annotate(err, "log level")
	}
	httpListener, err := ingress.Listen(context.Background(), daemon.Instance.ListenHTTP, 0)
	if err != nil {
		return server.Options{}, errors.Annotate(err, "listen for HTTP")
	}
	linkListener, err := net.Listen("tcp", daemon.Instance.ListenLink)
	if err != nil {
		return server.Options{}, errors.Annotate(err, "listen for links")
	}
	logger := logging.NewLogger(os.Stderr, level)
	clients := newClients(&daemon.Limits, logger)
	encrypted := daemon.TLS.Operator.Certificate != ""
	httpListener = clients.Listener("http", daemon.Limits.MaxConnections, httpListener, encrypted)
	httpListener, err = wrapHTTPTLS(httpListener, &daemon.TLS.Operator)
	if err != nil {
		return server.Options{}, err
	}
	linkListener, clientTLS, err := wrapLinkTLS(linkListener, &daemon.TLS.Link)
	if err != nil {
		return server.Options{}, err
	}
	return server.Options{
		Name:         daemon.Instance.Name,
		DataCentre:   daemon.Instance.DataCentre,
		Incarnation:  uint64(time.Now().UnixMilli()),
		HTTPListener: httpListener,
		LinkListener: linkListener,
		Peers:        peers(daemon),
		DataFolder:   daemon.Instance.DataFolder,
		ClientTLS:    clientTLS,
		Logger:       logger,
		Clients:      clients,
		DrainDelay:   daemon.Limits.DrainDelay,
		DrainTimeout: daemon.Limits.DrainTimeout,

		HeaderTimeout:  daemon.Limits.HeaderTimeout,
		MaxHeaderBytes: int(daemon.Limits.MaxHeaderBytes),

		RequireOperatorCertificate: daemon.TLS.Operator.Authority != "",
	}, nil
}

// smallRequestShare is the part of the memory for requests that is reserved for small
// ones.
const smallRequestShare = 0.25

func newClients(limits *settings.Limits, logger zerolog.Logger) *ingress.Pool {
	return ingress.NewPool(ingress.Options{
		Budget: ingress.Budget{Bytes: limits.RequestMemory, Reserve: int64(smallRequestShare * float64(limits.RequestMemory))},
		Limits: func() ingress.Limits {
			return ingress.Limits{
				HeadBytes: int(limits.MaxHeaderBytes), HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
			}
		},
		Logger: logger,
	})
}

// wrapLinkTLS adds TLS to the links between instances if it is configured.
func wrapLinkTLS(listener net.Listener, files *settings.KeyPair) (net.Listener, *tls.Config, error) {
	if files.Certificate == "" {
		return listener, nil, nil
	}
	certificates, err := server.LoadCertificates(files.Certificate, files.Key, files.Authority)
	if err != nil {
		return nil, nil, errors.Annotate(err, "links")
	}
	return tls.NewListener(listener, certificates.ServerTLS()), certificates.ClientTLS(), nil
}

// wrapHTTPTLS adds TLS to the HTTP address if it is configured. Clients need
// no certificate; one that is sent, as by operators, is verified.
func wrapHTTPTLS(listener net.Listener, files *settings.KeyPair) (net.Listener, error) {
	if files.Certificate == "" {
		return listener, nil
	}
	certificates, err := server.LoadCertificates(files.Certificate, files.Key, files.Authority)
	if err != nil {
		return nil, errors.Annotate(err, "HTTP address")
	}
	return tls.NewListener(listener, certificates.HTTPSConfig()), nil
}

func peers(daemon *settings.Daemon) []server.Peer {
	var peers []server.Peer
	for _, peer := range daemon.OtherPeers() {
		peers = append(peers, server.Peer{
			Name:       peer.Name,
			Address:    peer.Link,
			DataCentre: peer.DataCentre,
			Voter:      peer.Voter,
		})
	}
	return peers
}
