// Package boottime reads a clock that neither jumps with the time of day nor stops while the host is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started as a time.Time. Its differences are durations that include suspensions;
// its calendar date means nothing. The Go runtime's monotonic clock stops during a suspension, so it cannot bound how long
// a permission has been held.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
