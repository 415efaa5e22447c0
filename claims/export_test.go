package claims

import "time"

// ActivePartitions returns the partitions that the core would act on as their owner.
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
