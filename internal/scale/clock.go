package scale

import (
	"time"

	"golang.org/x/sys/unix"
)

// processCPU is the processor time that this process has used, the collection of garbage included. On a shared machine
// it says what work costs, where a wall clock says how long it had to wait.
func processCPU() time.Duration { return readClock(unix.CLOCK_PROCESS_CPUTIME_ID) }

// threadCPU is the processor time of the calling thread; the caller must be locked to it.
func threadCPU() time.Duration { return readClock(unix.CLOCK_THREAD_CPUTIME_ID) }

func readClock(id int32) time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		panic(err) // both clocks stand on each Linux that runs Go
	}
	return time.Duration(at.Nano())
}
