package dispatch

import (
	"cmp"
	"slices"

	"hawthornshore.example/structs"
)

// TargetStatus describes a target that this instance manages.
type TargetStatus struct {
	Announcement structs.Announcement
	FreeSlots    int
	Usable       bool
	Ejected      bool
	Expired      bool // no announcement for structs.TargetTimeout
	Suspect      bool // unresponsive or unreachable since the last announcement
}

// ClassStatus describes the load of a class at this instance.
type ClassStatus struct {
	Class      structs.Class
	Baseline   int // protected slots
	InUse      int // slots of managed targets used by the class, including lent ones
	Running    int // tasks of jobs that this instance owns
	Waiting    int
	Overloaded bool
	MedianMS   float64 // learned run time; 0 until learned
	LongestMS  float64 // learned high quantile; 0 until learned
	Tenants    []TenantStatus
}

// TenantStatus describes the load of a tenant within a class.
type TenantStatus struct {
	Tenant  string
	Running int
	Waiting int
}

// ManagedTargets returns the sorted IDs of the targets that this instance manages.
func (c *Core) ManagedTargets() []string {
	var ids []string
	for id, t := range c.fleet.targets {
		if t.managed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Targets describes the managed targets, ordered by ID.
func (c *Core) Targets() []TargetStatus {
	var targets []TargetStatus
	for _, id := range c.ManagedTargets() {
		t := c.fleet.targets[id]
		targets = append(targets, TargetStatus{
			Announcement: t.ann,
			FreeSlots:    t.free,
			Usable:       t.usable(),
			Ejected:      t.ejected,
			Expired:      t.expired,
			Suspect:      t.suspect,
		})
	}
	return targets
}

// Classes describes the configured classes in rank order.
func (c *Core) Classes() []ClassStatus {
	var classes []ClassStatus
	for _, cl := range c.ranked {
		classes = append(classes, ClassStatus{
			Class:      cl.spec,
			Baseline:   cl.baseline.protected(),
			InUse:      cl.usage,
			Running:    cl.running,
			Waiting:    cl.queued(),
			Overloaded: cl.baseline.overloaded,
			MedianMS:   cl.runtimes.medianMS(),
			LongestMS:  cl.runtimes.longestMS(nil),
			Tenants:    cl.tenants(),
		})
	}
	return classes
}

func (cl *class) tenants() []TenantStatus {
	var tenants []TenantStatus
	for t, q := range cl.queues {
		tenants = append(tenants, TenantStatus{Tenant: t.spec.Name, Running: q.running, Waiting: q.waiting})
	}
	slices.SortFunc(tenants, func(a, b TenantStatus) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return tenants
}
