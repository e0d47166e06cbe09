// Package clock provides the clock by which leases are measured, and timers and deadlines on it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted. The clock is monotonic and also counts the time
// during which the machine is suspended, so that a node that resumes finds its lease expired. All
// processes of one machine read the same clock.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// The call cannot fail on a kernel that supports this clock. Without the clock no lease
		// can be kept safely.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(reading.Nano() + testOffset.Load())
}

// WallMillis returns the wall-clock time in Unix milliseconds. Use it for display only.
func WallMillis() int64 { return time.Now().UnixMilli() }
