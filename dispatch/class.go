package dispatch

import (
	"cmp"
	"math"
	"slices"

	"hawthornshore.example/structs"
)

// class is the queue and the accounts of one class of work.
type class struct {
	spec    structs.Class
	removed bool // no longer configured; kept for the jobs it still has
	queue   []*job
	waiting int // waiting tasks of released jobs
	running int // live attempts
}

// tenant is the account of one tenant.
type tenant struct {
	spec    structs.Tenant
	removed bool
	running int // live attempts
}

func (cl *class) maxQueue() int {
	if cl.spec.MaxQueue <= 0 {
		return math.MaxInt
	}
	return cl.spec.MaxQueue
}

// configChanged applies a newer configuration; older ones are ignored.
func (c *Core) configChanged(config structs.SystemConfig) {
	if config.Version < c.config.Version {
		return
	}
	c.config = config
	for name, spec := range config.Classes {
		if c.classes[name] == nil {
			c.classes[name] = &class{}
		}
		spec.Name = name
		c.classes[name].spec, c.classes[name].removed = spec, false
	}
	for name, spec := range config.Tenants {
		if c.tenants[name] == nil {
			c.tenants[name] = &tenant{}
		}
		spec.Name = name
		c.tenants[name].spec, c.tenants[name].removed = spec, false
	}
	c.ranked = c.ranked[:0]
	for name, cl := range c.classes {
		if _, ok := config.Classes[name]; !ok {
			cl.removed = true
		}
		c.ranked = append(c.ranked, cl)
	}
	for name, t := range c.tenants {
		if _, ok := config.Tenants[name]; !ok {
			t.removed = true
		}
	}
	slices.SortFunc(c.ranked, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.spec.Rank, b.spec.Rank), cmp.Compare(a.spec.Name, b.spec.Name))
	})
}
