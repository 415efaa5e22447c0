package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
	"hawthornshore.example/jobtable"
	"hawthornshore.example/jobtable/homes"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	// confirmInterval is how often a home of stored jobs confirms that it still is
	// their home; a confirmation allows it to start runs for five times as long.
	confirmInterval = 300 * time.Millisecond
	// idleReadInterval is how often a coordinator without stored jobs reads the log to its
	// end, which shows that it may be a home; a read counts for homes.ReadFreshFor.
	idleReadInterval = 900 * time.Millisecond
	// homeCheckInterval is how often the leader checks for lost homes.
	homeCheckInterval = 250 * time.Millisecond
)

// homeName returns the name of a coordinator's process as a home of stored jobs.
func homeName(hello *wire.Hello) string { return hello.GetInstance() + "/" + hello.GetIncarnation() }

// confirmHomeLoop confirms that this coordinator is the home of its stored jobs, or, if
// it has none, that it follows the log.
func (c *Coordinator) confirmHomeLoop(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.confirmNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		readAt, hasRead := c.logNode.catchUp.newestRead()
		if c.logNode.store.openJobs(c.options.Placement.Home) > 0 || !hasRead || boottimeNow()-readAt >= idleReadInterval {
			c.confirmHome(ctx)
		}
	}
}

func (c *Coordinator) confirmHome(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	start := boottimeNow()
	if err := c.logNode.readBarrier(ctx); err != nil {
		c.options.Logger.Warn().Str("event", "home_not_confirmed").Err(err).Send()
		return
	}
	c.loop.push(placement.LogReadConfirmed{StartedAt: start})
}

// watchCoordinatorsLoop moves the jobs of lost homes while this coordinator is the leader,
// and observes the others as owners of targets at any time.
func (c *Coordinator) watchCoordinatorsLoop(ctx context.Context) error {
	ticker := time.NewTicker(homeCheckInterval)
	defer ticker.Stop()
	watch := homes.NewWatch(homes.LostAfter)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.findLostOwners()
		if n := c.logNode.node.Load(); n == nil || n.Status().Role != consensus.Leader {
			watch.Reset()
			continue
		}
		open := slices.Collect(maps.Keys(c.logNode.store.openJobsByHome()))
		for _, loss := range watch.Lost(boottimeNow(), open, c.knownHomes()) {
			c.options.Logger.Warn().Str("event", "home_lost").Str("home", loss.Home).Bool("linked", loss.Linked).
				Int64("read_age_ms", ms(loss.ReadAge)).Send()
			if err := c.moveHome(ctx, loss.Home); err != nil {
				c.options.Logger.Warn().Str("event", "home_not_moved").Str("home", loss.Home).Err(err).Send()
			}
		}
	}
}

// knownHomes returns this coordinator and the linked ones as homes of stored jobs.
func (c *Coordinator) knownHomes() []homes.Coordinator {
	own := homes.Coordinator{Name: c.options.Name, Home: c.options.Placement.Home, ReportsReads: true}
	own.ReadAt, own.HasRead = c.logNode.catchUp.newestRead()
	c.mu.Lock()
	defer c.mu.Unlock()
	own.Draining = c.draining
	known := []homes.Coordinator{own}
	for name, state := range c.linked {
		if state.coordinator {
			known = append(known, homes.Coordinator{
				Name: name, Home: state.home, Draining: state.draining,
				ReportsReads: state.reportsLogReads, HasRead: state.hasReadLog, ReadAt: state.logReadAt,
			})
		}
	}
	return known
}

// findLostOwners returns the names of the coordinators that must not own targets.
func (c *Coordinator) findLostOwners() map[string]bool {
	known := c.knownHomes()
	c.ownersMu.Lock()
	defer c.ownersMu.Unlock()
	lost := c.owners.LostOwners(boottimeNow(), known)
	names := map[string]bool{}
	for i := range known {
		if lost[known[i].Home] {
			names[known[i].Name] = true
		}
	}
	if !maps.Equal(names, c.lostOwners) {
		c.options.Logger.Warn().Str("event", "owners_lost").Strs("peers", slices.Sorted(maps.Keys(names))).Send()
		c.lostOwners = names
	}
	return names
}

// runRange returns the size of the ranges of run numbers in new entries of the log. While
// a coordinator of an earlier version is linked, which would apply another size, it is
// that version's, 0.
func (c *Coordinator) runRange() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.linked {
		if state.coordinator && !state.knowsRunRanges {
			return 0
		}
	}
	return jobtable.RunRange
}

// moveHome moves the stored jobs of a home to another coordinator.
func (c *Coordinator) moveHome(ctx context.Context, home string) error {
	to := rendezvous(home, homes.Candidates(boottimeNow(), c.knownHomes(), home))
	if to == "" {
		return errors.NotFoundf("another home")
	}
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	_, err := c.logNode.propose(ctx, &wire.LogCommand{Jobs: []*wire.JobCommand{{
		Body: &wire.JobCommand_Move{Move: &wire.HomeMove{From: home, To: to, RunRange: c.runRange()}},
	}}})
	c.options.Logger.Info().Str("event", "home_moved").Str("home", home).Str("peer", to).Err(err).Send()
	return errors.Annotate(err, "move home")
}
