package placement

import (
	"slices"
	"time"
)

// reportKeepTime is how long a report waits for a link to its home. By then the
// home has given the job up, see overdue.
const reportKeepTime = overdue

// outgoing is a report that another coordinator has not been sent yet.
type outgoing struct {
	at     time.Duration
	report Report
}

func (c *Core) queueReport(home string, report Report) {
	c.reports[home] = append(c.reports[home], outgoing{c.now, report})
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

// forgetReports drops the reports that nobody waits for any more.
func (c *Core) forgetReports() {
	for name, waiting := range c.reports {
		kept := slices.DeleteFunc(waiting, func(o outgoing) bool { return c.now-o.at >= reportKeepTime })
		if dropped := len(waiting) - len(kept); dropped > 0 {
			c.decide(Decision{Event: "reports_dropped", Peer: name, Reason: "no link", Value: int64(dropped)})
		}
		if c.reports[name] = kept; len(kept) == 0 {
			delete(c.reports, name)
		}
	}
}
