package server

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"

	"hawthornshore.example/ingress"
	"hawthornshore.example/structs"
)

// Peer is another entry instance.
type Peer struct {
	Name       string
	Address    string // host:port of its link listener
	DataCentre string
	Voter      bool
}

// Options configures a Server. The listeners are closed by Run.
type Options struct {
	Name         string
	DataCentre   string
	Incarnation  uint64 // higher at each start of the process, such as the start time in milliseconds
	HTTPListener net.Listener
	LinkListener net.Listener
	Peers        []Peer
	// DataFolder makes the instance a voter for the system state. If no instance
	// is a voter, Config is static, and the owners of job IDs are determined by
	// the peers' names.
	DataFolder string
	// SetAsideDamaged moves a damaged log in the data folder aside; the instance
	// then gets the log from the other voters.
	SetAsideDamaged bool
	// Config is the configuration that is applied if none ever was.
	Config    structs.SystemConfig
	ClientTLS *tls.Config
	Logger    zerolog.Logger
	// DrainDelay is how long a draining instance reports that it is not ready
	// before it closes its listener, so that the load balancer removes it first.
	DrainDelay time.Duration
	// DrainTimeout bounds the wait for requests in flight at a graceful shutdown.
	DrainTimeout time.Duration
	// HeaderTimeout bounds the time a client may take to send its headers.
	HeaderTimeout time.Duration
	// MaxHeaderBytes bounds the headers of a request; 0 is the default of net/http.
	MaxHeaderBytes int
	// Clients bounds what clients of HTTPListener hold, which is a listener of it or
	// has one below its encryption. It may be nil.
	Clients *ingress.Pool
	// RequireOperatorCertificate rejects operator changes by clients without a
	// certificate of the listener's authority.
	RequireOperatorCertificate bool
	// Policy selects the routing policy of the dispatch core; empty means the
	// default.
	Policy string
}

// voters returns the names of the voters, those of the local data centre first.
func (o *Options) voters() []string {
	var local, remote []string
	if o.DataFolder != "" {
		local = append(local, o.Name)
	}
	for _, peer := range o.Peers {
		switch {
		case !peer.Voter:
		case peer.DataCentre == o.DataCentre:
			local = append(local, peer.Name)
		default:
			remote = append(remote, peer.Name)
		}
	}
	return append(local, remote...)
}
