package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"tamarindshore/internal/fakes"
)

// RealCase is a real process in one state, and a hollow manager in the same where it has one.
type RealCase struct {
	Name       string    `json:"name"`
	Interval   float64   `json:"readIntervalSeconds,omitempty"` // between reads; 0: each is made at once
	Servers    int       `json:"servers"`
	Proxies    int       `json:"proxies"`
	Reports    float64   `json:"reportsPerSecond"`
	CPU        []float64 `json:"cpuPerSecond"`     // of a core, by run
	Wakeups    []float64 `json:"wakeupsPerSecond"` // context switches of the process, by run
	Probes     []float64 `json:"probesPerSecond"`  // that the process sent, by run
	HollowCPU  []float64 `json:"hollowCPUPerSecond,omitempty"`
	MemoryMB   float64   `json:"memoryMB"`               // the process's largest resident set
	HollowHeap float64   `json:"hollowHeapMB,omitempty"` // held after a collection
}

// realScenario is a size that a real process and a hollow manager both reach.
func realScenario(seed uint64, servers, proxies int) Scenario {
	scenario := Reference()
	scenario.Seed, scenario.Servers, scenario.Proxies, scenario.Zones, scenario.TrafficGroups = seed, servers, proxies, 3, 2
	scenario.ListChanges = 0
	return scenario
}

// realState is what a real process is measured in.
type realState struct {
	name    string
	joined  bool
	reports float64
	changes float64
	every   time.Duration // between the writes of reports
	spaced  bool          // it is measured with spaced reads too
}

// realIntervals are the settings between reads under which real processes are measured.
var realIntervals = []time.Duration{0, 50 * time.Millisecond}

var realStates = []realState{
	{"no proxies", false, 0, 0, writeEvery, false},
	{"proxies joined, nothing reported", true, 0, 0, writeEvery, true},
	{"200 reports a second", true, 200, 0, writeEvery, false},
	{"200 reports a second in one write", true, 200, 0, time.Second, false},
	{"200 reports and one list change a second", true, 200, 1, writeEvery, true},
	{"2000 reports a second", true, 2000, 0, writeEvery, true},
}

// realSizes are servers and proxies of the real processes.
var realSizes = [][2]int{{60, 600}, {240, 600}}

const (
	realCores   = 1
	realSettle  = 2 * time.Second
	realSpan    = 3 * time.Second
	realRuns    = 3
	writeEvery  = 5 * time.Millisecond
	writeAtMost = 5 * time.Second
)

// measureReal starts real processes on loopback, one at a time, and measures each beside hollow managers.
func measureReal(ctx context.Context, options Options) (cases []RealCase, err error) {
	dir, err := os.MkdirTemp("", "tamarindshore-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	for _, size := range realSizes {
		scenario := realScenario(options.Seed, size[0], size[1])
		for _, interval := range realIntervals {
			some, err := measureProcess(ctx, options, scenario, interval, filepath.Join(dir, "manager.log"))
			if err != nil {
				return nil, err
			}
			cases = append(cases, some...)
		}
	}
	return cases, nil
}

// measureProcess measures one process in one state after the other.
func measureProcess(ctx context.Context, options Options, scenario Scenario, interval time.Duration, log string) (cases []RealCase, err error) {
	site := scenario.site()
	begin := fakes.ProcessStarter(options.Program, log)
	how := fakes.ManagerOptions{Cores: realCores, MemoryMB: 512, MaxDescriptors: maxSockets, Seed: scenario.Seed}
	if interval > 0 {
		how.OperatorSettings = fmt.Sprintf("(read-interval %v)", interval)
	}
	rig, err := fakes.StartDeployment(site, how, begin)
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	for _, state := range realStates {
		if interval > 0 && !state.spaced {
			continue
		}
		fmt.Fprintf(options.Progress, "real process, %d servers, %d proxies, %v between reads: %s\n", scenario.Servers, scenario.Proxies, interval, state.name)
		now := scenario
		now.Reports, now.ListChanges = state.reports, state.changes
		one := RealCase{Name: state.name, Interval: interval.Seconds(), Servers: now.Servers, Proxies: now.Proxies, Reports: now.Reports}
		if err := measureState(ctx, rig, now, state, &one); err != nil {
			return nil, err
		}
		if state.joined {
			if err := hollowBeside(ctx, now, &one); err != nil {
				return nil, err
			}
		}
		cases = append(cases, one)
	}
	return cases, nil
}

func measureState(ctx context.Context, rig *fakes.Deployment, scenario Scenario, state realState, into *RealCase) error {
	if state.joined && rig.Relay.Counts().ConnectedProxies == 0 {
		for proxy := range scenario.Proxies {
			rig.Relay.ConnectProxies(proxy)
		}
	}
	load, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- feed(load, rig, scenario, state.every) }()
	err := wait(ctx, realSettle)
	for range realRuns {
		if err != nil {
			break
		}
		err = measureSpan(ctx, rig, into)
	}
	stop()
	_, into.MemoryMB = fakes.ResourceUsage(rig.Manager)
	return errors.Join(err, <-ended)
}

// measureSpan adds one run.
func measureSpan(ctx context.Context, rig *fakes.Deployment, into *RealCase) error {
	probesBefore, err := probesSent(rig)
	if err != nil {
		return err
	}
	cpuBefore, switchesBefore := processUse()
	began := time.Now()
	if err := wait(ctx, realSpan); err != nil {
		return err
	}
	cpuAfter, switchesAfter := processUse()
	took := time.Since(began).Seconds()
	probesAfter, err := probesSent(rig)
	into.CPU = append(into.CPU, (cpuAfter-cpuBefore)/took)
	into.Wakeups = append(into.Wakeups, (switchesAfter-switchesBefore)/took)
	into.Probes = append(into.Probes, (probesAfter-probesBefore)/took)
	return err
}

func probesSent(rig *fakes.Deployment) (float64, error) {
	counters, err := rig.Counters()
	return float64(counters["probes_sent"]), err
}

// wait lets time pass; it ends early with the context.
func wait(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}

// processUse is the processor time, in seconds, of the processes that this one started, and how often their threads were
// switched.
func processUse() (cpu, switches float64) {
	for _, pid := range children() {
		for _, task := range globbed("/proc/" + pid + "/task/*") {
			cpu += runTime(task)
			switches += contextSwitches(task)
		}
	}
	return cpu, switches
}

func globbed(pattern string) []string {
	files, err := filepath.Glob(pattern)
	if err != nil {
		panic(err) // the patterns stand in this file
	}
	return files
}

// children are the processes that this one started, by number.
func children() (pids []string) {
	for _, file := range globbed("/proc/self/task/*/children") {
		if text, err := os.ReadFile(file); err == nil {
			pids = append(pids, strings.Fields(string(text))...)
		}
	}
	return pids
}

// runTime is the seconds that a thread has run so far; 0 once it has ended.
func runTime(task string) float64 {
	text, err := os.ReadFile(task + "/schedstat")
	if err != nil {
		return 0
	}
	nanoseconds, _, _ := strings.Cut(string(text), " ")
	seconds, _ := strconv.ParseFloat(nanoseconds, 64)
	return seconds / 1e9
}

// contextSwitches is how often a thread was switched so far; 0 once it has ended.
func contextSwitches(task string) (switches float64) {
	text, err := os.ReadFile(task + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(line, ":"); found && strings.HasSuffix(name, "ctxt_switches") {
			count, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			switches += count
		}
	}
	return switches
}

// feed tells a real manager what a recorder would tell a hollow one, on a collector's connection and discovery's watch.
func feed(ctx context.Context, rig *fakes.Deployment, scenario Scenario, every time.Duration) error {
	if scenario.Reports == 0 {
		return nil
	}
	connection, err := net.Dial("tcp", rig.ManagerAddress)
	if err != nil {
		return err
	}
	defer connection.Close()
	source := &recorder{scenario: scenario, site: rig.Site, version: firstVersion}
	lines := []string{"collector site=" + rig.Site.Zones[0]}
	began := time.Now()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for told, changed := 0, 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		passed := time.Since(began).Seconds()
		for ; float64(told) < passed*scenario.Reports; told++ {
			lines = append(lines, source.report().Text)
		}
		for ; float64(changed) < passed*scenario.ListChanges; changed++ {
			server := rig.Servers[changed/2%len(rig.Servers)]
			rig.Discovery.Publish(server.Entry([]string{"draining", "up"}[changed%2]))
		}
		if len(lines) == 0 {
			continue
		}
		connection.SetWriteDeadline(time.Now().Add(writeAtMost))
		if _, err := connection.Write([]byte(strings.Join(lines, "\r\n") + "\r\n")); err != nil {
			return err
		}
		lines = lines[:0]
	}
}

// hollowBeside measures a hollow manager in the state of a real process.
func hollowBeside(ctx context.Context, scenario Scenario, into *RealCase) error {
	quiet := scenario.Reports == 0
	if quiet {
		scenario.Reports = Reference().Reports
	}
	script, err := record(ctx, scenario, quiet)
	if err != nil {
		return err
	}
	for range realRuns {
		costs, err := replay(ctx, script)
		if err != nil {
			return err
		}
		name, span := PhaseBusy, busySpan
		if quiet {
			name, span = PhaseQuiet, quietSpan
		}
		into.HollowCPU = append(into.HollowCPU, costs[name].cpu.Seconds()/span.Seconds())
		into.HollowHeap = costs[name].heapBytes / (1 << 20)
	}
	return nil
}
