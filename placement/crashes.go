package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// returnDelay is how long after a loss a target that is available counts as back.
	// Until then it may be a report from before the loss.
	returnDelay = time.Second
	// evidenceWait is how long a target that was lost may take to return. A target that
	// has crashed is back after some seconds.
	evidenceWait = 8 * time.Second
	// evidenceInterval is how often lost targets are compared with those available.
	evidenceInterval = 100 * time.Millisecond
)

// Reasons for which a target is dropped that may have crashed.
const (
	droppedSilent    = "silent"
	droppedRestarted = "restarted"
	droppedOtherBoot = "response from another boot"
)

// droppedDeregistered is the reason for which a target is dropped whose process ends as
// planned.
const droppedDeregistered = "deregistered"

// lostTarget is a target that was lost here and may have crashed.
type lostTarget struct {
	id   string
	loss TargetLoss
	at   time.Duration
	runs []string
}

// noteNeighbours records which runs share the target with one that is to be started.
func (t *target) noteNeighbours(started *run) {
	for _, r := range t.runs {
		r.accompanied, started.accompanied = true, true
	}
	if started.exclusive {
		t.reservedUntil = 0
	}
}

// lossOf describes the loss of a run with its target, or returns nil if the target
// has not crashed: it was stopped as planned, or has another owner.
func (t *target) lossOf(r *run, reason string) *TargetLoss {
	if t.Draining {
		return nil
	}
	loss := &TargetLoss{Address: t.Address, BootUnixMS: t.BootUnixMS, Alone: !r.accompanied && r.confirmed}
	switch reason {
	case droppedSilent:
		loss.Newest = t.refuses
	case droppedOtherBoot, droppedRestarted:
		loss.Newest, loss.Crashed = true, true
	default:
		return nil
	}
	for _, other := range t.runs {
		loss.Newest = loss.Newest && other.orderedAt <= r.orderedAt
	}
	return loss
}

// watchLost keeps a target that may have crashed until that is known.
func (c *Core) watchLost(t *target, reason string) {
	runs := sortedRuns(t)
	if len(runs) == 0 {
		return
	}
	loss := t.lossOf(runs[0], reason)
	if loss == nil {
		return
	}
	lost := lostTarget{id: t.ID, loss: *loss, at: c.now}
	for _, r := range runs {
		lost.runs = append(lost.runs, r.key.task+"/"+strconv.Itoa(r.key.run))
	}
	c.lostTargets = append(c.lostTargets, lost)
}

// knownBoots are the boots of the targets that are available here or at a peer.
type knownBoots struct {
	byID      map[string]int64
	byAddress map[string]int64
}

func (c *Core) knownBoots() knownBoots {
	known := knownBoots{map[string]int64{}, map[string]int64{}}
	add := func(id, address string, boot int64) {
		known.byID[id] = max(known.byID[id], boot)
		if address != "" {
			known.byAddress[address] = max(known.byAddress[address], boot)
		}
	}
	for _, t := range c.targets {
		if t.owned && t.failedPolls == 0 {
			add(t.ID, t.Address, t.BootUnixMS)
		}
	}
	for _, p := range c.peers {
		for i := range p.targets {
			add(p.targets[i].Target, p.targets[i].Address, p.targets[i].BootUnixMS)
		}
	}
	return known
}

// verdict is what is known of a lost target.
type verdict int

const (
	undecided verdict = iota
	crashed
	returned    // with the same boot
	notReturned // for evidenceWait
)

var verdictNames = [...]string{"undecided", "crashed", "returned", "not returned"}

func (v verdict) String() string { return verdictNames[v] }

// judge returns what is known of a target that was lost at a time.
func (k *knownBoots) judge(id string, loss *TargetLoss, age time.Duration) verdict {
	switch {
	case loss.Crashed:
		return crashed
	case loss.BootUnixMS != 0 && (k.byID[id] > loss.BootUnixMS || k.byAddress[loss.Address] > loss.BootUnixMS):
		return crashed
	case loss.BootUnixMS != 0 && k.byID[id] == loss.BootUnixMS && age >= returnDelay:
		return returned
	case age >= evidenceWait:
		return notReturned
	}
	return undecided
}

// checkCrashes decides which lost targets have crashed.
func (c *Core) checkCrashes() {
	c.endReservations()
	if c.now-c.crashesCheckedAt < evidenceInterval || len(c.suspects)+len(c.lostTargets)+len(c.remembered) == 0 {
		return
	}
	c.crashesCheckedAt = c.now
	c.expireRemembered()
	known := c.knownBoots()
	c.lostTargets = slices.DeleteFunc(c.lostTargets, func(lost lostTarget) bool { return c.reportLost(&lost, &known) })
	c.removeCleared()
	for _, t := range slices.Clone(c.suspects) {
		if !t.job.ending {
			c.resolveLosses(t, &known)
		}
	}
}

// reportLost logs what has become of a lost target once that is known.
func (c *Core) reportLost(lost *lostTarget, known *knownBoots) bool {
	switch known.judge(lost.id, &lost.loss, c.now-lost.at) {
	case undecided:
		return false
	case crashed:
		c.logLost(lost, Decision{Event: "target_crashed"})
	case returned:
		c.logLost(lost, Decision{Event: "target_returned"})
	case notReturned:
		c.logLost(lost, Decision{Event: "target_not_returned"})
	}
	return true
}

func (c *Core) logLost(lost *lostTarget, d Decision) {
	d.Target, d.Reason = lost.id, strings.Join(lost.runs, " ")
	d.Age, d.BootUnixMS, d.Value = c.now-lost.at, lost.loss.BootUnixMS, int64(len(lost.runs))
	c.logDecision(d)
}

// lossInFlight keeps the loss of runs that the next boot of a target may start yet: if
// it does not, the earlier one may have.
func (t *target) lossInFlight(inFlight map[runKey]*run) {
	for _, r := range inFlight {
		r.crash = t.lossOf(r, droppedRestarted)
	}
}
