package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"hawthornshore.example/structs"
)

// configChanged applies a newer configuration; older ones are ignored.
func (c *Core) configChanged(config structs.SystemConfig) {
	if config.Version < c.config.Version {
		return
	}
	c.config = config
	for name, spec := range config.Classes {
		if c.classes[name] == nil {
			c.classes[name] = newClass()
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
		_, configured := config.Classes[name]
		cl.removed = !configured
		c.ranked = append(c.ranked, cl)
	}
	for name, t := range c.tenants {
		_, configured := config.Tenants[name]
		t.removed = !configured
	}
	slices.SortFunc(c.ranked, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.spec.Rank, b.spec.Rank), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	c.splitQuotas()
}

// splitQuotas computes this instance's part of each tenant's quota. Job IDs are
// spread evenly over the instances of a data centre, so the parts are equal,
// rounded up.
func (c *Core) splitQuotas() {
	instances := len(c.peers) + 1
	// Sorted: the order decides between queues of equal virtual time.
	for _, name := range slices.Sorted(maps.Keys(c.tenants)) {
		t := c.tenants[name]
		t.quota = (t.spec.QuotaSlots + instances - 1) / instances
		for _, q := range t.queues {
			q.refresh()
		}
	}
}
