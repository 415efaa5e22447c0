package lease

import (
	"maps"
	"slices"
	"time"

	"hawthornshore.example/structs"
)

// ExpiryMonitor decides, at the leader of the voters, which members' leases have
// ended. A renewal was requested before it was applied here, so that the lease may
// be counted from the local time of the first call after it. A new leader creates
// a new ExpiryMonitor and so waits a whole lease for every member. CommandExpire
// takes effect only if no renewal was committed in between, which makes the
// commands of a deposed leader harmless.
type ExpiryMonitor struct {
	observed map[string]observation
}

type observation struct {
	renewals uint64
	joined   uint64
	at       time.Time
}

// NewExpiryMonitor returns a monitor that has observed no renewal.
func NewExpiryMonitor() *ExpiryMonitor { return &ExpiryMonitor{observed: make(map[string]observation)} }

// anyRecentRenewal reports whether some member has renewed recently. If none has,
// the data centre is cut off from the voters: its members act under promises, and
// no instance could take over from them.
func (e *ExpiryMonitor) anyRecentRenewal(now time.Time) bool {
	for _, o := range e.observed {
		if now.Sub(o.at) <= recentRenewalWindow {
			return true
		}
	}
	return false
}

// recentRenewalWindow is longer than structs.OwnerRenewInterval, so that it covers a
// member that renews, and shorter than ExpiryDelay less that interval, so that it
// excludes the members of a data centre that is cut off.
const recentRenewalWindow = 3 * structs.OwnerRenewInterval / 2

// ExpireCommands returns the commands to propose now. The leader calls it at least
// once per structs.OwnerRenewInterval with the state it has applied. The time must
// be read after that state: with an older time, a process that was paused between
// the two would count a lease from before its renewal.
func (e *ExpiryMonitor) ExpireCommands(now time.Time, a *Agreement) []Command {
	maps.DeleteFunc(e.observed, func(name string, _ observation) bool { return a.Members[name] == nil })
	var out []Command
	for _, name := range slices.Sorted(maps.Keys(a.Members)) {
		m := a.Members[name]
		o, ok := e.observed[name]
		if !ok || o.renewals != m.Renewals || o.joined != m.Joined {
			e.observed[name] = observation{m.Renewals, m.Joined, now}
			continue
		}
		if now.Sub(o.at) >= ExpiryDelay && e.anyRecentRenewal(now) {
			out = append(out, Command{Kind: CommandExpire, Instance: name, Epoch: a.Epoch, Renewals: m.Renewals})
		}
	}
	return out
}
