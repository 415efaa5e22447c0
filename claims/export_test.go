package claims

import "time"

// ActivePartitions returns the partitions that the core is the active owner of.
func (c *Core) ActivePartitions(now time.Time) []int {
	c.advance(now)
	var out []int
	for i := range c.partitions {
		if c.isActiveOwner(&c.partitions[i]) {
			out = append(out, i)
		}
	}
	return out
}
