package settings

import "time"

// Daemon is the settings of one hawthornd process.
type Daemon struct {
	Instance Instance
	Peers    map[string]Peer // by name; may contain the instance itself
	TLS      TLS
	Limits   Limits
	Origins  Origins
}

// Instance is what an instance knows of itself.
type Instance struct {
	Name       string
	DataCentre string
	ListenHTTP string // IP:port for callers, targets and operators
	ListenLink string // IP:port for other instances
	DataFolder string // empty if the instance is not a voter
	LogLevel   string // debug, info, warn or error
}

// Voter tells whether the instance votes on the system's state.
func (i Instance) Voter() bool { return i.DataFolder != "" }

// Limits bounds the daemon's use of resources.
type Limits struct {
	DrainTimeout   time.Duration
	MaxConnections int
	HeaderTimeout  time.Duration
	MaxHeaderBytes int64
}

// LoadDaemon reads the settings of a daemon from a folder. The error of a
// refused folder is of type Problems.
func LoadDaemon(dir string) (Daemon, error) {
	m := loadFolder(&daemonDocument, dir)
	daemon := Daemon{
		Instance: m.instance(),
		Peers:    m.peers(),
		TLS:      m.tls(),
		Limits:   m.limits(),
		Origins:  m.origins,
	}
	if len(m.origins) > 0 {
		m.checkPeers(daemon)
		m.checkTLS()
	}
	if err := m.problems.asError(); err != nil {
		return Daemon{}, err
	}
	return daemon, nil
}

func (m *merged) instance() Instance {
	s := m.section("instance")
	return Instance{
		Name:       s.text("name"),
		DataCentre: s.text("data_centre"),
		ListenHTTP: s.text("listen_http"),
		ListenLink: s.text("listen_link"),
		DataFolder: s.path("data_folder"),
		LogLevel:   s.text("log_level"),
	}
}

func (m *merged) limits() Limits {
	s := m.section("limits")
	return Limits{
		DrainTimeout:   s.duration("drain_timeout"),
		MaxConnections: s.integer("max_connections"),
		HeaderTimeout:  s.duration("header_timeout"),
		MaxHeaderBytes: s.size("max_header_size"),
	}
}
