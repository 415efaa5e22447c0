package placement

import (
	"slices"
	"time"
)

// reportRetention is how long a report waits for a link to its home. By then the
// home has aborted the job, see overdueGrace.
const reportRetention = overdueGrace

// queuedReport is a report that has not been sent yet.
type queuedReport struct {
	at     time.Duration
	report Report
}

func (c *Core) queueReport(home string, report Report) {
	c.reports[home] = append(c.reports[home], queuedReport{c.now, report})
}

// sendReports sends the reports whose homes are linked. The others wait: a
// target may be handed over before its new owner is linked to the homes of its
// runs.
func (c *Core) sendReports() {
	for _, name := range sortedKeys(c.reports) {
		if !c.linked[name] {
			continue
		}
		reports := make([]Report, 0, len(c.reports[name]))
		for i := range c.reports[name] {
			reports = append(reports, c.reports[name][i].report)
		}
		delete(c.reports, name)
		c.emit(SendReports{Peer: name, Reports: reports})
	}
}

// expireReports drops the reports that no home waits for any more.
func (c *Core) expireReports() {
	for name, queued := range c.reports {
		kept := slices.DeleteFunc(queued, func(q queuedReport) bool { return c.now-q.at >= reportRetention })
		if dropped := len(queued) - len(kept); dropped > 0 {
			c.logDecision(Decision{Event: "reports_dropped", Peer: name, Reason: "no link", Value: int64(dropped)})
		}
		if c.reports[name] = kept; len(kept) == 0 {
			delete(c.reports, name)
		}
	}
}
