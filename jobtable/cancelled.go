package jobtable

import (
	"time"

	"hawthornshore.example/wire"
)

const (
	// cancelRetention is how long a cancelled job that is not stored is recorded. A
	// repeat may arrive 12 s late; clocks of proposers differ by seconds.
	cancelRetention = 30 * time.Second
	// maxCancelled bounds the records, to about 1 MB. The oldest are removed first.
	maxCancelled = 10_000
)

// CancelledJob is the record of a cancelled job that is not stored.
type CancelledJob struct {
	ID   string
	AtMS int64
}

// Cancelled returns the cancelled jobs that are not stored, oldest first.
func (t *Table) Cancelled() []CancelledJob { return t.cancelled }

// recordCancel records that a job that is not stored was cancelled. It was recorded
// before if the caller has repeated the cancellation.
func (t *Table) recordCancel(id string) {
	for i := range t.cancelled {
		if t.cancelled[i].ID == id {
			return
		}
	}
	t.cancelled = append(t.cancelled, CancelledJob{ID: id, AtMS: t.clockMS})
	t.cancelled = t.cancelled[max(len(t.cancelled)-maxCancelled, 0):]
}

func (t *Table) removeExpiredCancels() {
	for len(t.cancelled) > 0 && t.clockMS-t.cancelled[0].AtMS > cancelRetention.Milliseconds() {
		t.cancelled = t.cancelled[1:]
	}
}

func (t *Table) snapshotCancelled(state *wire.CoordinatorState) {
	for _, record := range t.cancelled {
		state.Cancelled = append(state.Cancelled, &wire.CancelledJob{JobId: record.ID, AtUnixMs: record.AtMS})
	}
}

func (t *Table) restoreCancelled(state *wire.CoordinatorState) {
	t.cancelled = nil
	for _, record := range state.GetCancelled() {
		t.cancelled = append(t.cancelled, CancelledJob{ID: record.GetJobId(), AtMS: record.GetAtUnixMs()})
	}
}
