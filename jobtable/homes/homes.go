// Package homes decides which coordinators may be homes of stored jobs and owners of
// targets, and which have to be given up. It has no I/O and reads no clock.
//
// A home learns of its jobs from the log, and starts their runs only while it can confirm
// with the log that it still is their home. A link shows neither: a coordinator may be
// linked to all others and not follow the log. So a coordinator is fit to be a home as
// long as it has read the log to its end a short time ago. Each coordinator reports the
// age of its newest read with the heartbeats of its links.
//
// The owner of a target records the ends of stored jobs' runs in the log, so it has to
// follow the log too.
//
// A home that is given up may still start runs, for as long as its last confirmation
// lasts; the next home waits for that time. Jobs may therefore move at any moment.
package homes

import (
	"maps"
	"slices"
	"time"
)

const (
	// ReadFreshFor is how old the newest read of a coordinator that is fit may be. A home
	// without a later one starts nothing by then.
	ReadFreshFor = 1500 * time.Millisecond
	// LostAfter is how long a home may be unfit before its jobs move; a link that was reset
	// is up again within half a second, and the log has another leader in less than two.
	LostAfter = 1500 * time.Millisecond
	// OwnerLostAfter is how long a coordinator may be unfit, while another one is fit, before
	// it owns no targets any more. It is longer than LostAfter, so that no targets change
	// their owner during an election.
	OwnerLostAfter = 3 * time.Second
)

// Coordinator is what is known of a linked coordinator, or of the own one.
type Coordinator struct {
	Name     string
	Home     string // its process, as a home of stored jobs
	Draining bool
	// ReportsReads is false for earlier versions, which are fit while they are linked.
	ReportsReads bool
	HasRead      bool          // it has read the log to its end
	ReadAt       time.Duration // when its newest read began, by the clock of the observer
}

// Fit reports whether a coordinator may be a home.
func (c *Coordinator) Fit(now time.Duration) bool {
	return !c.ReportsReads || c.HasRead && now-c.ReadAt <= ReadFreshFor
}

// Candidates returns the homes that may take over the jobs of another one.
func Candidates(now time.Duration, coordinators []Coordinator, from string) []string {
	var candidates []string
	for i := range coordinators {
		if c := &coordinators[i]; c.Home != from && !c.Draining && c.Fit(now) {
			candidates = append(candidates, c.Home)
		}
	}
	return candidates
}

// Loss is a home that has to be given up.
type Loss struct {
	Home    string
	Linked  bool
	ReadAge time.Duration // of its newest read, if it is linked; 0: it has read nothing
}

// Watch tells which homes, or owners, have been unfit for too long. It sees the state at
// each call only, so it has to be called several times within lostAfter.
type Watch struct {
	lostAfter  time.Duration
	unfitSince map[string]time.Duration
}

// NewWatch returns a watch that gives a home up after it was unfit for a time.
func NewWatch(lostAfter time.Duration) *Watch {
	return &Watch{lostAfter: lostAfter, unfitSince: map[string]time.Duration{}}
}

// Reset forgets all observations.
func (w *Watch) Reset() { clear(w.unfitSince) }

// LostOwners returns the coordinators that must not own targets, because they could not
// record the ends of their runs in the log. While none can, each may: it still serves the
// jobs that are not stored.
func (w *Watch) LostOwners(now time.Duration, coordinators []Coordinator) map[string]bool {
	if !slices.ContainsFunc(coordinators, func(c Coordinator) bool { return c.Fit(now) }) {
		w.Reset()
		return nil
	}
	names := make([]string, len(coordinators))
	for i := range coordinators {
		names[i] = coordinators[i].Home
	}
	lost := map[string]bool{}
	for _, loss := range w.Lost(now, names, coordinators) {
		lost[loss.Home] = true
	}
	return lost
}

// Lost returns those of the homes that have to be given up, in the order of their names.
func (w *Watch) Lost(now time.Duration, homes []string, coordinators []Coordinator) []Loss {
	maps.DeleteFunc(w.unfitSince, func(home string, _ time.Duration) bool { return !slices.Contains(homes, home) })
	var lost []Loss
	for _, home := range slices.Sorted(slices.Values(homes)) {
		known := slices.IndexFunc(coordinators, func(c Coordinator) bool { return c.Home == home })
		if known >= 0 && coordinators[known].Fit(now) {
			delete(w.unfitSince, home)
			continue
		}
		since, unfit := w.unfitSince[home]
		if !unfit {
			since, w.unfitSince[home] = now, now
		}
		if now-since < w.lostAfter {
			continue
		}
		loss := Loss{Home: home, Linked: known >= 0}
		if loss.Linked && coordinators[known].HasRead {
			loss.ReadAge = now - coordinators[known].ReadAt
		}
		lost = append(lost, loss)
	}
	return lost
}
