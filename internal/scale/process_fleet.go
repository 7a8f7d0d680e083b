package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fakes"
)

// Limits of a fleet of real processes.
const (
	maxProcesses     = 300
	bytesOfProcess   = 48 * mib // resident memory, including the fakes that the process needs
	maxFleetRuns     = 10       // each run drains two servers permanently
	concurrentStarts = 8        // during the first start of the fleet
	fleetDescriptors = 512      // descriptor limit in the configuration
	readyTimeout     = 60 * time.Second
	assignTimeout    = 30 * time.Second
	assignPolling    = 10 * time.Millisecond
	fleetQuietSpan   = 3 * time.Second
	loopbackAnyPort  = "127.0.0.1:0"
	usageInterval    = time.Second // interval of the single usage report that each process receives
	privateDirectory = 0o700
)

// checkProcessCount returns a LimitError if the number of processes or their memory exceeds the limits.
func checkProcessCount(memory Memory, processes int) error {
	size := fmt.Sprintf("%d real processes", processes)
	if processes > maxProcesses {
		return newCountLimitError(size, "processes", processes, maxProcesses)
	}
	// checkFits multiplies by gcHeapFactor, but bytesOfProcess already includes garbage.
	return memory.checkFits(size, bytesOfProcess/gcHeapFactor, processes)
}

// processFleet is a fleet of managers that read one endpoint list. Each manager is a real process with its own relay and
// proxies.
type processFleet struct {
	site        fakes.Site
	program     string
	dir         string
	servers     []*fakes.Server
	discovery   *fakes.Discovery
	managers    []*managerProcess
	starts      uint64 // how often the whole fleet was started
	drained     int    // number of servers drained so far
	withdrawals withdrawalRecorder
}

// managerProcess is one manager process with its relay and the connection of its collector.
type managerProcess struct {
	name          string
	dir           string
	address       string
	statusAddress string
	relay         *fakes.Relay
	process       fakes.Manager
	collector     net.Conn
}

// processCosts lists the costs that are measured on fleets of real processes.
var processCosts = []Cost{
	ProcessPropagationMedian, ProcessPropagationLast, HollowPropagationMedian, HollowPropagationLast, ProcessReadyMedian,
	ProcessReadyLast, ProcessPropagationDuringOpeningsLast, ProcessCPUPerQuietSecond, ProcessMemory,
}

// measureProcessFleet starts a fleet of real processes on loopback and measures it, and the same number of hollow managers
// for comparison.
func measureProcessFleet(ctx context.Context, options Options, changeWriteTime time.Duration, size int) ([]sample, error) {
	fleet, err := startProcessFleet(ctx, options.Program, propagationScenario(options.Seed), size)
	defer fleet.close()
	if err != nil {
		return nil, err
	}
	var samples []sample
	for run := range min(options.Runs, maxFleetRuns) {
		measured := sample{}
		if err := fleet.measureRun(ctx, measured); err != nil {
			return nil, err
		}
		if err := measureHollowFleet(ctx, options, changeWriteTime, run, size, measured); err != nil {
			return nil, err
		}
		samples = append(samples, measured)
	}
	return samples, nil
}

// startProcessFleet starts the fakes and all processes, and waits until all proxies have tables. The caller must close the
// fleet even if an error is returned.
func startProcessFleet(ctx context.Context, program string, scenario Scenario, size int) (*processFleet, error) {
	f := &processFleet{site: scenario.site(), program: program}
	endpoints, err := f.startServers()
	if err != nil {
		return f, err
	}
	if err := f.addManagers(size, endpoints); err != nil {
		return f, err
	}
	if _, err := f.startAll(ctx, concurrentStarts); err != nil {
		return f, err
	}
	return f, f.awaitAssigned(ctx)
}

// startServers starts the servers and a discovery that lists them.
func (f *processFleet) startServers() (endpoints []fakes.Endpoint, err error) {
	if f.dir, err = os.MkdirTemp("", "tamarindshore-fleet-"); err != nil {
		return nil, err
	}
	if f.servers, err = fakes.NewServers(f.site); err != nil {
		return nil, err
	}
	for _, server := range f.servers {
		endpoints = append(endpoints, server.Entry("up"))
	}
	f.discovery, err = fakes.NewDiscovery(loopbackAnyPort, endpoints)
	return endpoints, err
}

// addManagers prepares managers and their relays without starting the processes.
func (f *processFleet) addManagers(size int, endpoints []fakes.Endpoint) error {
	addresses, err := fakes.FreeAddresses(2 * size)
	if err != nil {
		return err
	}
	for number := range size {
		manager, err := f.newManager(number, endpoints)
		if err != nil {
			return err
		}
		manager.address = addresses[2*number]
		manager.statusAddress = addresses[2*number+1]
		f.managers = append(f.managers, manager)
	}
	return nil
}

// newManager prepares one manager with its directory and its relay, and connects all proxies to the relay.
func (f *processFleet) newManager(number int, endpoints []fakes.Endpoint) (*managerProcess, error) {
	m := &managerProcess{name: fmt.Sprintf("n%03d", number)}
	m.dir = filepath.Join(f.dir, m.name)
	if err := os.Mkdir(m.dir, privateDirectory); err != nil {
		return nil, err
	}
	relay, err := fakes.NewRelay(loopbackAnyPort, f.site)
	if err != nil {
		return nil, err
	}
	m.relay = relay
	relay.RegisterServers(endpoints...)
	relay.Configure(func(r *fakes.Relay) {
		r.OnCommand = func(at time.Time, kind, subject string) { f.withdrawals.onCommand(m.name, at, kind, subject) }
	})
	for proxy := range f.site.Proxies {
		relay.ConnectProxies(proxy)
	}
	return m, nil
}

// startAll starts all processes, at most the given number concurrently. It returns the seconds until each was ready, in
// ascending order.
func (f *processFleet) startAll(ctx context.Context, concurrent int) ([]float64, error) {
	f.starts++
	list := f.discovery.Snapshot()
	times := make([]float64, len(f.managers))
	errs := make([]error, len(f.managers))
	slots := make(chan struct{}, concurrent)
	var workers sync.WaitGroup
	for i, manager := range f.managers {
		workers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if errs[i] = ctx.Err(); errs[i] != nil {
				return
			}
			began := time.Now()
			errs[i] = f.startOne(ctx, manager, list, uint64(i))
			times[i] = time.Since(began).Seconds()
		})
	}
	workers.Wait()
	slices.Sort(times)
	return times, errors.Join(errs...)
}

// startOne starts one process, waits until it is ready, and sends it one usage report without requests. If the context
// ends during this, the process is killed.
func (f *processFleet) startOne(ctx context.Context, m *managerProcess, list fakes.EndpointList, seed uint64) error {
	process, err := f.site.StartManager(f.managerConfig(m, list, seed), fakes.ProcessStarter(f.program, filepath.Join(m.dir, "log")))
	if err != nil {
		return err
	}
	m.process = process
	defer context.AfterFunc(ctx, func() { process.Stop(true) })()
	if err := fakes.AwaitReady(process, m.address, readyTimeout); err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	collector, err := net.Dial("tcp", m.address)
	if err != nil {
		return err
	}
	m.collector = collector
	noRequests := usageReport(0, f.site.TrafficClasses[0].Name, 0, usageInterval)
	return writeMessages(collector, []string{collectorGreeting(f.site), noRequests.Text})
}

// managerConfig returns the configuration with which a process of the fleet is started.
func (f *processFleet) managerConfig(m *managerProcess, list fakes.EndpointList, seed uint64) fakes.ManagerConfig {
	return fakes.ManagerConfig{
		Dir:              m.dir,
		Name:             m.name,
		ListenAddress:    m.address,
		StatusAddress:    m.statusAddress,
		DiscoveryAddress: f.discovery.Address,
		RelayAddress:     m.relay.Address,
		Endpoints:        list,
		Options: fakes.ManagerOptions{
			Cores:          processCores,
			MemoryMB:       processMemoryMB,
			MaxDescriptors: fleetDescriptors,
			Seed:           seed + f.starts,
		},
	}
}

// awaitAssigned waits until all proxies of all managers have a table.
func (f *processFleet) awaitAssigned(ctx context.Context) error {
	deadline := time.Now().Add(assignTimeout)
	for _, manager := range f.managers {
		for manager.relay.Counts().AssignedProxies < f.site.Proxies {
			if time.Now().After(deadline) {
				return fmt.Errorf("manager %s: not all of its %d proxies have a table after %v", manager.name, f.site.Proxies, assignTimeout)
			}
			if err := sleep(ctx, assignPolling); err != nil {
				return err
			}
		}
	}
	return nil
}

// stopAll kills all processes.
func (f *processFleet) stopAll() {
	var workers sync.WaitGroup
	for _, manager := range f.managers {
		workers.Go(func() {
			if manager.collector != nil {
				manager.collector.Close()
			}
			if manager.process != nil {
				manager.process.Stop(true)
			}
		})
	}
	workers.Wait()
}

// close stops all processes and fakes, and removes their files.
func (f *processFleet) close() {
	f.stopAll()
	for _, manager := range f.managers {
		manager.relay.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	for _, server := range f.servers {
		server.Close()
	}
	os.RemoveAll(f.dir)
}

// measureRun measures a quiet span, a change while nothing else happens, and a change while all processes start at once.
func (f *processFleet) measureRun(ctx context.Context, costs sample) error {
	if err := f.measureQuietSpan(ctx, costs); err != nil {
		return err
	}
	quiet, err := f.drainServer(ctx, func() error { return nil })
	if err != nil {
		return err
	}
	costs[ProcessPropagationMedian] = quantile(quiet, 0.5)
	costs[ProcessPropagationLast] = quiet[len(quiet)-1]

	f.stopAll()
	var ready []float64
	duringOpenings, err := f.drainServer(ctx, func() (err error) {
		ready, err = f.startAll(ctx, len(f.managers))
		return err
	})
	if err != nil {
		return err
	}
	costs[ProcessReadyMedian] = quantile(ready, 0.5)
	costs[ProcessReadyLast] = ready[len(ready)-1]
	costs[ProcessPropagationDuringOpeningsLast] = duringOpenings[len(duringOpenings)-1]
	return f.awaitAssigned(ctx)
}

// measureQuietSpan measures the processor time and memory of the processes while nothing happens.
func (f *processFleet) measureQuietSpan(ctx context.Context, costs sample) error {
	cpuBefore, _ := childrenUsage()
	began := time.Now()
	if err := sleep(ctx, fleetQuietSpan); err != nil {
		return err
	}
	cpuAfter, _ := childrenUsage()
	costs[ProcessCPUPerQuietSecond] = (cpuAfter - cpuBefore) / time.Since(began).Seconds() / float64(len(f.managers))
	costs[ProcessMemory] = f.maxResidentBytes()
	return nil
}

// maxResidentBytes returns the largest resident set of any process so far.
func (f *processFleet) maxResidentBytes() float64 {
	largest := 0.0
	for _, manager := range f.managers {
		_, megabytes := fakes.ResourceUsage(manager.process)
		largest = max(largest, megabytes*mib)
	}
	return largest
}

// drainServer publishes that a server drains while meanwhile runs concurrently. It returns the seconds until the relay of
// each manager received the withdrawal, in ascending order.
func (f *processFleet) drainServer(ctx context.Context, meanwhile func() error) ([]float64, error) {
	server := f.servers[f.drained]
	f.drained++
	allWithdrew := f.withdrawals.expect(balancer.ServerID(server.ID), len(f.managers))
	ended := make(chan error, 1)
	go func() { ended <- meanwhile() }()
	published := time.Now()
	f.discovery.Publish(server.Entry("draining"))
	if err := <-ended; err != nil {
		return nil, err
	}
	select {
	case <-allWithdrew:
		return f.withdrawals.secondsSince(published), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(propagationTimeout):
		withdrew := len(f.withdrawals.secondsSince(published))
		return nil, fmt.Errorf("%d of %d managers withdrew server %s within %v", withdrew, len(f.managers), server.ID, propagationTimeout)
	}
}

// measureHollowFleet measures hollow managers, each on its own core and without network delay, like real processes on one
// machine.
func measureHollowFleet(ctx context.Context, options Options, changeWriteTime time.Duration, run, managers int, costs sample) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	fleet, err := newHollowFleet(propagationScenario(options.Seed), 1)
	if err != nil {
		return err
	}
	defer fleet.close()
	control := controlPlane{changeWriteTime: changeWriteTime, local: true, rng: rand.New(rand.NewPCG(options.Seed, uint64(run)))}
	r := &propagationRun{fleet: fleet, control: control, version: firstVersion}
	if _, err := r.drainDuringOpenings(ctx, options.Memory, managers); err != nil {
		return err
	}
	times, err := r.drainRunningFleet(ctx, 2*propagationInterval, r.control.quietArrivals(managers))
	if err != nil {
		return err
	}
	costs[HollowPropagationMedian] = quantile(times, 0.5)
	costs[HollowPropagationLast] = times[len(times)-1]
	return nil
}
