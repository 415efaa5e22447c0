package placement

import "time"

// health tracks the failed, stalled and slow runs of a target.
type health struct {
	failures    int           // failed runs of different jobs in a row
	lastJob     string        // job of the last failed run
	failedAt    time.Duration // time of the last failed run
	pausedUntil time.Duration // no starts before
	probing     bool          // one run at a time until one succeeds
	ejections   int           // ejections in a row
	slowAt      time.Duration // time when a run was last seen to be slow
}

// admits reports whether a target with a number of runs may get another one.
func (h *health) admits(now time.Duration, runs int) bool {
	if now < h.pausedUntil {
		return false
	}
	return !h.probing || runs == 0
}

// suspect reports whether the target should be considered last.
func (h *health) suspect(now time.Duration) bool {
	return h.probing || h.failures > 0 && now-h.failedAt < suspectDuration || h.slowAt > 0 && now-h.slowAt < suspectDuration
}

// succeeded clears failures. Slowness is measured on the next runs.
func (h *health) succeeded() { *h = health{slowAt: h.slowAt} }

// stalled records a run that makes no progress.
func (h *health) stalled(now time.Duration) {
	h.pause(now, stallPause)
	h.probing = true
}

// slow records a run that takes several times as long as expected.
func (h *health) slow(now time.Duration) { h.slowAt = now }

// failed counts a failed run and reports whether the target is ejected for it.
func (h *health) failed(now time.Duration, task string) bool {
	job := JobID(task)
	h.failedAt = now
	if job != h.lastJob {
		h.failures++
	}
	h.lastJob = job
	if h.failures < ejectFailures || now < h.pausedUntil {
		return false
	}
	h.pause(now, min(ejectDuration<<min(h.ejections, 8), maxEjectDuration))
	h.ejections++
	h.probing = true
	return true
}

func (h *health) pause(now, length time.Duration) { h.pausedUntil = max(h.pausedUntil, now+length) }
