package placement_test

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"hawthornshore.example/emulator"
	"hawthornshore.example/jobtable"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	proposeRetry      = 50 * time.Millisecond
	confirmInterval   = 300 * time.Millisecond
	homeCheckInterval = 250 * time.Millisecond
	// homeTimeout is shorter than the leader's: no invariant depends on it.
	homeTimeout    = 200 * time.Millisecond
	storedAttempts = 2
	logRetention   = time.Hour
)

// simLog is the log of a simulation: one list of commands that each coordinator
// applies in order, with its own delay.
type simLog struct {
	commands      []*wire.JobCommand
	table         *jobtable.Table
	missing       map[string]time.Duration // unreachable homes, since when
	accepted      map[string]bool
	completed     int
	checkingHomes bool

	*emulator.RunChecker
}

func newSimLog() *simLog {
	l := &simLog{
		table: jobtable.New(logRetention), missing: map[string]time.Duration{}, accepted: map[string]bool{},
	}
	l.RunChecker = emulator.NewRunChecker(storedAttempts, func(task string) bool { return l.accepted[placement.JobID(task)] })
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

func (c *simCoordinator) home() string { return c.name + "/" + strconv.Itoa(c.restarts) }

// startLog lets a new process read the log from its beginning, and confirm its home.
func (s *simulation) startLog(c *simCoordinator) {
	c.applied, c.table = 0, jobtable.New(logRetention)
	process := c.restarts
	s.deliver(c, process)
	s.confirm(c, process)
	if !s.log.checkingHomes {
		s.log.checkingHomes = true
		s.checkHomes()
	}
}

// deliver delivers the commands that a coordinator has not applied yet.
func (s *simulation) deliver(c *simCoordinator, process int) {
	s.after(time.Duration(1+s.random.IntN(8))*time.Millisecond, func() {
		if c.restarts != process {
			return
		}
		if !c.isolated && !c.paused {
			s.applyLog(c)
		}
		s.deliver(c, process)
	})
}

func (s *simulation) applyLog(c *simCoordinator) {
	changed := map[string]bool{}
	for ; c.applied < len(s.log.commands); c.applied++ {
		_, jobs := c.table.Apply(s.now.Milliseconds(), s.log.commands[c.applied:c.applied+1])
		for _, j := range jobs {
			changed[j.ID] = true
		}
	}
	for _, id := range sorted(changed) {
		s.step(c, s.storedChange(c.table.Job(id)))
	}
}

func sorted(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}

func (s *simulation) storedChange(j *jobtable.Job) placement.StoredJobChanged {
	if j.Ended() {
		return placement.StoredJobChanged{Job: placement.Job{ID: j.ID}, Ended: true}
	}
	change := placement.StoredJobChanged{Job: s.jobs[j.ID], Home: j.Home, Epoch: j.Epoch}
	for _, tasks := range j.Tasks {
		var progress []placement.TaskProgress
		for i := range tasks {
			p := placement.TaskProgress{Done: tasks[i].Done(), Floor: tasks[i].Floor, Failures: len(tasks[i].Failed)}
			for _, run := range tasks[i].Failed {
				p.LastFailed = max(p.LastFailed, run)
			}
			progress = append(progress, p)
		}
		change.Tasks = append(change.Tasks, progress)
	}
	return change
}

// confirm reads the log to its end periodically.
func (s *simulation) confirm(c *simCoordinator, process int) {
	s.after(confirmInterval, func() {
		if c.restarts != process {
			return
		}
		s.confirm(c, process)
		if c.isolated || c.paused {
			return
		}
		began, end := s.now, len(s.log.commands)
		s.after(time.Duration(1+s.random.IntN(20))*time.Millisecond, func() {
			if c.restarts == process && !c.isolated && c.applied >= end {
				s.step(c, placement.LogReadConfirmed{StartedAt: began})
			}
		})
	})
}

// propose appends a command to the log, with retries. The process that proposes it
// may have ended by then.
func (s *simulation) propose(c *simCoordinator, command *wire.JobCommand, done func(wire.CommandVerdict)) {
	process := c.restarts
	s.after(time.Duration(5+s.random.IntN(20))*time.Millisecond, func() {
		switch {
		case c.restarts != process:
		case c.isolated || c.paused:
			s.after(proposeRetry, func() {
				if c.restarts == process {
					s.propose(c, command, done)
				}
			})
		default:
			verdict := s.appendCommand(command)
			if done != nil {
				s.after(time.Duration(1+s.random.IntN(3))*time.Millisecond, func() {
					if c.restarts == process {
						done(verdict)
					}
				})
			}
		}
	})
}

func (s *simulation) appendCommand(command *wire.JobCommand) wire.CommandVerdict {
	l := s.log
	l.commands = append(l.commands, command)
	verdicts, jobs := l.table.Apply(s.now.Milliseconds(), []*wire.JobCommand{command})
	for _, j := range jobs {
		if j.State == wire.StoredState_STORED_STATE_COMPLETED {
			l.completed++
		}
	}
	return verdicts[0]
}

func (s *simulation) recordEnd(c *simCoordinator, e placement.RecordEnd) {
	s.propose(c, &wire.JobCommand{Body: &wire.JobCommand_End{
		End: &wire.RunEnd{Task: e.Task, Run: int32(e.Run), Done: e.Done},
	}}, func(verdict wire.CommandVerdict) {
		s.step(c, placement.EndRecorded{
			Target: e.Target, BootUnixMS: e.BootUnixMS, Number: e.Number, GivenUp: verdict == wire.CommandVerdict_COMMAND_VERDICT_GIVEN_UP,
		})
	})
}

// store submits a stored job to a coordinator that reaches the log.
func (s *simulation) store(job placement.Job) {
	c := s.coordinators[s.random.IntN(len(s.coordinators))]
	if c.down || c.paused || c.isolated {
		s.resubmit(job.ID)
		return
	}
	s.log.accepted[job.ID] = true
	submission := &wire.Submission{JobId: job.ID, MaxAttempts: storedAttempts}
	for i := range job.Steps {
		submission.Steps = append(submission.Steps, &wire.JobStep{Count: int32(job.Steps[i].Count)})
	}
	home := c.home()
	s.after(time.Duration(5+s.random.IntN(20))*time.Millisecond, func() {
		s.appendCommand(&wire.JobCommand{Body: &wire.JobCommand_Accept{Accept: &wire.JobAccept{Job: submission, Home: home}}})
	})
}

// checkHomes periodically moves the jobs of unreachable homes to others.
func (s *simulation) checkHomes() {
	s.after(homeCheckInterval, func() {
		present := map[string]bool{}
		var choices []string
		for _, c := range s.coordinators {
			if !c.down && !c.isolated && !c.paused {
				present[c.home()] = true
				choices = append(choices, c.home())
			}
		}
		homes := map[string]bool{}
		for home := range s.log.table.Homes() {
			homes[home] = true
		}
		for _, home := range sorted(homes) {
			s.checkHome(home, present[home], choices)
		}
		s.checkHomes()
	})
}

func (s *simulation) checkHome(home string, present bool, choices []string) {
	since, gone := s.log.missing[home]
	switch {
	case present:
		delete(s.log.missing, home)
	case !gone:
		s.log.missing[home] = s.now
	case s.now-since >= homeTimeout && len(choices) > 0:
		to := choices[s.random.IntN(len(choices))]
		s.appendCommand(&wire.JobCommand{Body: &wire.JobCommand_Move{Move: &wire.HomeMove{From: home, To: to}}})
	}
}

// isolate partitions a coordinator from the log and the other coordinators.
func (s *simulation) isolate(c *simCoordinator, length time.Duration) {
	if c.down || c.isolated {
		return
	}
	process := c.restarts
	c.isolated = true
	for _, other := range s.coordinators {
		if other != c {
			s.cutLink(c, other)
		}
	}
	s.after(max(length, linkTimeout+200*time.Millisecond), func() {
		c.isolated = false
		for _, other := range s.coordinators {
			if other != c {
				s.restoreLink(c, other)
				if c.restarts == process {
					s.step(c, placement.PeerConnected{Peer: other.name})
					s.step(other, placement.PeerConnected{Peer: c.name})
				}
			}
		}
	})
}
