package membership

// Event is an input of the core.
type Event interface{ isEvent() }

// PeerFound reports an instance from the settings or from the Hello of a link.
// Incarnation is 0 if it is not known.
type PeerFound struct {
	Peer        string
	Incarnation uint64
}

// HeartbeatReceived reports a heartbeat on a link. Its clock is not used: its
// latency is not known, and after a pause of this process all queued heartbeats
// would show a wrong offset.
type HeartbeatReceived struct{ Peer string }

// LinkLost reports that a link was closed because it was silent or broken.
type LinkLost struct{ Peer string }

// MessageReceived carries a message from another instance.
type MessageReceived struct{ Message Message }

// Leave announces a graceful stop to the others.
type Leave struct{}

// Tick runs the checks that are due; see NextWake.
type Tick struct{}

func (PeerFound) isEvent()         {}
func (HeartbeatReceived) isEvent() {}
func (LinkLost) isEvent()          {}
func (MessageReceived) isEvent()   {}
func (Leave) isEvent()             {}
func (Tick) isEvent()              {}
