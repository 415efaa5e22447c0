package structs

// TargetState is the state that a target announces.
type TargetState string

// States of a target. Only a ready target gets new work.
const (
	TargetStarting TargetState = "starting"
	TargetReady    TargetState = "ready"
	TargetLeaving  TargetState = "leaving"
)

// Announcement describes a target to the system. The target repeats it every
// TargetHeartbeatInterval.
type Announcement struct {
	TargetID    string      `json:"target_id"`
	Incarnation string      `json:"incarnation"` // new at each start of the target's process
	Address     string      `json:"address"`     // host:port of the target's HTTP server
	Worker      string      `json:"worker"`
	Rack        string      `json:"rack"`
	DataCentre  string      `json:"data_centre"`
	State       TargetState `json:"state"`
	Slots       int         `json:"slots"`
	Classes     []string    `json:"classes,omitempty"` // empty: all classes
	Cores       float64     `json:"cores,omitempty"`   // resources per slot
	MB          int64       `json:"mb,omitempty"`
	Running     int         `json:"running"` // attempts that are running
}

// TargetRef names one incarnation of a target and where to reach it.
type TargetRef struct {
	TargetID    string
	Incarnation string
	Address     string
}
