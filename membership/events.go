package membership

// Event is an input of the core.
type Event interface{ isEvent() }

// PeerFound says that an instance exists, from the settings or from the Hello of
// a link. Incarnation is 0 if it is not known.
type PeerFound struct {
	Peer        string
	Incarnation uint64
}

// HeartbeatReceived says that a link delivered a heartbeat. Its clock is not
// used: how long it was on its way is not known, and after a pause of this process
// all heartbeats that waited would show a wrong difference.
type HeartbeatReceived struct{ Peer string }

// LinkLost says that a link was closed because it was silent or broken.
type LinkLost struct{ Peer string }

// MessageReceived brings a message of another instance.
type MessageReceived struct{ Message Message }

// Leave announces a graceful stop to the others.
type Leave struct{}

// Tick lets the core act on timers; it is due at NextWake.
type Tick struct{}

func (PeerFound) isEvent()         {}
func (HeartbeatReceived) isEvent() {}
func (LinkLost) isEvent()          {}
func (MessageReceived) isEvent()   {}
func (Leave) isEvent()             {}
func (Tick) isEvent()              {}
