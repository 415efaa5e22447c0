package claims

import "time"

// ActsOn says whether the core would act as the owner of a partition at a time.
func (c *Core) ActsOn(now time.Time, partition int) bool {
	c.advance(now)
	return c.mayAct(&c.partitions[partition])
}
