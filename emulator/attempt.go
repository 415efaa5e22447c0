package emulator

import (
	"encoding/json"
	"time"

	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
)

// attempt is the target's record of one attempt. The target's mutex guards the
// report, which is final once ended is closed.
type attempt struct {
	id          structs.AttemptID
	report      targetapi.AttemptReport
	cancel      chan struct{} // closed to stop the task
	ended       chan struct{} // closed when the attempt is done, failed or refused
	removeAfter time.Time     // when the record of an ended attempt may be removed
}

// payload holds the fields of a task's payload that the emulator interprets.
type payload struct {
	RunMS *float64        `json:"run_ms"`
	Fail  bool            `json:"fail"`
	Echo  json.RawMessage `json:"echo"`
}

// parsePayload ignores a payload that is not an object of this form, because
// payloads are opaque to the dispatcher and may have any shape.
func parsePayload(data json.RawMessage) payload {
	var p payload
	if err := json.Unmarshal(data, &p); err != nil {
		return payload{}
	}
	return p
}

// output is the result of a task. Echo returns the payload's field unchanged, so
// that a caller can check that the result belongs to its own request.
type output struct {
	AttemptID string          `json:"attempt_id"`
	TargetID  string          `json:"target_id"`
	Echo      json.RawMessage `json:"echo,omitempty"`
}

func (a *attempt) isRunning() bool {
	return a.report.State == targetapi.AttemptAccepted || a.report.State == targetapi.AttemptRunning
}

// end sets the final state. The caller holds the target's mutex.
func (a *attempt) end(state targetapi.AttemptState, message string, now time.Time) {
	a.report.State = state
	a.report.Message = message
	a.removeAfter = now.Add(recordRetention)
	close(a.ended)
}

// recordRetention is how long the record of an ended attempt is kept. Entry
// instances drop a job AnswerRetention after its end and never reuse its attempt
// IDs.
const recordRetention = 10 * structs.AnswerRetention

// isFinal reports whether the attempt has ended.
func (a *attempt) isFinal() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}
