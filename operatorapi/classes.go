package operatorapi

import "hawthornshore.example/structs"

// Classes answers GET /v1/classes: the load at the answering instance.
type Classes struct {
	Instance string      `json:"instance"`
	Classes  []ClassLoad `json:"classes"` // ordered by rank and name
}

// ClassLoad is the load and the learned figures of one class. Counters start
// at the start of the instance.
type ClassLoad struct {
	structs.Class
	BaselineSlots  float64      `json:"baseline_slots"`  // protected part, declared or learned
	AllocatedSlots float64      `json:"allocated_slots"` // slots the class may use now
	RunningTasks   int          `json:"running_tasks"`
	WaitingTasks   int          `json:"waiting_tasks"`
	StartedTasks   uint64       `json:"started_tasks"`
	RefusedJobs    uint64       `json:"refused_jobs"`
	RunP50MS       int64        `json:"run_p50_ms"` // learned run time; 0 until learned
	RunP99MS       int64        `json:"run_p99_ms"`
	WaitMS         int64        `json:"wait_ms"` // predicted wait of a new task
	Tenants        []TenantLoad `json:"tenants,omitempty"`
}

// TenantLoad is the load of one tenant within a class.
type TenantLoad struct {
	Tenant       string `json:"tenant"`
	RunningTasks int    `json:"running_tasks"`
	WaitingTasks int    `json:"waiting_tasks"`
}
