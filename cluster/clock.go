package cluster

import (
	"time"

	"golang.org/x/sys/unix"
)

// steadyNow reads the clock that goes on while the machine is suspended, so that
// a coordinator that wakes up sees that its leases are old. Go's monotonic
// clock stands still then.
func steadyNow() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock on this kernel
	}
	return time.Duration(now.Nano())
}
