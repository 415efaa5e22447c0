package cluster

import (
	"context"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	// confirmInterval is how often a home of stored jobs makes certain that it
	// still is their home; it may order runs for five times as long.
	confirmInterval = 300 * time.Millisecond
	// homeCheckInterval is how often the leader looks for homes that are gone.
	homeCheckInterval = 250 * time.Millisecond
	// homeLostAfter is how long a home has no link to the leader before its jobs
	// get another one; a link that is reset is back within half a second.
	homeLostAfter = 1500 * time.Millisecond
)

// homeName names a process of a coordinator as a home of stored jobs.
func homeName(hello *wire.Hello) string { return hello.GetInstance() + "/" + hello.GetIncarnation() }

// acceptStored puts a job into the log and answers its gateway.
func (c *Coordinator) acceptStored(ctx context.Context, gateway string, submission *wire.Submission) {
	answer := c.store(ctx, submission)
	answer.Ref = submission.GetRef()
	c.options.Logger.Info().Str("event", "job_stored").Str("job", submission.GetJobId()).Str("queue", submission.GetQueue()).
		Str("outcome", placement.Outcome(answer.GetOutcome()).String()).Str("reason", answer.GetReason()).Send()
	c.send(gateway, &wire.Envelope{Body: &wire.Envelope_SubmissionAnswer{SubmissionAnswer: answer}})
}

func (c *Coordinator) store(ctx context.Context, submission *wire.Submission) *wire.SubmissionAnswer {
	if c.voter.store.job(submission.GetJobId()) != wire.StoredState_STORED_STATE_NONE {
		return &wire.SubmissionAnswer{Outcome: wire.JobOutcome_JOB_OUTCOME_ACCEPTED, Reason: "known"}
	}
	if c.isDraining() {
		return refusal("coordinator is leaving")
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	_, err := c.voter.propose(ctx, &wire.LogCommand{Jobs: []*wire.JobCommand{{
		Body: &wire.JobCommand_Accept{Accept: &wire.JobAccept{Job: submission, Home: c.options.Placement.Home}},
	}}})
	switch {
	case err == nil:
		return &wire.SubmissionAnswer{Outcome: wire.JobOutcome_JOB_OUTCOME_ACCEPTED}
	case errors.Is(err, ErrRefused):
		return refusal(err.Error())
	}
	return &wire.SubmissionAnswer{Outcome: wire.JobOutcome_JOB_OUTCOME_ABORTED, Reason: err.Error()}
}

// refusal lets the gateway try another coordinator.
func refusal(reason string) *wire.SubmissionAnswer {
	return &wire.SubmissionAnswer{
		Outcome: wire.JobOutcome_JOB_OUTCOME_NOT_RUN, Reason: reason, RetryAfterMs: ms(placement.RetryElsewhere),
	}
}

func (c *Coordinator) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// jobState answers a question about a job, or cancels it.
func (c *Coordinator) jobState(ctx context.Context, id string, cancel bool) (*wire.JobState, error) {
	ctx, stop := context.WithTimeout(ctx, questionTimeout)
	defer stop()
	state, err := c.loop.ask(ctx, id, cancel)
	if err != nil || state.GetActive() {
		return state, err
	}
	state.Stored = c.awaitEnd(ctx, id, cancel)
	if state.Stored == wire.StoredState_STORED_STATE_NONE {
		if err := c.voter.confirm(ctx); err != nil {
			return state, nil // not current
		}
		state.Stored = c.voter.store.job(id)
	}
	state.Current = true
	if !cancel || state.GetStored() == wire.StoredState_STORED_STATE_NONE {
		return state, nil
	}
	_, err = c.voter.propose(ctx, &wire.LogCommand{Jobs: []*wire.JobCommand{{
		Body: &wire.JobCommand_Cancel{Cancel: &wire.JobCancel{JobId: id}},
	}}})
	c.options.Logger.Info().Str("event", "job_cancel").Str("job", id).Err(err).Send()
	if state.GetStored() < wire.StoredState_STORED_STATE_COMPLETED {
		state.Stored = wire.StoredState_STORED_STATE_CANCELLED
	}
	return state, errors.Annotate(err, "cancel")
}

// stateWait is how long a question about a running job waits for its end. Callers
// ask when they expect it, and the way through the log takes some 20 ms.
const stateWait = 100 * time.Millisecond

// awaitEnd returns the state of a stored job, after waiting for its end for a while.
func (c *Coordinator) awaitEnd(ctx context.Context, id string, cancel bool) wire.StoredState {
	until := time.After(stateWait)
	for {
		_, applied := c.voter.progress.watch()
		state := c.voter.store.job(id)
		if cancel || state == wire.StoredState_STORED_STATE_NONE || state >= wire.StoredState_STORED_STATE_COMPLETED {
			return state
		}
		select {
		case <-applied:
		case <-until:
			return state
		case <-ctx.Done():
			return state
		}
	}
}

// confirmLoop confirms that this coordinator is the home of its stored jobs, as
// long as it has any.
func (c *Coordinator) confirmLoop(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.confirmNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		if c.voter.store.homes()[c.options.Placement.Home] > 0 {
			c.confirmHome(ctx)
		}
	}
}

func (c *Coordinator) confirmHome(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	began := steadyNow()
	if err := c.voter.confirm(ctx); err != nil {
		c.options.Logger.Warn().Str("event", "home_not_confirmed").Err(err).Send()
		return
	}
	c.loop.push(placement.LogReadConfirmed{StartedAt: began})
}

// homesLoop gives the jobs of homes that are gone to others, while this
// coordinator leads.
func (c *Coordinator) homesLoop(ctx context.Context) error {
	ticker := time.NewTicker(homeCheckInterval)
	defer ticker.Stop()
	missing := map[string]time.Duration{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if member := c.voter.node.Load(); member == nil || member.Status().Role != consensus.Leader {
			clear(missing)
			continue
		}
		for _, home := range c.lostHomes(missing) {
			if err := c.moveHome(ctx, home); err != nil {
				c.options.Logger.Warn().Str("event", "home_not_moved").Str("home", home).Err(err).Send()
			}
		}
	}
}

// lostHomes returns the homes that have been without a link for too long.
func (c *Coordinator) lostHomes(missing map[string]time.Duration) []string {
	now := steadyNow()
	linked := map[string]bool{c.options.Placement.Home: true}
	c.mu.Lock()
	for _, state := range c.linked {
		linked[state.home] = true
	}
	c.mu.Unlock()
	homes := c.voter.store.homes()
	var lost []string
	for home := range homes {
		since, ok := missing[home]
		switch {
		case linked[home]:
			delete(missing, home)
		case !ok:
			missing[home] = now
		case now-since >= homeLostAfter:
			lost = append(lost, home)
		}
	}
	return lost
}

// moveHome gives the stored jobs of a home to a coordinator that stays.
func (c *Coordinator) moveHome(ctx context.Context, home string) error {
	c.mu.Lock()
	var choices []string
	if !c.draining {
		choices = append(choices, c.options.Placement.Home)
	}
	for _, state := range c.linked {
		if state.coordinator && !state.draining && state.home != home {
			choices = append(choices, state.home)
		}
	}
	c.mu.Unlock()
	to := rendezvous(home, choices)
	if to == "" {
		return errors.NotFoundf("another home")
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	_, err := c.voter.propose(ctx, &wire.LogCommand{Jobs: []*wire.JobCommand{{
		Body: &wire.JobCommand_Move{Move: &wire.HomeMove{From: home, To: to}},
	}}})
	c.options.Logger.Info().Str("event", "home_moved").Str("home", home).Str("peer", to).Err(err).Send()
	return errors.Annotate(err, "move home")
}
