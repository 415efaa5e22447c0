package experiment

import (
	"strconv"
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// attemptState is a target's record of an attempt that it started.
type attemptState struct {
	ended   bool
	failed  bool
	runTime time.Duration
}

// modelTarget is the service-time model of one target. Each slot runs one task at
// a time, for the task's run time multiplied by the target's slowdown.
type modelTarget struct {
	id                 string
	incarnationNumber  int
	slots              int
	unresponsive       bool // does not respond
	connectionsRefused bool
	leaving            bool
	slowdown           float64
	failing            bool
	manager            *instance
	running            int
	attempts           map[structs.AttemptID]*attemptState
	tombstones         map[structs.AttemptID]bool
}

func (t *modelTarget) incarnation() string { return strconv.Itoa(t.incarnationNumber) }

func (t *modelTarget) up() bool { return !t.unresponsive && !t.connectionsRefused }

// restart starts a new incarnation without any attempts.
func (t *modelTarget) restart() {
	t.incarnationNumber++
	t.running = 0
	t.attempts = make(map[structs.AttemptID]*attemptState)
	t.tombstones = make(map[structs.AttemptID]bool)
}

func (t *modelTarget) announcement() structs.Announcement {
	a := structs.Announcement{
		TargetID: t.id, Incarnation: t.incarnation(), Address: "127.0.0.1:1", State: structs.TargetReady,
		Slots: t.slots, Running: t.running,
	}
	if t.leaving {
		a.State = structs.TargetLeaving
	}
	return a
}

// refusalCause returns why the target refuses an attempt, or "".
func (t *modelTarget) refusalCause(e *dispatch.StartAttempt) (cause dispatch.RefusalCause) {
	switch {
	case e.Target.Incarnation != t.incarnation():
		return dispatch.RefusedIncarnation
	case t.tombstones[e.Attempt]:
		return dispatch.RefusedTombstone
	case t.leaving:
		return dispatch.RefusedLeaving
	case t.running >= t.slots:
		return dispatch.RefusedBusy
	}
	return ""
}
