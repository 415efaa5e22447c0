package settings

// TLS holds paths of files in PEM format; an empty path means not set.
type TLS struct {
	Link     KeyPair
	Operator KeyPair
}

func (m *mergedSettings) tls() TLS {
	s := m.section("tls")
	return TLS{
		Link:     KeyPair{Certificate: s.path("link_certificate"), Key: s.path("link_key"), Authority: s.path("link_authority")},
		Operator: KeyPair{Certificate: s.path("operator_certificate"), Key: s.path("operator_key"), Authority: s.path("operator_authority")},
	}
}

// checkTLS reports certificates, keys and authorities that are not set
// together. Links always check the peer, so they need the authority.
func (m *mergedSettings) checkTLS() {
	m.checkTogether("link_certificate", "link_key", "link_authority")
	m.checkTogether("operator_certificate", "operator_key")
	s := m.section("tls")
	if s.text("operator_authority") != "" && s.text("operator_certificate") == "" {
		s.report("operator_authority", "the key has no effect without operator_certificate", "set operator_certificate and operator_key as well")
	}
}

func (m *mergedSettings) checkTogether(keys ...string) {
	s := m.section("tls")
	some := ""
	for _, key := range keys {
		if s.text(key) != "" {
			some = key
		}
	}
	if some == "" {
		return
	}
	for _, key := range keys {
		if s.text(key) == "" && !m.reported(QualifiedKey{Section: "tls", Key: key}) {
			s.report(key, "the key must be set because "+some+" is set", "path of a file")
		}
	}
}
