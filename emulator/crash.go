package emulator

import "time"

// noteCrash records when a task that is started crashes the runner.
func (r *Runner) noteCrash(now time.Duration, task string) {
	if r.options.CrashAfter == nil {
		return
	}
	if after, crashes := r.options.CrashAfter(task); crashes && (r.crashAt == 0 || now+after < r.crashAt) {
		r.crashAt = now + after
	}
}

// CrashAt returns when a run crashes the runner, or false. The caller emulates the
// crash at that time, and calls Reboot.
func (r *Runner) CrashAt() (time.Duration, bool) { return r.crashAt, r.crashAt > 0 }
