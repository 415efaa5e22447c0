package placement

import "time"

const (
	// firstRefusalPause is how long a step's tasks stay away from a target after the second
	// refusal in a row. The first one mostly comes from a view that was old, and the home
	// has the target's free capacity again by then.
	firstRefusalPause = 20 * time.Millisecond
	// longestRefusalPause bounds the pause, which doubles with each refusal in a row. The
	// home does not see why such a target refuses, nor when the reason ends.
	longestRefusalPause = time.Second
)

// refusalKey identifies the placements that a target refuses alike: the tasks of a step,
// apart from those that may run beside no other suspect.
type refusalKey struct {
	step    int
	target  string
	suspect bool
}

// refusals are the pauses of a job's tasks after refused placements.
type refusals map[refusalKey]refusalPause

type refusalPause struct {
	length time.Duration
	until  time.Duration
}

func (t *task) refusalKey(target string) refusalKey {
	return refusalKey{step: t.step, target: target, suspect: t.suspected()}
}

// refusedBy reports whether a target has refused a task like this one a short time ago.
func (t *task) refusedBy(target string, now time.Duration) bool {
	return len(t.job.refusals) > 0 && now < t.job.refusals[t.refusalKey(target)].until
}

// noteRefusal keeps tasks like this one away from a target that refuses them repeatedly. A
// refusal counts as the first one if the last pause ended longer ago than the longest one.
func (t *task) noteRefusal(target string, now time.Duration) {
	if t.job.refusals == nil {
		t.job.refusals = refusals{}
	}
	key := t.refusalKey(target)
	var length time.Duration
	if last, ok := t.job.refusals[key]; ok && now < last.until+longestRefusalPause {
		length = min(max(2*last.length, firstRefusalPause), longestRefusalPause)
	}
	t.job.refusals[key] = refusalPause{length, now + length}
}

// noteAccepted ends the pauses of tasks like this one at a target that runs it.
func (t *task) noteAccepted(target string) { delete(t.job.refusals, t.refusalKey(target)) }
