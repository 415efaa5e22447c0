// Package documents decides how the operators' document reaches the gateways. It has
// no I/O and reads no clock.
package documents

import "time"

// maxAnnouncements bounds the announced versions of a Lag. A process that is further
// behind takes the last of them for all later ones.
const maxAnnouncements = 64

// Lag tracks which versions this process has heard of without holding them, and for
// how long.
type Lag struct {
	held      uint64
	announced []announcement // versions above held, ascending in version and time
}

type announcement struct {
	version uint64
	at      time.Time
}

// Announced records that another process holds a version.
func (l *Lag) Announced(now time.Time, version uint64) {
	switch {
	case version <= l.Newest():
	case len(l.announced) == maxAnnouncements:
		l.announced[maxAnnouncements-1].version = version
	default:
		l.announced = append(l.announced, announcement{version, now})
	}
}

// Adopted records that this process holds a version, and returns the time since it
// heard first of one that it did not hold.
func (l *Lag) Adopted(now time.Time, version uint64) time.Duration {
	behind := l.Behind(now)
	l.held = max(l.held, version)
	for len(l.announced) > 0 && l.announced[0].version <= version {
		l.announced = l.announced[1:]
	}
	return behind
}

// Behind returns for how long this process has known of a newer version.
func (l *Lag) Behind(now time.Time) time.Duration {
	if len(l.announced) == 0 {
		return 0
	}
	return now.Sub(l.announced[0].at)
}

// Since returns when this process heard first of a version that it does not hold, or the
// zero time if it holds the newest one.
func (l *Lag) Since() time.Time {
	if len(l.announced) == 0 {
		return time.Time{}
	}
	return l.announced[0].at
}

// Newest returns the newest version that this process holds or has heard of.
func (l *Lag) Newest() uint64 {
	if n := len(l.announced); n > 0 {
		return l.announced[n-1].version
	}
	return l.held
}
