package dispatch

import (
	"time"

	"hawthornshore.example/structs"
)

// attemptRef names the current attempt of a task.
type attemptRef struct {
	job  *job
	task int
}

// target is one target that this instance manages, or managed while attempts of
// this instance still run on it.
type target struct {
	ref      structs.TargetRef
	previous string // the incarnation before this one
	ann      structs.Announcement
	epoch    int // counts incarnations
	managed  bool
	expired  bool
	suspect  bool  // silent or unreachable since the last announcement
	expiry   timer // fires when announcements are missing
	seenAt   time.Duration
	used     int // slots held by attempts of this instance
	lent     int // slots lent to peers
	attempts []attemptRef

	pool    *pool
	counted int // slots included in the fleet's total
	free    int // free slots included in the fleet's free count
	tier    int // tier of the bucket that holds the target
	bucket  int // free slots as filed; 0 when not filed
	pos     int // position within the bucket
}

// usable reports whether the target may get new work.
func (t *target) usable() bool {
	return t.managed && !t.expired && !t.suspect && t.ann.State == structs.TargetReady
}

// fits reports whether the target's slots are large enough; sizes that a target
// does not announce are not limited.
func fits(cores float64, mb int64, task *structs.Task) bool {
	return (cores == 0 || task.DeclaredCores <= cores) && (mb == 0 || task.DeclaredMB <= mb)
}

// slot is the place where an attempt runs.
type slot struct {
	target   *target
	epoch    int
	index    int // position in target.attempts
	targetID string
}

func (s *slot) ref() structs.TargetRef { return s.target.ref }
