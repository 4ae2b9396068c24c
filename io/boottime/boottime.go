// Package boottime reads the boot-time clock, which advances while the instance is suspended. Go's monotonic clock does
// not.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance was booted.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// ClockGettime fails only for an unknown clock or an invalid address.
		panic("boottime: " + err.Error())
	}
	return time.Duration(at.Nano())
}
