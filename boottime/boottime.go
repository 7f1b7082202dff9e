// Package boottime reads CLOCK_BOOTTIME, which is not adjusted with the wall clock and continues while the host is
// suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted as a time.Time. Differences between its results include the time that the
// host was suspended; the calendar date is meaningless. The monotonic clock of the Go runtime stops during a suspension, so
// it cannot bound how long a lease or permission is held.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
