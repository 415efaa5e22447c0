package emulator

import (
	"time"

	"hawthornshore.example/placement"
)

// Crash ends all runs at the given time, without ends for a coordinator to read.
func (r *Runner) Crash(now time.Duration) {
	r.Advance(now)
	for _, key := range r.sortedKeys() {
		r.records = append(r.records, RunRecord{Task: key.task, Started: r.runs[key].started, Ended: now, Kind: placement.EndOther})
	}
	r.runs = map[runKey]*activeRun{}
}
