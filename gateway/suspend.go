package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns for how long the machine has been suspended since boot:
// the boot clock counts that time, the monotonic clock doesn't. The two clocks
// are read one after the other, so the result is off by the time between the
// reads.
func suspendedTime() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		// Both clocks exist on every Linux since 2.6.39. Without them a
		// suspension can't be detected.
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}
