package placement_test

import (
	"fmt"
	"strings"
	"time"

	"hawthornshore.example/emulator"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	crashDelay   = 10 * time.Millisecond // from the start of a deadly task to the crash
	crashesAtEnd = 3                     // after so many crashes under a task it may not be started three times more
)

// simCrashes are the tasks that crash each target that starts them.
type simCrashes struct {
	jobs     map[string]bool // whose first task is deadly
	crashes  map[string]int  // targets that have crashed under a task, sound or not
	late     map[string]int  // starts after crashesAtEnd crashes, by task
	outcomes map[string]placement.Outcome
	homes    map[string]*simCoordinator // of jobs that are not stored
	total    int
	dark     bool          // crashed hosts do not respond
	share    float64       // of the jobs
	newIDs   bool          // targets return under another ID
	outage   time.Duration // of a target that has crashed
}

func newSimCrashes() *simCrashes {
	return &simCrashes{
		jobs: map[string]bool{}, crashes: map[string]int{}, late: map[string]int{}, outcomes: map[string]placement.Outcome{},
		homes: map[string]*simCoordinator{}, outage: 3200 * time.Millisecond,
	}
}

// homeOf returns the coordinator that a job is submitted to: with deadly tasks always the
// same one, as gateways choose it by the job's ID, or else the given one.
func (c *simCrashes) homeOf(id string, random *simCoordinator) *simCoordinator {
	if c.share == 0 {
		return random
	}
	if c.homes[id] == nil {
		c.homes[id] = random
	}
	return c.homes[id]
}

func (c *simCrashes) deadly(task string) bool {
	return c.jobs[placement.JobID(task)] && strings.HasSuffix(task, ".0.0")
}

func (c *simCrashes) crashAfter(task string) (time.Duration, bool) { return crashDelay, c.deadly(task) }

func (c *simCrashes) started(task string) {
	if c.crashes[task] >= crashesAtEnd {
		c.late[task]++
	}
}

func (c *simCrashes) answered(id string, outcome placement.Outcome) { c.outcomes[id] = outcome }

// violations returns the deadly tasks that were started too often, and the sound jobs
// that failed.
func (c *simCrashes) violations() []string {
	var violations []string
	for task, starts := range c.late {
		if starts >= 3 {
			violations = append(violations, fmt.Sprintf("task %s was started %d times more after %d crashes", task, starts, crashesAtEnd))
		}
	}
	for id, outcome := range c.outcomes {
		if outcome == placement.Failed && !c.jobs[id] {
			violations = append(violations, "sound job "+id+" has failed")
		}
	}
	return violations
}

func (s *simulation) addTarget(i int) {
	capacity := placement.Resources{CPUMillis: 32000 + 16000*int64(i%3/2), MemoryMB: 1000}
	t := &simTarget{home: i % len(s.coordinators), ready: true, paths: map[string]*simPath{}}
	t.runner = emulator.NewRunner(placement.Description{
		ID: fmt.Sprintf("t%d", i), Service: "desk", Address: fmt.Sprintf("a%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
		Capacity: capacity, BootUnixMS: 1 + int64(i),
	}, emulator.RunnerOptions{
		Lease: simLease, StopTime: simStopTime,
		Work: func(task string, _ int) (time.Duration, bool) {
			if s.work != nil {
				return s.work(task), false
			}
			return time.Duration(20+s.random.IntN(int(s.longestRun.Milliseconds())-20)) * time.Millisecond, s.random.Float64() < s.failureRate
		},
		Percent: s.percent,
		Need:    s.need, Conditions: s.conditions, OnEndAcked: s.log.OnEndAcked, CrashAfter: s.crashes.crashAfter,
		OnStart: func(now time.Duration, task string) {
			s.log.OnStart(now, task)
			s.evacuations.started(s, t, task)
			s.documents.started(s, t, task)
			s.crashes.started(task)
		},
	})
	s.targets = append(s.targets, t)
	s.after(time.Duration(s.random.IntN(300))*time.Millisecond, func() { s.heartbeat(t) })
}

// need returns what a task was submitted with; its name is ID.0.STEP.INDEX.
func (s *simulation) need(task string) placement.Resources {
	return s.submittedStep(task).Need
}

// planCrash lets a target crash at the time at which one of its runs does that.
func (s *simulation) planCrash(t *simTarget) {
	at, crashes := t.runner.CrashAt()
	if !crashes {
		return
	}
	boot := t.runner.Description.BootUnixMS
	s.after(max(at-s.now, 0), func() {
		if !t.down && !t.gone && t.runner.Description.BootUnixMS == boot {
			s.crashByTask(t)
		}
	})
}

// crashByTask ends a target's boot; the next one follows after the outage.
func (s *simulation) crashByTask(t *simTarget) {
	t.runner.Advance(s.now)
	for _, task := range t.runner.RunningTasks() {
		s.crashes.crashes[task]++
	}
	s.crashes.total++
	t.boots++
	t.down, t.refuses = true, !s.crashes.dark
	id := t.runner.Description.ID
	t.formerIDs = append(t.formerIDs, id)
	if s.crashes.newIDs {
		t.runner.Description.ID = fmt.Sprintf("%s.%d", t.formerIDs[0], len(t.formerIDs))
	}
	t.runner.Reboot(s.now, s.now.Milliseconds(), 1)
	for _, l := range t.polls {
		l.done = true
		if t.refuses {
			l.answer(placement.OrderResponse{Order: l.order.Order})
		}
	}
	t.polls = nil
	s.after(s.crashes.outage, func() {
		t.down = false
		s.firstHeartbeat(t)
	})
}

// refuseIfDown responds to an order whose target has crashed, unless its host is silent.
func (s *simulation) refuseIfDown(t *simTarget, order uint64, reply func(placement.OrderResponse)) {
	if s.crashes.share == 0 {
		return
	}
	s.after(s.delay(), func() {
		if t.down && t.refuses && !t.partitioned {
			reply(placement.OrderResponse{Order: order, Result: placement.Unavailable, ConnectionRefused: true})
		}
	})
}

// hasOtherID reports whether an order finds another target at the address, and responds
// to it.
func (s *simulation) hasOtherID(t *simTarget, target string, order uint64, reply func(placement.OrderResponse)) bool {
	if t.runner.Description.ID == target {
		return false
	}
	s.after(s.delay(), func() {
		reply(placement.OrderResponse{Order: order, Result: placement.OtherBoot, BootUnixMS: t.runner.Description.BootUnixMS})
	})
	return true
}

// loadDeadly submits jobs like load; a share of them have a deadly task until a time.
func (s *simulation) loadDeadly(perSecond int, deadlyUntil, until time.Duration) {
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/float64(perSecond)), func() {
		job := s.newJob()
		if s.now < deadlyUntil && s.random.Float64() < s.crashes.share {
			s.crashes.jobs[job.ID] = true
		}
		s.submit(job)
		if s.now < until {
			s.loadDeadly(perSecond, deadlyUntil, until)
		}
	})
}

func lossToLog(l *placement.RunLoss) *wire.RunLoss {
	if l == nil {
		return nil
	}
	return &wire.RunLoss{Run: int64(l.Run), Target: l.Target, Loss: &wire.TargetLoss{
		Address: l.Address, BornUnixMs: l.BootUnixMS, Alone: l.Alone, Newest: l.Newest, Crashed: l.Crashed,
	}}
}

func lossFromLog(l *wire.RunLoss) placement.RunLoss {
	t := l.GetLoss()
	return placement.RunLoss{Run: int(l.GetRun()), Target: l.GetTarget(), TargetLoss: placement.TargetLoss{
		Address: t.GetAddress(), BootUnixMS: t.GetBornUnixMs(), Alone: t.GetAlone(), Newest: t.GetNewest(), Crashed: t.GetCrashed(),
	}}
}

func (s *simulation) giveUp(c *simCoordinator, e *placement.GiveUpRun) {
	s.propose(c, &wire.JobCommand{Body: &wire.JobCommand_GiveUp{
		GiveUp: &wire.RunGiveUp{Task: e.Task, Run: int64(e.Run), Loss: lossToLog(e.Loss)},
	}}, nil)
}

func (s *simulation) recordLoss(c *simCoordinator, e *placement.RecordLoss) {
	s.propose(c, &wire.JobCommand{Body: &wire.JobCommand_Loss{
		Loss: &wire.TaskLoss{Task: e.Task, Loss: lossToLog(&e.Loss), Cleared: e.Cleared},
	}}, nil)
}

// cancelDeadly cancels the stored jobs with a deadly task, which have no other end.
func (s *simulation) cancelDeadly() {
	for _, j := range s.log.table.Jobs() {
		if s.crashes.jobs[j.ID] {
			s.propose(s.coordinators[0], &wire.JobCommand{Body: &wire.JobCommand_Cancel{Cancel: &wire.JobCancel{JobId: j.ID}}}, nil)
		}
	}
}
