package lease

import (
	"time"

	"hawthornshore.example/structs"
)

// renew begins a round: it requests the grant of the voters and the promises of
// all other members at once, so that the lease is extended if either is unreachable.
// While the instance is leaving or not a member, it proposes the leave or the join
// instead.
func (c *Core) renew() {
	if c.left {
		return
	}
	c.sequence++
	c.renewAt = c.now.Add(c.interval())
	if c.leaving != nil {
		c.propose(c.leaveCommand())
		return
	}
	if !c.view.Has(c.opts.Instance) {
		c.propose(Command{Kind: CommandJoin})
		return
	}
	c.rounds = append(c.rounds, round{sequence: c.sequence, start: c.now, epoch: c.view.Epoch})
	if len(c.rounds) > maxRounds {
		c.rounds = c.rounds[1:]
	}
	c.propose(Command{Kind: CommandRenew, Epoch: c.view.Epoch, Settled: c.settled()})
	for _, m := range c.view.Members {
		if m.Name == c.opts.Instance {
			continue
		}
		c.emit(SendPromiseRequest{
			Peer:     m.Name,
			Epoch:    c.view.Epoch,
			Duration: structs.OwnerLease,
			Sequence: c.sequence,
		})
	}
}

func (c *Core) propose(cmd Command) {
	cmd.Instance = c.opts.Instance
	c.emit(Propose{Sequence: c.sequence, Command: cmd})
}

func (c *Core) interval() time.Duration {
	if c.epochConfirmed && c.settled() {
		return structs.OwnerRenewInterval
	}
	return unconfirmedInterval
}

// roundStart returns when a round began, or false if it is not of the current epoch.
func (c *Core) roundStart(sequence uint64) (time.Time, bool) {
	for _, r := range c.rounds {
		if r.sequence == sequence {
			return r.start, r.epoch == c.view.Epoch
		}
	}
	return time.Time{}, false
}

func (c *Core) proposalApplied(e ProposalApplied) {
	c.adoptView(e.Result.View)
	if e.Result.View.Epoch != c.view.Epoch {
		return
	}
	c.renewals = max(c.renewals, e.Result.Renewals)
	c.epochConfirmed = c.epochConfirmed || e.Result.Confirmed
	if start, ok := c.roundStart(e.Sequence); ok && e.Result.Granted {
		c.extend(start)
	}
}

// leave gives up the lease before it proposes to remove this instance.
func (c *Core) leave(e Leave) {
	if c.leaving != nil {
		return
	}
	c.leaving = &e
	c.renewAt = c.now
	c.checkLeaveCompleted()
}

// leaveCommand carries the hand-over's token only in the epoch it was made for: in
// a later one others may have owned the partitions in the meantime.
func (c *Core) leaveCommand() Command {
	cmd := Command{Kind: CommandLeave, Epoch: c.view.Epoch, Settled: c.settled(), Renewals: c.renewals}
	if c.leaving.Epoch == c.view.Epoch {
		cmd.Token = c.leaving.Token
	}
	return cmd
}

func (c *Core) checkLeaveCompleted() {
	if c.leaving != nil && !c.left && !c.view.Has(c.opts.Instance) {
		c.left = true
		c.emit(LeaveCompleted{})
	}
}
