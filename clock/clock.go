// Package clock reads the clock that leases are counted on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted. It is monotonic, and it
// goes on while the machine is suspended: a node that wakes up must find its
// lease expired. All processes of one machine read the same clock.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// The call cannot fail on a kernel that knows the clock; without it no
		// lease can be kept safely.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(reading.Nano() + leapt.Load())
}

// WallMillis returns the wall clock in Unix milliseconds, for display only.
func WallMillis() int64 { return time.Now().UnixMilli() }
