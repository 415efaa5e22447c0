package settings

// Daemon is the settings of one hawthornd process.
type Daemon struct {
	Instance Instance
	Peers    map[string]Peer // by name; may contain the instance itself
	TLS      TLS
	Limits   Limits
	Origins  Origins
}

// LoadDaemon reads the settings of a daemon from a folder. The error for an
// invalid folder is of type Problems.
func LoadDaemon(dir string) (Daemon, error) {
	m := loadFolder(&daemonSchema, dir)
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
