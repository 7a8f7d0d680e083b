package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"tamarindshore/internal/fakes"
)

// ProcessCase holds the measurements of a real process in one state, and of a hollow manager in the same state where that
// is measured too.
type ProcessCase struct {
	Name             string    `json:"name"`
	ReadInterval     float64   `json:"readIntervalSeconds,omitempty"` // 0: no waiting between reads
	Servers          int       `json:"servers"`
	Proxies          int       `json:"proxies"`
	ReportsPerSecond float64   `json:"reportsPerSecond"`
	CPU              []float64 `json:"cpuPerSecond"`     // fraction of a core, by run
	ContextSwitches  []float64 `json:"wakeupsPerSecond"` // by run
	HealthChecks     []float64 `json:"probesPerSecond"`  // sent by the process, by run
	HollowCPU        []float64 `json:"hollowCPUPerSecond,omitempty"`
	MemoryMB         float64   `json:"memoryMB"`               // largest resident set of the process
	HollowHeapMB     float64   `json:"hollowHeapMB,omitempty"` // after a garbage collection
}

// processScenario returns a scenario that a real process and a hollow manager can both run.
func processScenario(seed uint64, servers, proxies int) Scenario {
	scenario := Reference()
	scenario.Seed = seed
	scenario.Servers = servers
	scenario.Proxies = proxies
	scenario.Zones = 3
	scenario.TrafficClasses = 2
	scenario.ListChanges = 0
	return scenario
}

// processState is the load under which a real process is measured.
type processState struct {
	name             string
	proxiesConnected bool // all proxies are connected
	reportsPerSecond float64
	changesPerSecond float64
	writeInterval    time.Duration // time between writes of reports
	withReadInterval bool          // also measured with a read interval
}

// readIntervals lists the read-interval settings with which real processes are measured.
var readIntervals = []time.Duration{0, 50 * time.Millisecond}

// processStates lists the states in which real processes are measured, in the order of measurement.
var processStates = []processState{
	{"no proxies", false, 0, 0, reportWriteInterval, false},
	{"proxies joined, nothing reported", true, 0, 0, reportWriteInterval, true},
	{"200 reports a second", true, 200, 0, reportWriteInterval, false},
	{"200 reports a second in one write", true, 200, 0, time.Second, false},
	{"200 reports and one list change a second", true, 200, 1, reportWriteInterval, true},
	{"2000 reports a second", true, 2000, 0, reportWriteInterval, true},
}

// processSizes lists the numbers of servers and proxies with which real processes are measured.
var processSizes = []struct{ servers, proxies int }{{60, 600}, {240, 600}}

const (
	processCores        = 1
	processMemoryMB     = 512 // memory limit in the configuration
	processSettleTime   = 2 * time.Second
	processSpan         = 3 * time.Second
	processRuns         = 3
	reportWriteInterval = 5 * time.Millisecond
	writeTimeout        = 5 * time.Second
)

// measureProcesses starts real processes on loopback, one at a time, and measures each along with hollow managers of the
// same size.
func measureProcesses(ctx context.Context, options Options) ([]ProcessCase, error) {
	dir, err := os.MkdirTemp("", "tamarindshore-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var cases []ProcessCase
	for _, size := range processSizes {
		scenario := processScenario(options.Seed, size.servers, size.proxies)
		for _, interval := range readIntervals {
			measured, err := measureProcess(ctx, options, scenario, interval, filepath.Join(dir, "manager.log"))
			if err != nil {
				return nil, err
			}
			cases = append(cases, measured...)
		}
	}
	return cases, nil
}

// measureProcess starts one process and measures it in one state after another.
func measureProcess(
	ctx context.Context, options Options, scenario Scenario, readInterval time.Duration, logFile string,
) ([]ProcessCase, error) {
	managerOptions := fakes.ManagerOptions{Cores: processCores, MemoryMB: processMemoryMB, MaxDescriptors: maxDescriptors, Seed: scenario.Seed}
	if readInterval > 0 {
		managerOptions.OperatorSettings = fmt.Sprintf("(read-interval %v)", readInterval)
	}
	deployment, err := fakes.StartDeployment(scenario.site(), managerOptions, fakes.ProcessStarter(options.Program, logFile))
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	var cases []ProcessCase
	for _, state := range processStates {
		if readInterval > 0 && !state.withReadInterval {
			continue
		}
		fmt.Fprintf(options.Progress, "real process, %d servers, %d proxies, %v between reads: %s\n",
			scenario.Servers, scenario.Proxies, readInterval, state.name)
		measured, err := measureState(ctx, deployment, scenario, state)
		if err != nil {
			return nil, err
		}
		measured.ReadInterval = readInterval.Seconds()
		cases = append(cases, measured)
	}
	return cases, nil
}

// measureState measures a process in a state, and also a hollow manager if proxies are connected in this state.
func measureState(ctx context.Context, deployment *fakes.Deployment, scenario Scenario, state processState) (ProcessCase, error) {
	scenario.Reports = state.reportsPerSecond
	scenario.ListChanges = state.changesPerSecond
	measured := ProcessCase{Name: state.name, Servers: scenario.Servers, Proxies: scenario.Proxies, ReportsPerSecond: scenario.Reports}
	if state.proxiesConnected && deployment.Relay.Counts().ConnectedProxies == 0 {
		for proxy := range scenario.Proxies {
			deployment.Relay.ConnectProxies(proxy)
		}
	}
	if err := measureUnderLoad(ctx, deployment, scenario, state.writeInterval, &measured); err != nil {
		return measured, err
	}
	if !state.proxiesConnected {
		return measured, nil
	}
	err := measureHollowManager(ctx, scenario, &measured)
	return measured, err
}

// measureUnderLoad measures all runs of a process while reports and list changes are sent to it.
func measureUnderLoad(
	ctx context.Context, deployment *fakes.Deployment, scenario Scenario, writeInterval time.Duration, result *ProcessCase,
) error {
	loadContext, stopLoad := context.WithCancel(ctx)
	loadEnded := make(chan error, 1)
	go func() { loadEnded <- reportToProcess(loadContext, deployment, scenario, writeInterval) }()
	err := sleep(ctx, processSettleTime)
	for range processRuns {
		if err != nil {
			break
		}
		err = measureSpan(ctx, deployment, result)
	}
	stopLoad()
	_, result.MemoryMB = fakes.ResourceUsage(deployment.Manager)
	return errors.Join(err, <-loadEnded)
}

// measureSpan measures one run and appends it to result.
func measureSpan(ctx context.Context, deployment *fakes.Deployment, result *ProcessCase) error {
	checksBefore, err := healthChecksSent(deployment)
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
	checksAfter, err := healthChecksSent(deployment)
	result.CPU = append(result.CPU, (cpuAfter-cpuBefore)/took)
	result.ContextSwitches = append(result.ContextSwitches, (switchesAfter-switchesBefore)/took)
	result.HealthChecks = append(result.HealthChecks, (checksAfter-checksBefore)/took)
	return err
}

// healthChecksSent returns the number of health checks that the manager has sent, from its counters.
func healthChecksSent(deployment *fakes.Deployment) (float64, error) {
	counters, err := deployment.Counters()
	return float64(counters["probes_sent"]), err
}

// sleep waits for a duration. If the context ends earlier, it returns the context's error.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// reportToProcess sends the same messages to a real manager as a recorder delivers to a hollow one: reports on a
// collector's connection and list changes on discovery's watch, until the context ends.
func reportToProcess(ctx context.Context, deployment *fakes.Deployment, scenario Scenario, writeInterval time.Duration) error {
	if scenario.Reports == 0 {
		return nil
	}
	connection, err := net.Dial("tcp", deployment.ManagerAddress)
	if err != nil {
		return err
	}
	defer connection.Close()
	source := newMessageSource(scenario, deployment.Site)
	messages := []string{collectorGreeting(deployment.Site)}
	began := time.Now()
	tick := time.NewTicker(writeInterval)
	defer tick.Stop()
	var reports, changes int
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		sinceStart := time.Since(began).Seconds()
		for ; float64(reports) < sinceStart*scenario.Reports; reports++ {
			messages = append(messages, source.nextReport().Text)
		}
		for ; float64(changes) < sinceStart*scenario.ListChanges; changes++ {
			server := deployment.Servers[changes/2%len(deployment.Servers)]
			deployment.Discovery.Publish(server.Entry(lifecycleAfter(changes)))
		}
		if err := writeMessages(connection, messages); err != nil {
			return err
		}
		messages = messages[:0]
	}
}

// collectorGreeting returns the first message of a collector in the first zone.
func collectorGreeting(site fakes.Site) string { return "collector site=" + site.Zones[0] }

// lifecycleAfter returns the lifecycle that a change publishes for its server. Changes alternate between draining a server
// and bringing it back up.
func lifecycleAfter(change int) string {
	if change%2 == 0 {
		return "draining"
	}
	return "up"
}

// writeMessages writes a collector's messages in one write; it does nothing if there are none.
func writeMessages(connection net.Conn, messages []string) error {
	if len(messages) == 0 {
		return nil
	}
	connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := connection.Write([]byte(strings.Join(messages, "\r\n") + "\r\n"))
	return err
}

// measureHollowManager measures a hollow manager in the same state as a real process and adds its costs to result.
func measureHollowManager(ctx context.Context, scenario Scenario, result *ProcessCase) error {
	phase := PhaseBusy
	span := busySpan
	quiet := scenario.Reports == 0
	if quiet {
		phase = PhaseQuiet
		span = quietSpan
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
		result.HollowCPU = append(result.HollowCPU, costs[phase].cpu.Seconds()/span.Seconds())
		result.HollowHeapMB = costs[phase].heapBytes / mib
	}
	return nil
}
