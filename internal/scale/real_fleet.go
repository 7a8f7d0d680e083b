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
	processesMost    = 300
	bytesOfProcess   = 48 * mib // resident, the stand-ins that it needs included
	fleetRunsMost    = 10       // each run drains two servers for good
	fleetBegunAtOnce = 8        // processes, while the fleet is raised
	fleetReadyMost   = 60 * time.Second
	fleetBoundMost   = 30 * time.Second
	fleetSettle      = 3 * time.Second
)

// allowsProcesses tells whether so many processes fit the limits.
func allowsProcesses(memory Memory, processes int) error {
	what := fmt.Sprintf("%d real processes", processes)
	if processes > processesMost {
		return &LimitError{What: what, Needs: fmt.Sprintf("%d processes", processes), Limit: fmt.Sprint(processesMost),
			Fits: fmt.Sprintf("%d fit", processesMost)}
	}
	return memory.allows(what, bytesOfProcess/garbage, processes)
}

// realFleet is many managers as processes of their own, each with a relay and proxies of its own, that read one list.
type realFleet struct {
	site      fakes.Site
	program   string
	dir       string
	servers   []*fakes.Server
	discovery *fakes.Discovery
	managers  []*realManager
	starts    uint64
	drained   int // servers so far
	orders    withdrawals
}

// realManager is one process and its relay.
type realManager struct {
	name           string
	dir            string
	address        string
	status         string
	relay          *fakes.Relay
	daemon         fakes.Manager
	collectorsLine net.Conn
}

// processCosts are measured on fleets of real processes.
var processCosts = []Cost{ProcessPropagationMedian, ProcessPropagationLast, HollowPropagationMedian, HollowPropagationLast, ProcessReadyMedian, ProcessReadyLast,
	ProcessPropagationDuringOpeningsLast, ProcessCPUPerQuietSecond, ProcessMemory}

// measureRealFleet raises a fleet of real processes on loopback and measures it, and as many hollow managers beside it.
func measureRealFleet(ctx context.Context, options Options, change time.Duration, size int) (samples []sample, err error) {
	f, err := raiseRealFleet(ctx, options.Program, inForceScenario(options.Seed), size)
	defer f.close()
	if err != nil {
		return nil, err
	}
	for run := range min(options.Runs, fleetRunsMost) {
		one := sample{}
		if err := f.measureRun(ctx, one); err != nil {
			return nil, err
		}
		if err := hollowFleetBeside(ctx, options, change, run, size, one); err != nil {
			return nil, err
		}
		samples = append(samples, one)
	}
	return samples, nil
}

// raiseRealFleet starts the stand-ins and all processes, and waits until their proxies are bound.
func raiseRealFleet(ctx context.Context, program string, scenario Scenario, size int) (f *realFleet, err error) {
	f = &realFleet{site: scenario.site(), program: program}
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
		manager.address, manager.status = addresses[2*number], addresses[2*number+1]
		f.managers = append(f.managers, manager)
	}
	if _, err := f.begin(ctx, fleetBegunAtOnce); err != nil {
		return f, err
	}
	return f, f.awaitBound(ctx)
}

// newManager prepares one manager and its relay; the process isn't started.
func (f *realFleet) newManager(number int, entries []fakes.Endpoint) (m *realManager, err error) {
	m = &realManager{name: fmt.Sprintf("n%03d", number)}
	m.dir = filepath.Join(f.dir, m.name)
	if err := os.Mkdir(m.dir, 0o700); err != nil {
		return m, err
	}
	if m.relay, err = fakes.NewRelay("127.0.0.1:0", f.site); err != nil {
		return m, err
	}
	m.relay.RegisterServers(entries...)
	m.relay.Configure(func(r *fakes.Relay) {
		r.OnCommand = func(at time.Time, kind, about string) { f.orders.note(m.name, at, kind, about) }
	})
	for proxy := range f.site.Proxies {
		m.relay.ConnectProxies(proxy)
	}
	return m, nil
}

// begin starts all processes, so many at once, and gives, sorted, the seconds until each was ready.
func (f *realFleet) begin(ctx context.Context, atOnce int) ([]float64, error) {
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
			errs[i] = f.beginOne(ctx, manager, list, uint64(i))
			times[i] = time.Since(began).Seconds()
		})
	}
	group.Wait()
	slices.Sort(times)
	return times, errors.Join(errs...)
}

// beginOne starts one process, waits until it is ready, and tells it once that no flows come. A process that is still
// waited for ends with the context.
func (f *realFleet) beginOne(ctx context.Context, m *realManager, list fakes.EndpointList, seed uint64) (err error) {
	start := fakes.ManagerConfig{Dir: m.dir, Name: m.name, ListenAddress: m.address, StatusAddress: m.status, DiscoveryAddress: f.discovery.Address,
		RelayAddress: m.relay.Address, Endpoints: list, Options: fakes.ManagerOptions{Cores: realCores, MemoryMB: 512, MaxDescriptors: 512, Seed: seed + f.starts}}
	if m.daemon, err = f.site.StartManager(start, fakes.ProcessStarter(f.program, filepath.Join(m.dir, "log"))); err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { m.daemon.Stop(true) })()
	if err := fakes.AwaitReady(m.daemon, m.address, fleetReadyMost); err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	if m.collectorsLine, err = net.Dial("tcp", m.address); err != nil {
		return err
	}
	lines := []string{"collector site=" + f.site.Zones[0], usage(0, f.site.TrafficClasses[0].Name, 0, time.Second).Text}
	m.collectorsLine.SetWriteDeadline(time.Now().Add(writeAtMost))
	_, err = m.collectorsLine.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err
}

// awaitBound waits until all proxies of all managers have a table.
func (f *realFleet) awaitBound(ctx context.Context) error {
	late := time.Now().Add(fleetBoundMost)
	for _, manager := range f.managers {
		for manager.relay.Counts().AssignedProxies < f.site.Proxies {
			if time.Now().After(late) {
				return fmt.Errorf("%s: its proxies are not bound after %v", manager.name, fleetBoundMost)
			}
			if err := wait(ctx, 10*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// end kills all processes.
func (f *realFleet) end() {
	var group sync.WaitGroup
	for _, manager := range f.managers {
		group.Go(func() {
			if manager.collectorsLine != nil {
				manager.collectorsLine.Close()
			}
			if manager.daemon != nil {
				manager.daemon.Stop(true)
			}
		})
	}
	group.Wait()
}

func (f *realFleet) close() {
	f.end()
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
func (f *realFleet) measureRun(ctx context.Context, into sample) error {
	cpuBefore, _ := processUse()
	began := time.Now()
	if err := wait(ctx, fleetSettle); err != nil {
		return err
	}
	cpuAfter, _ := processUse()
	into[ProcessCPUPerQuietSecond] = (cpuAfter - cpuBefore) / time.Since(began).Seconds() / float64(len(f.managers))
	into[ProcessMemory] = f.largestMemory()

	quiet, err := f.drain(ctx, func() error { return nil })
	if err != nil {
		return err
	}
	into[ProcessPropagationMedian] = quantile(quiet, 0.5)
	into[ProcessPropagationLast] = quiet[len(quiet)-1]

	f.end()
	var ready []float64
	beside, err := f.drain(ctx, func() (err error) {
		ready, err = f.begin(ctx, len(f.managers))
		return err
	})
	if err != nil {
		return err
	}
	into[ProcessReadyMedian] = quantile(ready, 0.5)
	into[ProcessReadyLast] = ready[len(ready)-1]
	into[ProcessPropagationDuringOpeningsLast] = beside[len(beside)-1]
	return f.awaitBound(ctx)
}

// largestMemory is the largest resident set of a process so far, in bytes.
func (f *realFleet) largestMemory() (largest float64) {
	for _, manager := range f.managers {
		_, megabytes := fakes.ResourceUsage(manager.daemon)
		largest = max(largest, megabytes*mib)
	}
	return largest
}

// drain tells that a server drains, does something meanwhile, and gives, sorted, the seconds until the relay of each
// manager was told of the withdrawal.
func (f *realFleet) drain(ctx context.Context, meanwhile func() error) ([]float64, error) {
	server := f.servers[f.drained]
	f.drained++
	all := f.orders.expect(balancer.ServerID(server.ID), len(f.managers))
	ended := make(chan error, 1)
	go func() { ended <- meanwhile() }()
	told := time.Now()
	f.discovery.Publish(server.Entry("draining"))
	if err := <-ended; err != nil {
		return nil, err
	}
	select {
	case <-all:
		return f.orders.since(told), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(inForceMost):
		return nil, fmt.Errorf("%d of %d managers withdrew %s within %v", len(f.orders.since(told)), len(f.managers), server.ID, inForceMost)
	}
}

// hollowFleetBeside measures as many hollow managers, each on a core of its own and without a network between, as the
// real processes of a machine have it.
func hollowFleetBeside(ctx context.Context, options Options, change time.Duration, run, managers int, into sample) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f, err := newFleet(inForceScenario(options.Seed), 1)
	if err != nil {
		return err
	}
	defer f.close()
	control := controlSide{change: change, local: true, random: rand.New(rand.NewPCG(options.Seed, uint64(run)))}
	r := &inForceRun{fleet: f, control: control, version: firstVersion}
	times, err := r.openAndDrain(ctx, options.Memory, managers)
	if err != nil {
		return err
	}
	into[HollowPropagationMedian] = quantile(times, 0.5)
	into[HollowPropagationLast] = times[len(times)-1]
	return nil
}

// openAndDrain opens managers, and gives the times of a change in quiet.
func (r *inForceRun) openAndDrain(ctx context.Context, memory Memory, managers int) ([]float64, error) {
	if _, err := r.besideOpenings(ctx, memory, managers); err != nil {
		return nil, err
	}
	return r.drain(ctx, 2*inForceEvery, r.control.quiet(managers))
}
