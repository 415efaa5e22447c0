package structs

// Class is a kind of work that operators declare.
type Class struct {
	Name string `json:"name"`
	// Rank orders classes when capacity is short; rank 0 is served first.
	Rank int `json:"rank"`
	// SharePercent is the part of the slots protected for the class, 0 to 100.
	// 0 means that the protected part is learned from the class's demand.
	SharePercent float64 `json:"share_percent"`
	// MaxQueue bounds the tasks of the class that wait at one instance.
	MaxQueue int `json:"max_queue"`
}

// Tenant is a customer account; the jobs of all tenants share the targets.
type Tenant struct {
	Name string `json:"name"`
	// Weight is the tenant's part within a class, relative to other tenants.
	Weight float64 `json:"weight"`
	// QuotaSlots bounds the slots the tenant uses at once in a data centre; 0 is unbounded.
	QuotaSlots int `json:"quota_slots"`
}

// SystemConfig is the replicated configuration of all instances.
type SystemConfig struct {
	Version uint64            `json:"version"`
	Classes map[string]Class  `json:"classes"`
	Tenants map[string]Tenant `json:"tenants"`
}
