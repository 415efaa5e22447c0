package membership

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// Ping requests an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, or relays the Ack of Subject.
	Ack
	// PingRequest requests that the receiver ping Subject.
	PingRequest
	// SyncRequest requests the list of all members; Sync carries it.
	SyncRequest
	Sync
)

// Message is sent between instances. It has no maps and no pointers, so that any
// serializer can encode it.
type Message struct {
	Kind        Kind     `json:"kind"`
	From        string   `json:"from"`
	Incarnation uint64   `json:"incarnation"` // of From
	Sequence    uint64   `json:"sequence,omitempty"`
	Subject     string   `json:"subject,omitempty"`
	Requester   string   `json:"for,omitempty"` // instance that requested an indirect probe
	ClockUnixMS int64    `json:"clock_unix_ms"`
	Updates     []Update `json:"updates,omitempty"`
}

// Update is the sender's state of one member.
type Update struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status"`
}

// Status is the state of a member. Among equal incarnations the higher one wins.
type Status uint8

// States of a member.
const (
	Alive Status = iota + 1
	Suspect
	Dead
	Left // left gracefully
)

// newerThan reports whether an update replaces another one of the same member.
func (u Update) newerThan(other Update) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation > other.Incarnation
	}
	return u.Status > other.Status
}

func (u Update) live() bool { return u.Status == Alive || u.Status == Suspect }
