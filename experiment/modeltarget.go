package experiment

import (
	"strconv"
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// attemptState is what a target knows about an attempt it began.
type attemptState struct {
	ended  bool
	failed bool
	run    time.Duration
}

// modelTarget is the service-time model of one target: slots that run one task
// each for the task's time times the target's slowness.
type modelTarget struct {
	id         string
	generation int
	slots      int
	dead       bool // answers nothing
	refusing   bool // connections are refused
	leaving    bool
	slowness   float64
	failing    bool
	manager    *node
	running    int
	known      map[structs.AttemptID]*attemptState
	tombstones map[structs.AttemptID]bool
}

func (t *modelTarget) incarnation() string { return strconv.Itoa(t.generation) }

func (t *modelTarget) up() bool { return !t.dead && !t.refusing }

// restart gives the target a new, empty process.
func (t *modelTarget) restart() {
	t.generation++
	t.running = 0
	t.known = make(map[structs.AttemptID]*attemptState)
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

// decide says whether the target begins an attempt now.
func (t *modelTarget) decide(e *dispatch.StartAttempt) (cause dispatch.RefusalCause) {
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
