package dispatch

import "hawthornshore.example/structs"

// attemptRef names the current attempt of a task.
type attemptRef struct {
	job  *job
	task int
}

// target is one target that this instance manages, or managed while attempts of
// this instance still run on it.
type target struct {
	ref      *structs.TargetRef // replaced, never changed, with a new incarnation
	previous string             // the incarnation before this one
	ann      structs.Announcement
	epoch    int // counts incarnations
	managed  bool
	expired  bool
	suspect  bool  // silent or unreachable since the last announcement
	expiry   timer // fires when announcements are missing
	used     int   // slots held by attempts of this instance
	foreign  int   // slots in use by attempts that an earlier manager started
	loans    []lentSlot
	doubts   int // announcements in a row that contradict the loans
	attempts []attemptRef
	health

	pool    *pool
	counted int // slots included in the fleet's total
	free    int // free slots included in the fleet's free count
	tier    int // tier of the bucket that holds the target
	bucket  int // free slots as filed; 0 when not filed
	pos     int // position within the bucket
	member  int // position in fleet.members plus one; 0 when not there

	// Early-binding policies only.
	bound   []attemptRef // tasks that wait for a slot of this target
	touched bool
}

// usable reports whether the target may get new work.
func (t *target) usable() bool {
	return t.present() && !t.ejected
}

// present reports whether the target announces itself as ready and answers.
func (t *target) present() bool {
	return t.managed && !t.expired && !t.suspect && t.ann.State == structs.TargetReady
}

// fits reports whether the target's slots are large enough; sizes that a target
// does not announce are not limited.
func fits(cores float64, mb int64, task *structs.Task) bool {
	return (cores == 0 || task.DeclaredCores <= cores) && (mb == 0 || task.DeclaredMB <= mb)
}
