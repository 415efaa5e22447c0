package cluster

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottimeNow reads a monotonic clock that also counts while the machine is
// suspended, so that a coordinator detects its expired leases after a resume.
// Go's monotonic clock stops during a suspend.
func boottimeNow() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // the kernel lacks this clock
	}
	return time.Duration(now.Nano())
}
