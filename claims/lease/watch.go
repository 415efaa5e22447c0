package lease

import (
	"maps"
	"slices"
	"time"

	"hawthornshore.example/structs"
)

// ExpiryMonitor decides, at the leader of the voters, which members' leases have ended.
// A renewal was requested before it was applied here, so that the local time of
// the first look after it is a safe start of the count. A new leader begins with
// a new ExpiryMonitor and so waits a whole lease for every member. CommandExpire takes effect
// only if no renewal was committed in between, so that a leader that was
// replaced does no harm.
type ExpiryMonitor struct {
	observed map[string]observation
}

type observation struct {
	renewals uint64
	joined   uint64
	at       time.Time
}

// NewExpiryMonitor returns a watch that has seen no renewal.
func NewExpiryMonitor() *ExpiryMonitor { return &ExpiryMonitor{observed: make(map[string]observation)} }

// anyRecentRenewal says whether some member has renewed just now. If none has, the data
// centre is cut off from the voters: its members act under promises, and no one
// could take over from them.
func (w *ExpiryMonitor) anyRecentRenewal(now time.Time) bool {
	for _, o := range w.observed {
		if now.Sub(o.at) <= recentRenewalWindow {
			return true
		}
	}
	return false
}

// recentRenewalWindow is longer than structs.OwnerRenewInterval, so that a member that
// renews is seen, and shorter than ExpiryDelay less that interval, so that the members
// of a data centre that is cut off are not.
const recentRenewalWindow = 3 * structs.OwnerRenewInterval / 2

// ExpireCommands returns the commands to propose now. The leader calls it at least once
// per structs.OwnerRenewInterval with the state it has applied. The time must be
// read after that state: with an older time, a process that was paused between
// the two would count a lease from before its renewal.
func (w *ExpiryMonitor) ExpireCommands(now time.Time, a *Agreement) []Command {
	maps.DeleteFunc(w.observed, func(name string, _ observation) bool { return a.Members[name] == nil })
	var out []Command
	for _, name := range slices.Sorted(maps.Keys(a.Members)) {
		m := a.Members[name]
		o, ok := w.observed[name]
		if !ok || o.renewals != m.Renewals || o.joined != m.Joined {
			w.observed[name] = observation{m.Renewals, m.Joined, now}
			continue
		}
		if now.Sub(o.at) >= ExpiryDelay && w.anyRecentRenewal(now) {
			out = append(out, Command{Kind: CommandExpire, Instance: name, Epoch: a.Epoch, Renewals: m.Renewals})
		}
	}
	return out
}
