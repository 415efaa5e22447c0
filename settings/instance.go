package settings

// Instance is the section [instance].
type Instance struct {
	Name       string
	DataCentre string
	ListenHTTP string // IP:port for callers, targets and operators
	ListenLink string // IP:port for other instances
	DataFolder string // empty if the instance is not a voter
	LogLevel   string // debug, info, warn or error
}

// Voter reports whether the instance is a voter of the replicated log.
func (i Instance) Voter() bool { return i.DataFolder != "" }

func (m *mergedSettings) instance() Instance {
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
