package operatorapi

import "hawthornshore.example/structs"

// Classes answers GET /v1/classes: the load at the answering instance.
type Classes struct {
	Instance string      `json:"instance"`
	Classes  []ClassLoad `json:"classes"` // ordered by rank and name
}

// ClassLoad is the load and the estimated run times of one class.
type ClassLoad struct {
	structs.Class
	BaselineSlots  float64      `json:"baseline_slots"`  // protected part of the managed slots, configured or estimated
	AllocatedSlots float64      `json:"allocated_slots"` // managed slots in use by the class, including slots lent to it
	RunningTasks   int          `json:"running_tasks"`   // of jobs that the instance owns
	WaitingTasks   int          `json:"waiting_tasks"`
	RunP50MS       int64        `json:"run_p50_ms"` // estimated run time; 0 without an estimate
	RunP99MS       int64        `json:"run_p99_ms"`
	Tenants        []TenantLoad `json:"tenants,omitempty"`
}

// TenantLoad is the load of one tenant within a class.
type TenantLoad struct {
	Tenant       string `json:"tenant"`
	RunningTasks int    `json:"running_tasks"`
	WaitingTasks int    `json:"waiting_tasks"`
}
