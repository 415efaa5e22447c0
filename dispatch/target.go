package dispatch

import "hawthornshore.example/structs"

// attemptRef refers to the current attempt of a task.
type attemptRef struct {
	job  *job
	task int
}

// target is a target that this instance manages, or that it managed earlier and
// that still has live attempts of this instance.
type target struct {
	ref            *structs.TargetRef // replaced, never changed, with a new incarnation
	previous       string             // the incarnation before this one
	ann            structs.Announcement
	epoch          int // counts incarnations
	managed        bool
	expired        bool
	suspect        bool  // unresponsive or unreachable since the last announcement
	expiry         timer // fires when announcements stop
	used           int   // slots held by attempts of this instance
	foreign        int   // slots used by attempts that this instance did not start
	loans          []loan
	loanMismatches int // announcements in a row that contradict the loans
	attempts       []attemptRef
	health

	pool         *pool
	countedSlots int // slots included in the fleet's total
	free         int // free slots included in the fleet's free count
	tier         int // tier of the bucket that holds the target
	bucket       int // bucket within the tier; 0 when in none
	bucketIndex  int // position within the bucket
	usableIndex  int // position in fleet.usable plus one; 0 when not there

	// Early-binding policies only.
	bound []attemptRef // tasks waiting for a slot of this target
	dirty bool
}

// usable reports whether the target may get new work other than probes.
func (t *target) usable() bool {
	return t.ready() && !t.ejected
}

// ready reports whether the target is managed, responsive and announced as ready.
func (t *target) ready() bool {
	return t.managed && !t.expired && !t.suspect && t.ann.State == structs.TargetReady
}

// fits reports whether slots of the given size are large enough for the task; a
// size of 0 was not announced and is unlimited.
func fits(cores float64, mb int64, task *structs.Task) bool {
	return (cores == 0 || task.DeclaredCores <= cores) && (mb == 0 || task.DeclaredMB <= mb)
}
