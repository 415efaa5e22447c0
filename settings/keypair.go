package settings

// KeyPair holds the paths of a certificate, its private key, and the
// certificate authority that verifies the peer's certificate.
type KeyPair struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether the traffic is encrypted.
func (k KeyPair) Enabled() bool { return k.Certificate != "" }
