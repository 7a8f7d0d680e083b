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

// ProcessCase is a real process in one state, and a hollow manager in the same state where that is measured.
type ProcessCase struct {
	Name             string    `json:"name"`
	ReadInterval     float64   `json:"readIntervalSeconds,omitempty"` // between reads; 0: each is made at once
	Servers          int       `json:"servers"`
	Proxies          int       `json:"proxies"`
	ReportsPerSecond float64   `json:"reportsPerSecond"`
	CPU              []float64 `json:"cpuPerSecond"`     // of a core, by run
	ContextSwitches  []float64 `json:"wakeupsPerSecond"` // context switches of the process, by run
	HealthChecks     []float64 `json:"probesPerSecond"`  // that the process sent, by run
	HollowCPU        []float64 `json:"hollowCPUPerSecond,omitempty"`
	MemoryMB         float64   `json:"memoryMB"`               // the process's largest resident set
	HollowHeapMB     float64   `json:"hollowHeapMB,omitempty"` // held after a collection
}

// realScenario is a size that a real process and a hollow manager both reach.
func processScenario(seed uint64, servers, proxies int) Scenario {
	scenario := Reference()
	scenario.Seed, scenario.Servers, scenario.Proxies, scenario.Zones, scenario.TrafficGroups = seed, servers, proxies, 3, 2
	scenario.ListChanges = 0
	return scenario
}

// realState is what a real process is measured in.
type processState struct {
	name             string
	connected        bool
	reportsPerSecond float64
	changesPerSecond float64
	writeInterval    time.Duration // between the writes of reports
	spacedReads      bool          // it is measured with spaced reads too
}

// realIntervals are the settings between reads under which real processes are measured.
var readIntervals = []time.Duration{0, 50 * time.Millisecond}

var processStates = []processState{
	{"no proxies", false, 0, 0, reportWriteInterval, false},
	{"proxies joined, nothing reported", true, 0, 0, reportWriteInterval, true},
	{"200 reports a second", true, 200, 0, reportWriteInterval, false},
	{"200 reports a second in one write", true, 200, 0, time.Second, false},
	{"200 reports and one list change a second", true, 200, 1, reportWriteInterval, true},
	{"2000 reports a second", true, 2000, 0, reportWriteInterval, true},
}

// realSizes are servers and proxies of the real processes.
var processSizes = [][2]int{{60, 600}, {240, 600}}

const (
	processCores        = 1
	processSettleTime   = 2 * time.Second
	processSpan         = 3 * time.Second
	processRuns         = 3
	reportWriteInterval = 5 * time.Millisecond
	writeTimeout        = 5 * time.Second
)

// measureReal starts real processes on loopback, one at a time, and measures each beside hollow managers.
func measureProcesses(ctx context.Context, options Options) (cases []ProcessCase, err error) {
	dir, err := os.MkdirTemp("", "tamarindshore-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	for _, size := range processSizes {
		scenario := processScenario(options.Seed, size[0], size[1])
		for _, interval := range readIntervals {
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
func measureProcess(ctx context.Context, options Options, scenario Scenario, interval time.Duration, log string) (cases []ProcessCase, err error) {
	site := scenario.site()
	begin := fakes.ProcessStarter(options.Program, log)
	how := fakes.ManagerOptions{Cores: processCores, MemoryMB: 512, MaxDescriptors: maxSockets, Seed: scenario.Seed}
	if interval > 0 {
		how.OperatorSettings = fmt.Sprintf("(read-interval %v)", interval)
	}
	rig, err := fakes.StartDeployment(site, how, begin)
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	for _, state := range processStates {
		if interval > 0 && !state.spacedReads {
			continue
		}
		fmt.Fprintf(options.Progress, "real process, %d servers, %d proxies, %v between reads: %s\n", scenario.Servers, scenario.Proxies, interval, state.name)
		now := scenario
		now.Reports, now.ListChanges = state.reportsPerSecond, state.changesPerSecond
		one := ProcessCase{Name: state.name, ReadInterval: interval.Seconds(), Servers: now.Servers, Proxies: now.Proxies, ReportsPerSecond: now.Reports}
		if err := measureState(ctx, rig, now, state, &one); err != nil {
			return nil, err
		}
		if state.connected {
			if err := measureHollowManager(ctx, now, &one); err != nil {
				return nil, err
			}
		}
		cases = append(cases, one)
	}
	return cases, nil
}

func measureState(ctx context.Context, rig *fakes.Deployment, scenario Scenario, state processState, into *ProcessCase) error {
	if state.connected && rig.Relay.Counts().ConnectedProxies == 0 {
		for proxy := range scenario.Proxies {
			rig.Relay.ConnectProxies(proxy)
		}
	}
	load, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- reportToProcess(load, rig, scenario, state.writeInterval) }()
	err := sleep(ctx, processSettleTime)
	for range processRuns {
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
func measureSpan(ctx context.Context, rig *fakes.Deployment, into *ProcessCase) error {
	probesBefore, err := healthChecksSent(rig)
	if err != nil {
		return err
	}
	cpuBefore, switchesBefore := childrenUsage()
	began := time.Now()
	if err := sleep(ctx, processSpan); err != nil {
		return err
	}
	cpuAfter, switchesAfter := childrenUsage()
	took := time.Since(began).Seconds()
	probesAfter, err := healthChecksSent(rig)
	into.CPU = append(into.CPU, (cpuAfter-cpuBefore)/took)
	into.ContextSwitches = append(into.ContextSwitches, (switchesAfter-switchesBefore)/took)
	into.HealthChecks = append(into.HealthChecks, (probesAfter-probesBefore)/took)
	return err
}

func healthChecksSent(rig *fakes.Deployment) (float64, error) {
	counters, err := rig.Counters()
	return float64(counters["probes_sent"]), err
}

// wait lets time pass; it ends early with the context.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}

// processUse is the processor time, in seconds, of the processes that this one started, and how often their threads were
// switched.
func childrenUsage() (cpu, switches float64) {
	for _, pid := range childProcesses() {
		for _, task := range globFiles("/proc/" + pid + "/task/*") {
			cpu += threadRunTime(task)
			switches += contextSwitches(task)
		}
	}
	return cpu, switches
}

func globFiles(pattern string) []string {
	files, err := filepath.Glob(pattern)
	if err != nil {
		panic(err) // the patterns stand in this file
	}
	return files
}

// children are the processes that this one started, by number.
func childProcesses() (pids []string) {
	for _, file := range globFiles("/proc/self/task/*/children") {
		if text, err := os.ReadFile(file); err == nil {
			pids = append(pids, strings.Fields(string(text))...)
		}
	}
	return pids
}

// runTime is the seconds that a thread has run so far; 0 once it has ended.
func threadRunTime(task string) float64 {
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
func reportToProcess(ctx context.Context, rig *fakes.Deployment, scenario Scenario, every time.Duration) error {
	if scenario.Reports == 0 {
		return nil
	}
	connection, err := net.Dial("tcp", rig.ManagerAddress)
	if err != nil {
		return err
	}
	defer connection.Close()
	source := &recorder{scenario: scenario, site: rig.Site, listVersion: firstVersion}
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
			lines = append(lines, source.nextReport().Text)
		}
		for ; float64(changed) < passed*scenario.ListChanges; changed++ {
			server := rig.Servers[changed/2%len(rig.Servers)]
			rig.Discovery.Publish(server.Entry([]string{"draining", "up"}[changed%2]))
		}
		if len(lines) == 0 {
			continue
		}
		connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := connection.Write([]byte(strings.Join(lines, "\r\n") + "\r\n")); err != nil {
			return err
		}
		lines = lines[:0]
	}
}

// hollowBeside measures a hollow manager in the state of a real process.
func measureHollowManager(ctx context.Context, scenario Scenario, into *ProcessCase) error {
	quiet := scenario.Reports == 0
	if quiet {
		scenario.Reports = Reference().Reports
	}
	script, err := record(ctx, scenario, quiet)
	if err != nil {
		return err
	}
	for range processRuns {
		costs, err := replay(ctx, script)
		if err != nil {
			return err
		}
		name, span := PhaseBusy, busySpan
		if quiet {
			name, span = PhaseQuiet, quietSpan
		}
		into.HollowCPU = append(into.HollowCPU, costs[name].cpu.Seconds()/span.Seconds())
		into.HollowHeapMB = costs[name].heapBytes / (1 << 20)
	}
	return nil
}
