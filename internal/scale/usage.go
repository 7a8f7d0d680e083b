package scale

import (
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// processCPU is the processor time that this process has used, garbage collection included. On a shared machine it says
// what work costs, where a wall clock says how long it had to wait.
func processCPU() time.Duration { return readClock(unix.CLOCK_PROCESS_CPUTIME_ID) }

// threadCPU is the processor time of the calling thread; the caller must be locked to it.
func threadCPU() time.Duration { return readClock(unix.CLOCK_THREAD_CPUTIME_ID) }

// readClock reads a clock of the system.
func readClock(id int32) time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		panic(err) // each Linux that runs Go has both clocks
	}
	return time.Duration(at.Nano())
}

// heapInUse is the heap that is in use after a garbage collection, in bytes.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// stackInUse is the memory of the goroutines' stacks, in bytes.
func stackInUse() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.StackInuse)
}

// childrenUsage is the processor time, in seconds, of the processes that this one started, and how often their threads
// were switched.
func childrenUsage() (cpu, contextSwitches float64) {
	for _, pid := range childProcesses() {
		for _, task := range globFiles("/proc/" + pid + "/task/*") {
			cpu += threadRunTime(task)
			contextSwitches += threadContextSwitches(task)
		}
	}
	return cpu, contextSwitches
}

// globFiles are the files that match a pattern.
func globFiles(pattern string) []string {
	files, err := filepath.Glob(pattern)
	if err != nil {
		panic(err) // the patterns are constants of this file
	}
	return files
}

// childProcesses are the numbers of the processes that this one started.
func childProcesses() []string {
	var pids []string
	for _, file := range globFiles("/proc/self/task/*/children") {
		if text, err := os.ReadFile(file); err == nil {
			pids = append(pids, strings.Fields(string(text))...)
		}
	}
	return pids
}

// threadRunTime is the seconds that a thread has run so far; 0 once it has ended.
func threadRunTime(task string) float64 {
	text, err := os.ReadFile(task + "/schedstat")
	if err != nil {
		return 0
	}
	nanoseconds, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(nanoseconds, 64)
	return value / 1e9
}

// threadContextSwitches is how often a thread was switched so far; 0 once it has ended.
func threadContextSwitches(task string) float64 {
	text, err := os.ReadFile(task + "/status")
	if err != nil {
		return 0
	}
	total := 0.0
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(line, ":")
		if !found || !strings.HasSuffix(name, "ctxt_switches") {
			continue
		}
		count, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
		total += count
	}
	return total
}
