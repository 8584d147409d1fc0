package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns for how long the machine has been suspended since its start:
// the monotonic clock leaves that time out, the boot clock has it. The two are
// read one after the other, so the value is off by the time between.
func suspended() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		// Both clocks exist on every Linux since 2.6.39; without them no
		// suspension can be told.
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}
