// Package boottime reads the clock that counts from the start of the host, also while the host
// is suspended. The clock of package time doesn't count that time.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the host.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on each supported system
	}
	return time.Duration(t.Nano())
}
