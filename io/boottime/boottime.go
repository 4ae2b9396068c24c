// Package boottime reads the clock that goes on while the instance is suspended, which the runtime's clock does not.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance was started.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// The call fails only for an unknown clock or a bad address.
		panic("boottime: " + err.Error())
	}
	return time.Duration(at.Nano())
}
