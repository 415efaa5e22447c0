package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// crashesToConvict is how many targets have to crash under a task before it is
	// given up, if it was alone on one of them.
	crashesToConvict = 2
	// sharedCrashesToConvict is the number if it was alone on none for certain: its starts
	// had no response, or an owner of targets does not support that.
	sharedCrashesToConvict = 4
	// trialShare is the part of the targets that all homes together use for trials at
	// the same time, as a divisor.
	trialShare = 8
	// reservationTime is how long a target stays set aside for a trial after the last
	// request.
	reservationTime = time.Second
	// trialRetryDelay is the pause after a rejected trial.
	trialRetryDelay = 100 * time.Millisecond
)

// loss is a run of a task that was lost with its target.
type loss struct {
	RunLoss
	at      time.Duration
	trial   bool
	verdict verdict // undecided, crashed or notReturned
}

// RecordLoss requests a record in the log of a lost run, or its removal.
type RecordLoss struct {
	Task    string
	Loss    RunLoss
	Cleared bool
}

func (t *task) suspected() bool { return len(t.losses) > 0 }

// lossOf returns the loss of a run, or nil.
func (t *task) lossOf(number int) *RunLoss {
	for i := range t.losses {
		if t.losses[i].Run == number {
			return &t.losses[i].RunLoss
		}
	}
	return nil
}

// recordLoss makes the task of a lost run a suspect if the target may have crashed.
func (c *Core) recordLoss(t *task, report *Report) {
	if report.Loss == nil {
		return
	}
	l := loss{RunLoss: RunLoss{Run: t.runs, Target: report.Target, TargetLoss: *report.Loss}, at: c.now, trial: t.trial}
	c.addLoss(t, &l)
	if l.Crashed {
		c.crashCounted(t, &t.losses[len(t.losses)-1])
	}
	c.judgeTask(t)
}

// maxTaskLosses bounds the losses of a task, like those in the log.
const maxTaskLosses = 8

func (c *Core) addLoss(t *task, l *loss) {
	if l.Crashed {
		l.verdict = crashed
	}
	if !t.suspected() {
		c.suspects = append(c.suspects, t)
	}
	t.losses = append(t.losses, *l)
	t.losses = t.losses[max(len(t.losses)-maxTaskLosses, 0):]
}

// restoreLosses adds the losses in the log that are unknown here.
func (c *Core) restoreLosses(t *task, recorded []RunLoss) {
	if t.state == done {
		return
	}
	for i := range recorded {
		if t.lossOf(recorded[i].Run) == nil {
			c.addLoss(t, &loss{RunLoss: recorded[i], at: c.now})
		}
	}
	if t.suspected() {
		c.judgeTask(t)
	}
}

// resolveLosses decides which of a task's lost targets have crashed.
func (c *Core) resolveLosses(t *task, known *knownBoots) {
	changed := false
	for i := range t.losses {
		l := &t.losses[i]
		if l.verdict != undecided {
			continue
		}
		l.verdict = known.judge(l.Target, &l.TargetLoss, c.now-l.at)
		changed = changed || l.verdict != undecided
		switch l.verdict {
		case crashed:
			l.Crashed = true
			c.crashCounted(t, l)
		case returned, notReturned:
			c.lossCleared(t, l)
		}
	}
	if !changed {
		return
	}
	t.losses = slices.DeleteFunc(t.losses, func(l loss) bool { return l.verdict == returned })
	c.scheduleDue = true
	c.judgeTask(t)
}

// crashCounted records and logs a crash of a task's target.
func (c *Core) crashCounted(t *task, l *loss) {
	if t.job.Stored {
		c.emit(RecordLoss{Task: t.name(), Loss: l.RunLoss})
	}
	neighbours := "beside other runs"
	if l.Alone {
		neighbours = "alone"
	}
	c.logDecision(Decision{
		Event: "task_crashed_target", Job: t.job.ID, Task: t.name(), Target: l.Target, Reason: neighbours, Age: c.now - l.at, Value: int64(l.Run),
	})
}

// lossCleared records and logs that a task's target has not crashed, as far as is known.
func (c *Core) lossCleared(t *task, l *loss) {
	if t.job.Stored {
		c.emit(RecordLoss{Task: t.name(), Loss: l.RunLoss, Cleared: true})
	}
	c.logDecision(Decision{
		Event: "task_acquitted", Job: t.job.ID, Task: t.name(), Target: l.Target, Reason: l.verdict.String(), Age: c.now - l.at, Value: int64(l.Run),
	})
}

// acquitTarget clears the losses of a target whose boot was stopped as planned.
func (c *Core) acquitTarget(id string, bootUnixMS int64) {
	for _, t := range c.suspects {
		for i := range t.losses {
			l := &t.losses[i]
			if l.Target == id && l.verdict == undecided && (l.BootUnixMS == bootUnixMS || bootUnixMS == 0) {
				l.verdict = returned
				c.lossCleared(t, l)
			}
		}
		t.losses = slices.DeleteFunc(t.losses, func(l loss) bool { return l.verdict == returned })
	}
}

// removeCleared removes the tasks that are no longer suspects, or not here any more.
func (c *Core) removeCleared() {
	c.suspects = slices.DeleteFunc(c.suspects, func(t *task) bool {
		return !t.suspected() || t.state == done || t.job.ending || c.jobs[t.job.ID] != t.job
	})
}

// judgeTask gives a task up, or delays it if its job is stored, once enough targets have
// crashed under it. Crashes beside other runs are not enough, because one of those may be
// the cause.
func (c *Core) judgeTask(t *task) {
	crashes, alone, last := 0, 0, time.Duration(0)
	for i := range t.losses {
		if t.losses[i].Crashed {
			crashes++
			last = max(last, t.losses[i].at)
			if t.losses[i].Alone {
				alone++
			}
		}
	}
	if t.convicted || t.state == done || crashes < sharedCrashesToConvict && (crashes < crashesToConvict || alone == 0) {
		return
	}
	if t.job.Stored {
		c.delayTrial(t, crashes, last)
		return
	}
	t.convicted = true
	reason := "task " + t.name() + " has crashed " + strconv.Itoa(crashes) + " targets"
	c.logDecision(Decision{Event: "task_convicted", Job: t.job.ID, Task: t.name(), Reason: reason, Age: c.now - t.job.submittedAt, Value: int64(crashes)})
	c.answerJob(t.job, Failed, reason, 0)
	c.endJob(t.job)
}

// mayShareTarget reports whether a task may run beside others. A suspect that may
// not is started by placeTrials.
func (c *Core) mayShareTarget(t *task) bool {
	return !t.suspected() || !t.convicted && len(t.losses) == 1 && !t.losses[0].Newest
}

// awaitsEvidence reports whether a task has lost two targets or more, and it is not
// known yet whether they have crashed.
func (t *task) awaitsEvidence() bool {
	return len(t.losses) > 1 && slices.ContainsFunc(t.losses, func(l loss) bool { return l.verdict == undecided })
}

// wantsTrial reports whether a task is to be started alone on a target now.
func (c *Core) wantsTrial(t *task) bool {
	j := t.job
	return t.state == waiting && !t.convicted && !t.mayBeDone && !j.ending && c.jobs[j.ID] == j &&
		c.now >= max(t.notBefore, t.trialNotBefore) && c.now-t.placedAt >= trialRetryDelay && (!j.Stored || c.homeLeaseValid()) &&
		j.stepReady(t.step) && !c.mayShareTarget(t) && !t.awaitsEvidence()
}

// inTrial reports whether a task uses a target for a trial, or may have crashed it.
func (t *task) inTrial() bool {
	if t.trial && (t.state == starting || t.state == running) {
		return true
	}
	return slices.ContainsFunc(t.losses, func(l loss) bool { return l.trial && l.verdict == undecided })
}

// trialLimit returns how many targets this home may use for trials. Targets that are
// missing already leave fewer, but one.
func (c *Core) trialLimit() int {
	targets, homes := len(c.targets), 1
	for _, p := range c.peers {
		targets += len(p.targets)
		homes++
	}
	missing := map[string]bool{}
	for _, t := range c.suspects {
		for i := range t.losses {
			if l := &t.losses[i]; l.verdict == undecided && !l.trial {
				missing[l.Target] = true
			}
		}
	}
	share := trialShare * homes
	return max((targets+share-1)/share-len(missing), 1)
}

// placeTrials starts suspects alone on targets: those with the fewest losses first,
// and of these the latest ones, whose callers still wait.
func (c *Core) placeTrials(requests map[string][]Placement) {
	free := c.trialLimit()
	var trials []*task
	for _, t := range c.suspects {
		switch {
		case t.inTrial():
			free--
		case c.wantsTrial(t):
			trials = append(trials, t)
		}
	}
	slices.SortStableFunc(trials, func(a, b *task) int {
		return cmp.Or(cmp.Compare(len(a.losses), len(b.losses)), cmp.Compare(b.losses[len(b.losses)-1].at, a.losses[len(a.losses)-1].at))
	})
	for _, t := range trials[:min(max(free, 0), len(trials))] {
		c.placeTrial(t, requests)
	}
}

// placeTrial starts a task alone on a target, or sets a target aside for it.
func (c *Core) placeTrial(t *task, requests map[string][]Placement) {
	if !c.hasRunNumber(t) {
		return
	}
	best, ok := c.trialCandidate(t)
	if !ok {
		return
	}
	c.placeOn(&best, t, true, requests)
	c.logDecision(Decision{
		Event: "task_isolated", Job: t.job.ID, Task: t.name(), Target: t.target, Peer: t.peer, Age: c.now - t.job.submittedAt, Value: int64(len(t.losses)),
	})
}

func (c *Core) trialCandidate(t *task) (candidate, bool) {
	step := &t.job.Steps[t.step]
	request := &Placement{Service: t.job.Service, Need: step.Need, Requirement: step.Requirement, Rack: step.Rack, Avoid: t.avoid}
	if idle := c.findIdle(request); idle != nil {
		return candidate{target: idle}, true
	}
	if best, ok := c.remoteTrialCandidate(t, step, true); ok {
		return best, true
	}
	if c.reserve(request) {
		return candidate{}, false
	}
	return c.remoteTrialCandidate(t, step, false) // whose owner sets a target aside
}

func (c *Core) remoteTrialCandidate(t *task, step *Step, idle bool) (candidate, bool) {
	var best candidate
	found := false
	for _, name := range sortedKeys(c.peers) {
		p := c.peers[name]
		for i := range p.targets {
			remote := &p.targets[i]
			if p.silent || p.draining || remote.Service != t.job.Service || !matches(remote.Labels, step.Requirement) ||
				!step.Need.Fits(remote.Free) || idle && !remote.Idle {
				continue
			}
			option := candidate{peer: p, remote: remote, score: c.score(t, step, remote.Target, remote.Labels, remote.Free)}
			if !found || option.better(&best) {
				best, found = option, true
			}
		}
	}
	return best, found
}

// idleTarget returns a target for another home's task that has to run alone. Without
// one it sets a target aside for the next request.
func (c *Core) idleTarget(p *Placement) *target {
	idle := c.findIdle(p)
	if idle == nil {
		c.reserve(p)
	}
	return idle
}

// fitsAlone reports whether a task may run alone on a target once that is idle.
func (c *Core) fitsAlone(t *target, p *Placement) bool {
	return t.Service == p.Service && matches(t.Labels, p.Requirement) && p.Need.Fits(t.Capacity) &&
		t.serviceable(c.now) && !t.hasExclusive()
}

// findIdle returns a target without runs: if possible not the one to avoid, and on the
// rack of the data.
func (c *Core) findIdle(p *Placement) *target {
	var best *target
	lowest := 0.0
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		if !c.fitsAlone(t, p) || len(t.runs) > 0 || !p.Need.Fits(t.free()) {
			continue
		}
		cost := 0.0
		if id == p.Avoid {
			cost += avoidCost
		}
		if !onRack(t.Labels, p.Rack) {
			cost += otherRackCost
		}
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// reserve sets the target with the fewest runs aside until it is idle, or keeps the
// ones that are set aside already. It reports whether any is.
func (c *Core) reserve(p *Placement) bool {
	var fewest *target
	reserved := false
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		switch {
		case !c.fitsAlone(t, p):
		case c.now < t.reservedUntil:
			t.reservedUntil = c.now + reservationTime
			reserved = true
		case fewest == nil || len(t.runs) < len(fewest.runs):
			fewest = t
		}
	}
	if reserved || fewest == nil {
		return reserved
	}
	fewest.reservedUntil = c.now + reservationTime
	c.availabilityChanged()
	return true
}

// endReservations makes targets available again that no trial has used.
func (c *Core) endReservations() {
	for _, t := range c.targets {
		if t.reservedUntil != 0 && c.now >= t.reservedUntil {
			t.reservedUntil = 0
			c.availabilityChanged()
		}
	}
}

// setAside reports whether a target is used by, or reserved for, a single run.
func (t *target) setAside(now time.Duration) bool { return now < t.reservedUntil || t.hasExclusive() }

func (t *target) hasExclusive() bool {
	for _, r := range t.runs {
		if r.exclusive {
			return true
		}
	}
	return false
}

// hasSuspect reports whether a suspect runs on the target.
func (t *target) hasSuspect() bool {
	for _, r := range t.runs {
		if r.suspect {
			return true
		}
	}
	return false
}
