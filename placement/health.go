package placement

import "time"

// health tells targets that fail what they start from sound ones.
type health struct {
	failures int           // failed runs of different jobs in a row
	lastJob  string        // job of the last failed run
	failedAt time.Duration // time of the last failed run
	until    time.Duration // no starts before
	probing  bool          // one run at a time until one succeeds
	pauses   int           // ejections in a row
	slowAt   time.Duration // time when a run was last seen to be slow
}

// admits reports whether a target with a number of runs may get another one.
func (h *health) admits(now time.Duration, runs int) bool {
	if now < h.until {
		return false
	}
	return !h.probing || runs == 0
}

// suspect reports whether the target should come last.
func (h *health) suspect(now time.Duration) bool {
	return h.probing || h.failures > 0 && now-h.failedAt < suspectTime || h.slowAt > 0 && now-h.slowAt < suspectTime
}

// succeeded forgets failures. Slowness is told by the next runs.
func (h *health) succeeded() { *h = health{slowAt: h.slowAt} }

// stalled takes note of a run that stands still.
func (h *health) stalled(now time.Duration) {
	h.pause(now, stallPause)
	h.probing = true
}

// slow takes note of a run that takes several times as long as expected.
func (h *health) slow(now time.Duration) { h.slowAt = now }

// failed counts a failed run and reports whether the target is ejected for it.
func (h *health) failed(now time.Duration, task string) bool {
	job := JobID(task)
	h.failedAt = now
	if job != h.lastJob {
		h.failures++
	}
	h.lastJob = job
	if h.failures < ejectFailures || now < h.until {
		return false
	}
	h.pause(now, min(ejectTime<<min(h.pauses, 8), maxEjectTime))
	h.pauses++
	h.probing = true
	return true
}

func (h *health) pause(now, length time.Duration) { h.until = max(h.until, now+length) }
