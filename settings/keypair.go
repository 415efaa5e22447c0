package settings

// KeyPair is a certificate with its key, and the authority that the other
// side's certificate is checked against.
type KeyPair struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled tells whether the traffic is encrypted.
func (k KeyPair) Enabled() bool { return k.Certificate != "" }
