package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"hawthornshore.example/emulator"
	"hawthornshore.example/jobtable"
	"hawthornshore.example/jobtable/homes"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	proposeRetryDelay = 50 * time.Millisecond  // recordRetryDelay of cluster/recorder.go
	caughtUpFor       = 2 * time.Second        // as in cluster/catchup.go
	confirmInterval   = 300 * time.Millisecond // as in cluster/homes.go
	homeCheckInterval = 250 * time.Millisecond // as in cluster/homes.go
	// homeTimeout replaces homes.LostAfter. It is shorter, so that homes move more often;
	// no invariant depends on it.
	homeTimeout    = 200 * time.Millisecond
	storedAttempts = 2         // maximum number of attempts of a stored task
	logRetention   = time.Hour // longer than a simulation, so that ended jobs stay
)

// simLog is the log of a simulation: one list of commands that each coordinator
// applies in order, with its own delay.
type simLog struct {
	commands      []*wire.JobCommand
	table         *jobtable.Table
	watch         *homes.Watch    // of the leader
	submitted     map[string]bool // stored jobs whose acceptance is certain
	completed     int
	checkingHomes bool
	runRange      int64 // of each home
	moves         int   // at the request of homes

	*emulator.RunChecker // checks the runs of stored jobs
}

func newSimLog() *simLog {
	l := &simLog{
		table: jobtable.New(logRetention), watch: homes.NewWatch(homeTimeout), submitted: map[string]bool{},
		runRange: jobtable.RunRange,
	}
	l.RunChecker = emulator.NewRunChecker(storedAttempts, func(task string) bool { return l.submitted[placement.JobID(task)] })
	return l
}

// unfinished returns the accepted jobs that have not ended.
func (l *simLog) unfinished() []string {
	var ids []string
	for _, j := range l.table.Jobs() {
		if !j.Ended() {
			ids = append(ids, j.ID+" at "+j.Home)
		}
	}
	return ids
}

// home names the current process of a coordinator as a home of stored jobs. The next
// process is another home, because it has no record of the runs of this one.
func (c *simCoordinator) home() string { return c.name + "/" + strconv.Itoa(c.incarnation) }

// startLog lets a new process apply the log from its beginning and confirm its home.
func (s *simulation) startLog(c *simCoordinator) {
	c.applied, c.table, c.detached, c.hasReadLog = 0, jobtable.New(logRetention), false, false
	incarnation := c.incarnation
	s.applyPeriodically(c, incarnation)
	s.readLogPeriodically(c, incarnation)
	if !s.log.checkingHomes {
		s.log.checkingHomes = true
		s.checkHomes()
	}
}

// applyPeriodically applies the outstanding commands after a random delay, again and
// again until the process ends.
func (s *simulation) applyPeriodically(c *simCoordinator, incarnation int) {
	s.after(time.Duration(1+s.random.IntN(8))*time.Millisecond, func() {
		if c.incarnation != incarnation {
			return
		}
		if !c.isolated && !c.paused && !c.detached {
			s.applyLog(c)
		}
		s.applyPeriodically(c, incarnation)
	})
}

// applyLog applies the commands that a coordinator has not applied yet and passes the
// changed jobs to its core.
func (s *simulation) applyLog(c *simCoordinator) {
	changed := map[string]bool{}
	for ; c.applied < len(s.log.commands); c.applied++ {
		s.applyDocument(c, changed)
		_, jobs := c.table.Apply(s.now.Milliseconds(), s.log.commands[c.applied:c.applied+1])
		for _, j := range jobs {
			changed[j.ID] = true
		}
	}
	for _, id := range sorted(changed) {
		s.step(c, s.storedChange(c.table.Job(id)))
	}
	s.applyEvacuations(c)
}

func sorted(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}

func (s *simulation) storedChange(j *jobtable.Job) placement.StoredJobChanged {
	if j.Ended() {
		return placement.StoredJobChanged{Job: placement.Job{ID: j.ID}, Ended: true}
	}
	change := placement.StoredJobChanged{Job: s.storedJob(j), Home: j.Home, Epoch: j.Epoch, RunLimit: j.RunLimit}
	for _, tasks := range j.Tasks {
		var progress []placement.TaskProgress
		for i := range tasks {
			p := placement.TaskProgress{Done: tasks[i].Done(), Floor: tasks[i].Floor, Failures: len(tasks[i].Failed)}
			for _, run := range tasks[i].Failed {
				p.LastFailed = max(p.LastFailed, run)
			}
			for _, l := range tasks[i].Losses {
				p.Losses = append(p.Losses, lossFromLog(l))
			}
			progress = append(progress, p)
		}
		change.Tasks = append(change.Tasks, progress)
	}
	return change
}

// readLogPeriodically reads the log to its end every confirmInterval until the process
// ends. A read that succeeds confirms that the coordinator is still a home.
func (s *simulation) readLogPeriodically(c *simCoordinator, incarnation int) {
	s.after(confirmInterval, func() {
		if c.incarnation != incarnation {
			return
		}
		s.readLogPeriodically(c, incarnation)
		if c.isolated || c.paused {
			return
		}
		began, end := s.now, len(s.log.commands)
		s.after(time.Duration(1+s.random.IntN(20))*time.Millisecond, func() {
			if c.incarnation == incarnation && !c.isolated && c.applied >= end {
				c.hasReadLog, c.logReadAt = true, began
				s.step(c, placement.LogReadConfirmed{StartedAt: began})
			}
		})
	})
}

// propose appends a command to the log after a random delay, and retries while the
// coordinator cannot reach the log. It appends nothing if the process has ended
// before, and skips only done if the process ends after the append.
func (s *simulation) propose(c *simCoordinator, command *wire.JobCommand, done func(wire.CommandVerdict)) {
	incarnation := c.incarnation
	s.after(time.Duration(5+s.random.IntN(20))*time.Millisecond, func() {
		switch {
		case c.incarnation != incarnation:
		case c.isolated || c.paused || c.detached:
			s.after(proposeRetryDelay, func() {
				if c.incarnation == incarnation {
					s.propose(c, command, done)
				}
			})
		default:
			verdict := s.appendCommand(command)
			if done != nil {
				s.after(time.Duration(1+s.random.IntN(3))*time.Millisecond, func() {
					if c.incarnation == incarnation {
						done(verdict)
					}
				})
			}
		}
	})
}

// appendCommand appends a command to the log and returns its verdict.
func (s *simulation) appendCommand(command *wire.JobCommand) wire.CommandVerdict {
	l := s.log
	l.commands = append(l.commands, command)
	verdicts, jobs := l.table.Apply(s.now.Milliseconds(), []*wire.JobCommand{command})
	for _, j := range jobs {
		if j.State == wire.StoredState_STORED_STATE_COMPLETED {
			l.completed++
			s.checkCompleted(j)
		}
	}
	return verdicts[0]
}

// checkCompleted records a violation if a completed job has a task that is not done.
func (s *simulation) checkCompleted(j *jobtable.Job) {
	for step, tasks := range j.Tasks {
		for index := range tasks {
			if !tasks[index].Done() {
				s.violations = append(s.violations, fmt.Sprintf("job %s is completed, its task %d.%d is not done", j.ID, step, index))
			}
		}
	}
}

// recordEnd proposes the end of a run and reports the result to the core.
func (s *simulation) recordEnd(c *simCoordinator, e placement.RecordEnd) {
	s.propose(c, &wire.JobCommand{Body: &wire.JobCommand_End{
		End: &wire.RunEnd{Task: e.Task, Run: int64(e.Run), Done: e.Done},
	}}, func(verdict wire.CommandVerdict) {
		s.step(c, placement.EndRecorded{
			Target: e.Target, BootUnixMS: e.BootUnixMS, Number: e.Number, GivenUp: verdict == wire.CommandVerdict_COMMAND_VERDICT_GIVEN_UP,
		})
	})
}

// store submits a stored job to a coordinator that reaches the log.
func (s *simulation) store(job placement.Job) {
	c := s.coordinators[s.random.IntN(len(s.coordinators))]
	if c.down || c.paused || c.isolated || c.detached && s.now-c.logReadAt >= caughtUpFor {
		s.resubmit(job.ID)
		return
	}
	s.log.submitted[job.ID] = true
	submission := &wire.Submission{
		JobId: job.ID, MaxAttempts: storedAttempts, Queue: job.Queue, Service: job.Service,
		Priority: int32(job.Priority), Stretch: job.Stretch, ObjectiveMs: job.Allowance.Milliseconds(), DocumentVersion: job.DocumentVersion,
	}
	for i := range job.Steps {
		submission.Steps = append(submission.Steps, &wire.JobStep{Count: int32(job.Steps[i].Count)})
	}
	home := c.home()
	s.after(time.Duration(5+s.random.IntN(20))*time.Millisecond, func() {
		s.appendCommand(&wire.JobCommand{Body: &wire.JobCommand_Accept{Accept: &wire.JobAccept{Job: submission, Home: home, RunRange: s.log.runRange}}})
	})
}

// checkHomes moves the jobs of lost homes every homeCheckInterval, without an end.
func (s *simulation) checkHomes() {
	s.after(homeCheckInterval, func() {
		var linked []homes.Coordinator
		for _, c := range s.coordinators {
			if !c.down && !c.isolated && !c.paused {
				linked = append(linked, homes.Coordinator{Home: c.home(), ReportsReads: true, HasRead: c.hasReadLog, ReadAt: c.logReadAt})
			}
		}
		open := slices.Collect(maps.Keys(s.log.table.Homes()))
		for _, loss := range s.log.watch.Lost(s.now, open, linked) {
			if candidates := homes.Candidates(s.now, linked, loss.Home); len(candidates) > 0 {
				to := candidates[s.random.IntN(len(candidates))]
				s.appendCommand(&wire.JobCommand{Body: &wire.JobCommand_Move{Move: &wire.HomeMove{From: loss.Home, To: to, RunRange: s.log.runRange}}})
			}
		}
		s.checkHomes()
	})
}

// moveStoredJobs moves the stored jobs of a coordinator to another one, at its request.
func (s *simulation) moveStoredJobs(c *simCoordinator) {
	to := s.coordinators[s.random.IntN(len(s.coordinators))]
	if to == c || to.down || to.paused || to.isolated || to.detached {
		return // the home asks again
	}
	s.log.moves++
	s.propose(c, &wire.JobCommand{Body: &wire.JobCommand_Move{Move: &wire.HomeMove{From: c.home(), To: to.home(), RunRange: s.log.runRange}}}, nil)
}

// detach keeps a coordinator from applying the log and from appending to it; its links
// stay up.
func (s *simulation) detach(c *simCoordinator) { c.detached = true }

// handOverAll hands the targets of a coordinator over to the others.
func (s *simulation) handOverAll(from *simCoordinator) {
	for i, t := range s.targets {
		if s.coordinators[t.home] == from {
			to := s.coordinators[i%len(s.coordinators)]
			if to == from {
				to = s.coordinators[(i+1)%len(s.coordinators)]
			}
			s.step(from, placement.HandOverRequested{Target: t.runner.Description.ID, Peer: to.name})
		}
	}
}

// attach ends a detachment.
func (s *simulation) attach(c *simCoordinator) { c.detached = false }

// isolate partitions a coordinator from the log and the other coordinators, at least
// until both ends of its links detect it: cutLink reports the second disconnection
// 100 ms after linkTimeout.
func (s *simulation) isolate(c *simCoordinator, atLeast time.Duration) {
	if c.down || c.isolated {
		return
	}
	incarnation := c.incarnation
	c.isolated = true
	for _, other := range s.coordinators {
		if other != c {
			s.cutLink(c, other)
		}
	}
	s.after(max(atLeast, linkTimeout+200*time.Millisecond), func() {
		c.isolated = false
		for _, other := range s.coordinators {
			if other != c {
				s.restoreLink(c, other)
				if c.incarnation == incarnation {
					s.step(c, placement.PeerConnected{Peer: other.name, ChecksStepLimits: true})
					s.step(other, placement.PeerConnected{Peer: c.name, ChecksStepLimits: true})
				}
			}
		}
	})
}
