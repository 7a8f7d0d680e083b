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

// processCPU returns the processor time that this process has used, including garbage collection. On a shared machine it
// measures the cost of work, while wall-clock time also includes waiting for a core.
func processCPU() time.Duration { return readClock(unix.CLOCK_PROCESS_CPUTIME_ID) }

// threadCPU returns the processor time that the calling thread has used. The goroutine must be locked to its thread.
func threadCPU() time.Duration { return readClock(unix.CLOCK_THREAD_CPUTIME_ID) }

// readClock reads a system clock.
func readClock(id int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(id, &now); err != nil {
		panic(err) // each Linux version that Go supports has both clocks
	}
	return time.Duration(now.Nano())
}

// heapInUse returns the bytes of the heap that are in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// stackInUse returns the bytes of the goroutines' stacks.
func stackInUse() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.StackInuse)
}

// childrenUsage returns the processor time, in seconds, and the context switches of the running child processes so far.
func childrenUsage() (cpu, contextSwitches float64) {
	for _, pid := range childProcesses() {
		for _, task := range globFiles("/proc/" + pid + "/task/*") {
			cpu += threadRunTime(task)
			contextSwitches += threadContextSwitches(task)
		}
	}
	return cpu, contextSwitches
}

// globFiles returns the files that match a pattern.
func globFiles(pattern string) []string {
	files, err := filepath.Glob(pattern)
	if err != nil {
		panic(err) // only a malformed pattern fails, and the patterns are fixed in this file
	}
	return files
}

// childProcesses returns the process IDs of this process's children.
func childProcesses() []string {
	var pids []string
	for _, file := range globFiles("/proc/self/task/*/children") {
		if text, err := os.ReadFile(file); err == nil {
			pids = append(pids, strings.Fields(string(text))...)
		}
	}
	return pids
}

// threadRunTime returns the seconds that a thread has run so far, or 0 if it has ended.
func threadRunTime(task string) float64 {
	text, err := os.ReadFile(task + "/schedstat")
	if err != nil {
		return 0
	}
	nanoseconds, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(nanoseconds, 64)
	return value / 1e9
}

// threadContextSwitches returns the number of context switches of a thread so far, or 0 if it has ended.
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
