package operatorapi

// InstanceState is the state that an instance reports for itself.
type InstanceState string

// States of an instance. Only a ready instance admits new jobs.
const (
	// InstanceStarting is any instance that is neither ready nor draining: it
	// starts, lacks its lease or takes over partitions.
	InstanceStarting InstanceState = "starting"
	InstanceReady    InstanceState = "ready"
	InstanceDraining InstanceState = "draining"
)

// Status answers GET /v1/status. It describes the instance that answers.
type Status struct {
	Instance    string        `json:"instance"`
	DataCentre  string        `json:"data_centre"`
	Incarnation string        `json:"incarnation"` // changes with each start of the process
	State       InstanceState `json:"state"`
	// NotReadyReason is the reason why the instance is not ready; empty if it is.
	NotReadyReason string `json:"not_ready,omitempty"`
	Voter          bool   `json:"voter"`
	Leader         string `json:"leader"` // empty if no leader is known
	Term           uint64 `json:"term"`
	ConfigVersion  uint64 `json:"config_version"`
	StartedUnixMS  int64  `json:"started_unix_ms"`
	// ClockOffsetMS is the instance's clock minus the median of its peers' clocks.
	ClockOffsetMS int64 `json:"clock_offset_ms"`
	Partitions    int   `json:"partitions"` // partitions owned under a lease
	WaitingTasks  int   `json:"waiting_tasks"`
	RunningTasks  int   `json:"running_tasks"`
	OpenRequests  int   `json:"open_requests"` // requests from callers that are not answered yet
}
