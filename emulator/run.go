package emulator

import (
	"encoding/json"
	"time"

	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
)

// startAttempt starts an attempt, refuses it permanently, or returns the existing one.
func (t *Target) startAttempt(id structs.AttemptID, req targetapi.StartRequest, received time.Time) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.attempts[id]; a != nil {
		return a
	}
	if cause := t.refusalCause(req, received); cause != "" {
		return t.refuse(id, cause)
	}
	// The line is written before the task starts. If the write fails, part of
	// the line may be in the file, so the attempt must never run.
	if err := t.record.append(t.startLine(id)); err != nil {
		t.log.Error().Str("event", "start_record_failed").Err(err).Send()
		return t.refuse(id, targetapi.CauseFault)
	}
	a := t.newAttempt(id, targetapi.AttemptAccepted)
	t.attempts[id] = a
	t.running++
	t.starts++
	t.tasks.Add(1)
	go t.run(a, t.behaviourOf(req))
	return a
}

// refusalCause returns the cause for which a start is refused, or "". The caller
// holds the mutex.
func (t *Target) refusalCause(req targetapi.StartRequest, received time.Time) string {
	window := time.Duration(req.StartWithinMS) * time.Millisecond
	switch {
	case t.closed:
		return targetapi.CauseLeaving
	case t.state == structs.TargetLeaving && !t.faults.AcceptWhileLeaving:
		return targetapi.CauseLeaving
	case window > 0 && time.Since(received) > window:
		return targetapi.CauseExpired
	case t.running >= t.options.Slots:
		return targetapi.CauseBusy
	}
	return ""
}

// refuse records that an attempt has not started and never will. The caller
// holds the mutex.
func (t *Target) refuse(id structs.AttemptID, cause string) *attempt {
	a := t.newAttempt(id, targetapi.AttemptRefused)
	a.report.Cause = cause
	a.end(targetapi.AttemptRefused, "", time.Now())
	t.attempts[id] = a
	t.log.Info().Str("event", "start_refused").Str("attempt", id.String()).Str("cause", cause).Send()
	return a
}

func (t *Target) newAttempt(id structs.AttemptID, state targetapi.AttemptState) *attempt {
	return &attempt{
		id: id,
		report: targetapi.AttemptReport{
			AttemptID:   id.String(),
			Incarnation: t.options.Incarnation,
			State:       state,
		},
		cancel: make(chan struct{}),
		ended:  make(chan struct{}),
	}
}

func (t *Target) startLine(id structs.AttemptID) StartLine {
	return StartLine{
		AttemptID:   id.String(),
		JobID:       id.Job.String(),
		Task:        id.Task,
		TargetID:    t.options.ID,
		Incarnation: t.options.Incarnation,
		UnixMS:      time.Now().UnixMilli(),
	}
}

// taskBehaviour holds the run time and the result of a task.
type taskBehaviour struct {
	runTime time.Duration
	fail    bool
	echo    json.RawMessage
}

// behaviourOf determines a task's run time and result. The caller holds the mutex.
func (t *Target) behaviourOf(req targetapi.StartRequest) taskBehaviour {
	p := parsePayload(req.Payload)
	runTime := t.options.RunTime.Sample(t.random)
	if p.RunMS != nil {
		runTime = time.Duration(*p.RunMS * float64(time.Millisecond))
	}
	if t.faults.Slowdown > 0 {
		runTime = time.Duration(float64(runTime) * t.faults.Slowdown)
	}
	return taskBehaviour{runTime: runTime, fail: p.Fail || t.faults.FailAll, echo: p.Echo}
}

// run emulates the task with a timer and records its end, unless the target is
// stopped first, as in a crash.
func (t *Target) run(a *attempt, b taskBehaviour) {
	defer t.tasks.Done()
	started := time.Now()
	timer := time.NewTimer(b.runTime)
	defer timer.Stop()
	cancelled := false
	select {
	case <-timer.C:
	case <-a.cancel:
		cancelled = true
	case <-t.stopped.Done():
		return
	}
	if t.unpaused.wait(t.stopped) != nil { // a paused target reports no end
		return
	}
	t.recordEnd(a, b, cancelled, time.Since(started))
}

// recordEnd records how an attempt ended and frees its slot.
func (t *Target) recordEnd(a *attempt, b taskBehaviour, cancelled bool, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	a.report.RunMS = elapsed.Milliseconds()
	switch {
	case cancelled:
		a.end(targetapi.AttemptFailed, "cancelled", time.Now())
	case b.fail:
		a.end(targetapi.AttemptFailed, "failure requested", time.Now())
	default:
		a.report.Output = t.output(a.id, b)
		a.end(targetapi.AttemptDone, "", time.Now())
	}
}

func (t *Target) output(id structs.AttemptID, b taskBehaviour) json.RawMessage {
	data, err := json.Marshal(output{AttemptID: id.String(), TargetID: t.options.ID, Echo: b.echo})
	if err != nil {
		return nil // unreachable: Echo was parsed from JSON
	}
	return data
}

// tombstone refuses an attempt that has no record, and returns its report.
func (t *Target) tombstone(id structs.AttemptID) targetapi.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil {
		a = t.refuse(id, targetapi.CauseTombstone)
	}
	return a.report
}

// cancelAttempt cancels a running attempt, or refuses one that has not started, so
// that a cancellation that arrives before its start takes effect.
func (t *Target) cancelAttempt(id structs.AttemptID) targetapi.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil {
		return t.refuse(id, targetapi.CauseTombstone).report
	}
	select {
	case <-a.cancel:
	default:
		close(a.cancel)
	}
	return a.report
}

// report returns the current report of an attempt.
func (t *Target) report(id structs.AttemptID) targetapi.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.attempts[id]; a != nil {
		return a.report
	}
	return t.newAttempt(id, targetapi.AttemptUnknown).report
}
