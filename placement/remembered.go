package placement

import "time"

// lossRetention is how long the losses of a job that is not stored are remembered after
// its end. Callers return with an aborted job within seconds.
const lossRetention = 30 * time.Second

// rememberedLosses are the losses of the tasks of a job that has ended.
type rememberedLosses struct {
	at     time.Duration
	byTask map[string][]loss
}

// rememberLosses keeps the losses of a job that is not stored for its next submission.
func (c *Core) rememberLosses(j *job) {
	if j.Stored {
		return
	}
	byTask := map[string][]loss{}
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.state != done && t.suspected() {
				byTask[t.name()] = t.losses
			}
		}
	}
	if len(byTask) > 0 {
		c.remembered[j.ID] = rememberedLosses{c.now, byTask}
	}
}

// recallLosses restores the losses of an earlier submission of a job.
func (c *Core) recallLosses(j *job) {
	remembered, ok := c.remembered[j.ID]
	if !ok {
		return
	}
	delete(c.remembered, j.ID)
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			for _, l := range remembered.byTask[t.name()] {
				t.runs = max(t.runs, l.Run)
				c.addLoss(t, &l)
			}
			if t.suspected() {
				c.judgeTask(t)
			}
		}
	}
}

func (c *Core) expireRemembered() {
	for id, remembered := range c.remembered {
		if c.now-remembered.at >= lossRetention {
			delete(c.remembered, id)
		}
	}
}
