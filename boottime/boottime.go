// Package boottime reads CLOCK_BOOTTIME, which is not adjusted with the wall clock and continues while the host is
// suspended.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// replacement is the clock of tests that run in virtual time, or nil.
var replacement atomic.Pointer[func() time.Time]

// Now returns the time since the host was booted as a time.Time. Differences between its results include the time that the
// host was suspended; the calendar date is meaningless. The monotonic clock of the Go runtime stops during a suspension, so
// it cannot bound how long a lease or permission is held.
func Now() time.Time {
	if now := replacement.Load(); now != nil {
		return (*now)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Replace makes Now return the results of another clock until restore is called. It is for tests that run in virtual time.
func Replace(now func() time.Time) (restore func()) {
	replacement.Store(&now)
	return func() { replacement.Store(nil) }
}
