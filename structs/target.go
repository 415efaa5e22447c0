package structs

// TargetState is what a target says of itself.
type TargetState string

// States of a target. Only a ready target gets new work.
const (
	TargetStarting TargetState = "starting"
	TargetReady    TargetState = "ready"
	TargetLeaving  TargetState = "leaving"
)

// Announcement is what a target tells the system about itself. It is repeated
// every TargetHeartbeatInterval.
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
	Running     int         `json:"running"` // attempts that run now
}

// TargetRef names one incarnation of a target and where to reach it.
type TargetRef struct {
	TargetID    string
	Incarnation string
	Address     string
}
