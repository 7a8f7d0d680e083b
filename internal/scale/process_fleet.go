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
	"strings"
	"sync"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fakes"
)

// Limits of a fleet of real processes.
const (
	maxProcesses     = 300
	bytesOfProcess   = 48 * mib // resident, the stand-ins that it needs included
	maxFleetRuns     = 10       // each run drains two servers for good
	concurrentStarts = 8        // processes, while the fleet is raised
	readyTimeout     = 60 * time.Second
	assignTimeout    = 30 * time.Second
	fleetQuietSpan   = 3 * time.Second
)

// allowsProcesses tells whether so many processes fit the limits.
func checkProcessesFit(memory Memory, processes int) error {
	what := fmt.Sprintf("%d real processes", processes)
	if processes > maxProcesses {
		return &LimitError{What: what, Needs: fmt.Sprintf("%d processes", processes), Limit: fmt.Sprint(maxProcesses),
			Fits: fmt.Sprintf("%d fit", maxProcesses)}
	}
	return memory.checkFits(what, bytesOfProcess/garbageFactor, processes)
}

// realFleet is many managers as processes of their own, each with a relay and proxies of its own, that read one list.
type processFleet struct {
	site        fakes.Site
	program     string
	dir         string
	servers     []*fakes.Server
	discovery   *fakes.Discovery
	managers    []*managerProcess
	starts      uint64
	drained     int // servers so far
	withdrawals withdrawals
}

// realManager is one process and its relay.
type managerProcess struct {
	name          string
	dir           string
	address       string
	statusAddress string
	relay         *fakes.Relay
	process       fakes.Manager
	collector     net.Conn
}

// processCosts are measured on fleets of real processes.
var processCosts = []Cost{ProcessPropagationMedian, ProcessPropagationLast, HollowPropagationMedian, HollowPropagationLast, ProcessReadyMedian, ProcessReadyLast,
	ProcessPropagationDuringOpeningsLast, ProcessCPUPerQuietSecond, ProcessMemory}

// measureRealFleet raises a fleet of real processes on loopback and measures it, and as many hollow managers beside it.
func measureProcessFleet(ctx context.Context, options Options, change time.Duration, size int) (samples []sample, err error) {
	f, err := startProcessFleet(ctx, options.Program, propagationScenario(options.Seed), size)
	defer f.close()
	if err != nil {
		return nil, err
	}
	for run := range min(options.Runs, maxFleetRuns) {
		one := sample{}
		if err := f.measureRun(ctx, one); err != nil {
			return nil, err
		}
		if err := measureHollowFleet(ctx, options, change, run, size, one); err != nil {
			return nil, err
		}
		samples = append(samples, one)
	}
	return samples, nil
}

// raiseRealFleet starts the stand-ins and all processes, and waits until their proxies are bound.
func startProcessFleet(ctx context.Context, program string, scenario Scenario, size int) (f *processFleet, err error) {
	f = &processFleet{site: scenario.site(), program: program}
	if f.dir, err = os.MkdirTemp("", "tamarindshore-fleet-"); err != nil {
		return f, err
	}
	if f.servers, err = fakes.NewServers(f.site); err != nil {
		return f, err
	}
	var entries []fakes.Endpoint
	for _, server := range f.servers {
		entries = append(entries, server.Entry("up"))
	}
	if f.discovery, err = fakes.NewDiscovery("127.0.0.1:0", entries); err != nil {
		return f, err
	}
	addresses, err := fakes.FreeAddresses(2 * size)
	if err != nil {
		return f, err
	}
	for number := range size {
		manager, err := f.newManager(number, entries)
		if err != nil {
			return f, err
		}
		manager.address, manager.statusAddress = addresses[2*number], addresses[2*number+1]
		f.managers = append(f.managers, manager)
	}
	if _, err := f.startAll(ctx, concurrentStarts); err != nil {
		return f, err
	}
	return f, f.awaitAssigned(ctx)
}

// newManager prepares one manager and its relay; the process isn't started.
func (f *processFleet) newManager(number int, entries []fakes.Endpoint) (m *managerProcess, err error) {
	m = &managerProcess{name: fmt.Sprintf("n%03d", number)}
	m.dir = filepath.Join(f.dir, m.name)
	if err := os.Mkdir(m.dir, 0o700); err != nil {
		return m, err
	}
	if m.relay, err = fakes.NewRelay("127.0.0.1:0", f.site); err != nil {
		return m, err
	}
	m.relay.RegisterServers(entries...)
	m.relay.Configure(func(r *fakes.Relay) {
		r.OnCommand = func(at time.Time, kind, about string) { f.withdrawals.onCommand(m.name, at, kind, about) }
	})
	for proxy := range f.site.Proxies {
		m.relay.ConnectProxies(proxy)
	}
	return m, nil
}

// begin starts all processes, so many at once, and gives, sorted, the seconds until each was ready.
func (f *processFleet) startAll(ctx context.Context, atOnce int) ([]float64, error) {
	f.starts++
	list := f.discovery.Snapshot()
	times, errs := make([]float64, len(f.managers)), make([]error, len(f.managers))
	places := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	for i, manager := range f.managers {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if errs[i] = ctx.Err(); errs[i] != nil {
				return
			}
			began := time.Now()
			errs[i] = f.startOne(ctx, manager, list, uint64(i))
			times[i] = time.Since(began).Seconds()
		})
	}
	group.Wait()
	slices.Sort(times)
	return times, errors.Join(errs...)
}

// beginOne starts one process, waits until it is ready, and tells it once that no flows come. A process that is still
// waited for ends with the context.
func (f *processFleet) startOne(ctx context.Context, m *managerProcess, list fakes.EndpointList, seed uint64) (err error) {
	start := fakes.ManagerConfig{Dir: m.dir, Name: m.name, ListenAddress: m.address, StatusAddress: m.statusAddress, DiscoveryAddress: f.discovery.Address,
		RelayAddress: m.relay.Address, Endpoints: list, Options: fakes.ManagerOptions{Cores: processCores, MemoryMB: 512, MaxDescriptors: 512, Seed: seed + f.starts}}
	if m.process, err = f.site.StartManager(start, fakes.ProcessStarter(f.program, filepath.Join(m.dir, "log"))); err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { m.process.Stop(true) })()
	if err := fakes.AwaitReady(m.process, m.address, readyTimeout); err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	if m.collector, err = net.Dial("tcp", m.address); err != nil {
		return err
	}
	lines := []string{"collector site=" + f.site.Zones[0], usageReport(0, f.site.TrafficClasses[0].Name, 0, time.Second).Text}
	m.collector.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = m.collector.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err
}

// awaitBound waits until all proxies of all managers have a table.
func (f *processFleet) awaitAssigned(ctx context.Context) error {
	late := time.Now().Add(assignTimeout)
	for _, manager := range f.managers {
		for manager.relay.Counts().AssignedProxies < f.site.Proxies {
			if time.Now().After(late) {
				return fmt.Errorf("%s: its proxies are not bound after %v", manager.name, assignTimeout)
			}
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// end kills all processes.
func (f *processFleet) stopAll() {
	var group sync.WaitGroup
	for _, manager := range f.managers {
		group.Go(func() {
			if manager.collector != nil {
				manager.collector.Close()
			}
			if manager.process != nil {
				manager.process.Stop(true)
			}
		})
	}
	group.Wait()
}

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

// measureRun measures a quiet span, a change in quiet, and a change beside the start of all processes at once.
func (f *processFleet) measureRun(ctx context.Context, into sample) error {
	cpuBefore, _ := childrenUsage()
	began := time.Now()
	if err := sleep(ctx, fleetQuietSpan); err != nil {
		return err
	}
	cpuAfter, _ := childrenUsage()
	into[ProcessCPUPerQuietSecond] = (cpuAfter - cpuBefore) / time.Since(began).Seconds() / float64(len(f.managers))
	into[ProcessMemory] = f.largestMemory()

	quiet, err := f.drain(ctx, func() error { return nil })
	if err != nil {
		return err
	}
	into[ProcessPropagationMedian] = quantile(quiet, 0.5)
	into[ProcessPropagationLast] = quiet[len(quiet)-1]

	f.stopAll()
	var ready []float64
	beside, err := f.drain(ctx, func() (err error) {
		ready, err = f.startAll(ctx, len(f.managers))
		return err
	})
	if err != nil {
		return err
	}
	into[ProcessReadyMedian] = quantile(ready, 0.5)
	into[ProcessReadyLast] = ready[len(ready)-1]
	into[ProcessPropagationDuringOpeningsLast] = beside[len(beside)-1]
	return f.awaitAssigned(ctx)
}

// largestMemory is the largest resident set of a process so far, in bytes.
func (f *processFleet) largestMemory() (largest float64) {
	for _, manager := range f.managers {
		_, megabytes := fakes.ResourceUsage(manager.process)
		largest = max(largest, megabytes*mib)
	}
	return largest
}

// drain tells that a server drains, does something meanwhile, and gives, sorted, the seconds until the relay of each
// manager was told of the withdrawal.
func (f *processFleet) drain(ctx context.Context, meanwhile func() error) ([]float64, error) {
	server := f.servers[f.drained]
	f.drained++
	all := f.withdrawals.expect(balancer.ServerID(server.ID), len(f.managers))
	ended := make(chan error, 1)
	go func() { ended <- meanwhile() }()
	told := time.Now()
	f.discovery.Publish(server.Entry("draining"))
	if err := <-ended; err != nil {
		return nil, err
	}
	select {
	case <-all:
		return f.withdrawals.since(told), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(propagationTimeout):
		return nil, fmt.Errorf("%d of %d managers withdrew %s within %v", len(f.withdrawals.since(told)), len(f.managers), server.ID, propagationTimeout)
	}
}

// hollowFleetBeside measures as many hollow managers, each on a core of its own and without a network between, as the
// real processes of a machine have it.
func measureHollowFleet(ctx context.Context, options Options, change time.Duration, run, managers int, into sample) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f, err := newHollowFleet(propagationScenario(options.Seed), 1)
	if err != nil {
		return err
	}
	defer f.close()
	control := controlSide{changeWriteTime: change, local: true, rng: rand.New(rand.NewPCG(options.Seed, uint64(run)))}
	r := &propagationRun{fleet: f, control: control, version: firstVersion}
	times, err := r.openAndDrain(ctx, options.Memory, managers)
	if err != nil {
		return err
	}
	into[HollowPropagationMedian] = quantile(times, 0.5)
	into[HollowPropagationLast] = times[len(times)-1]
	return nil
}

// openAndDrain opens managers, and gives the times of a change in quiet.
func (r *propagationRun) openAndDrain(ctx context.Context, memory Memory, managers int) ([]float64, error) {
	if _, err := r.duringOpenings(ctx, memory, managers); err != nil {
		return nil, err
	}
	return r.drain(ctx, 2*propagationInterval, r.control.quietArrivals(managers))
}
