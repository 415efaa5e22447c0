package jobtable

import (
	"slices"

	"hawthornshore.example/wire"
)

// maxLosses bounds the recorded losses of a task. The delay of its trials grows up to
// fewer crashes; the oldest losses are the least useful ones.
const maxLosses = 8

// recordLoss adds or replaces the record of a lost run, or removes it.
func (t *Table) recordLoss(c *wire.TaskLoss) (wire.CommandVerdict, []*Job) {
	j, task := t.find(c.GetTask())
	if j == nil {
		return verdictUnknownJob, nil
	}
	if task == nil || j.Ended() || task.Done() {
		return verdictTaken, nil
	}
	if c.GetCleared() {
		task.Losses = slices.DeleteFunc(slices.Clone(task.Losses), func(l *wire.RunLoss) bool { return l.GetRun() == c.GetLoss().GetRun() })
	} else {
		task.addLoss(c.GetLoss())
	}
	return verdictTaken, []*Job{j}
}

// addLoss adds or replaces the record of a lost run. A recorded crash stays one: the
// run may be given up after the next boot of its target was seen.
func (t *Task) addLoss(loss *wire.RunLoss) {
	if loss == nil {
		return
	}
	kept := make([]*wire.RunLoss, 0, len(t.Losses)+1)
	for _, old := range t.Losses {
		if old.GetRun() != loss.GetRun() {
			kept = append(kept, old)
		} else if old.GetLoss().GetCrashed() {
			loss = old
		}
	}
	kept = append(kept, loss)
	t.Losses = kept[max(len(kept)-maxLosses, 0):]
}
