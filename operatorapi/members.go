package operatorapi

// MemberState is the state of a member as seen by the answering instance.
type MemberState string

// States of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberDead    MemberState = "dead"
	MemberLeft    MemberState = "left"
)

// MemberRole is a member's role in the consensus group.
type MemberRole string

// Roles of a member.
const (
	RoleNone    MemberRole = "none"
	RoleLearner MemberRole = "learner"
	RoleVoter   MemberRole = "voter"
	RoleLeader  MemberRole = "leader"
)

// Members answers GET /v1/members: the view of the answering instance.
type Members struct {
	Instance string   `json:"instance"`
	Members  []Member `json:"members"` // ordered by data centre and name
}

// Member is one entry instance.
type Member struct {
	Instance    string      `json:"instance"`
	DataCentre  string      `json:"data_centre"`
	Incarnation string      `json:"incarnation"` // changes with each start of the process
	Link        string      `json:"link"`        // IP:port
	State       MemberState `json:"state"`
	Role        MemberRole  `json:"role"`
	// Agreed is set if the member is in the member list committed by the voters.
	Agreed         bool   `json:"agreed"`
	Draining       bool   `json:"draining"`
	ConfigVersion  uint64 `json:"config_version"`
	FreeSlots      int    `json:"free_slots"`
	HeartbeatAgeMS int64  `json:"heard_ms"` // time since the last heartbeat, in milliseconds
}
