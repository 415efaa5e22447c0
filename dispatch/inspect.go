package dispatch

import "slices"

// ManagedTargets returns the IDs of the targets that this instance manages, in
// a stable order.
func (c *Core) ManagedTargets() []string {
	ids := make([]string, 0, len(c.fleet.targets))
	for id := range c.fleet.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
