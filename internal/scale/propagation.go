package scale

import (
	"context"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fakes"
	"tamarindshore/internal/node"
)

// Sizes of the scenario in which the propagation of changes is timed: the smallest in which both slow start and
// withdrawals occur.
const (
	propagationServers = 60
	propagationProxies = 20
	propagationZones   = 3
)

const (
	propagationTimeout    = 30 * time.Second // a change that isn't carried out by then counts as lost
	propagationInterval   = 40 * time.Second // between two timed changes
	managersPerCollection = 256              // managers opened between two garbage collections
)

// propagationScenario returns the scenario of one manager of the fleet in which the propagation of changes is timed.
func propagationScenario(seed uint64) Scenario {
	scenario := Reference()
	scenario.Seed = seed
	scenario.Servers = propagationServers
	scenario.Proxies = propagationProxies
	scenario.Zones = propagationZones
	return scenario
}

// propagationCosts are the costs that measurePropagation measures.
var propagationCosts = []Cost{
	PropagationMedian, PropagationTail, PropagationLast,
	PropagationDuringOpeningsMedian, PropagationDuringOpeningsTail, PropagationDuringOpeningsLast,
	PropagationDuringControlLossMedian, PropagationDuringControlLossTail, PropagationDuringControlLossLast,
	HollowBytes,
}

// propagationInputs holds the processor times that the propagation of a change depends on. They are measured before it.
type propagationInputs struct {
	changeWriteTime time.Duration // control plane's time to write one change to one reader
	listWriteTime   time.Duration // control plane's time to write a complete list to one reader
	listReadTime    time.Duration // manager's time to read a complete list of the capacity plan's size
}

// propagationRun is the state of one run: a fleet of hollow managers and the changes delivered to it.
type propagationRun struct {
	fleet        *hollowFleet
	control      controlPlane
	listReadTime time.Duration
	version      int   // version of the endpoint list after the changes so far
	drained      []int // numbers of the drained servers, in the order in which they drained
}

// measurePropagation opens a fleet of managers in each run and drains three servers, one at a time: one while all managers
// open, one while nothing else happens, and one while control machines are lost.
func measurePropagation(ctx context.Context, options Options, inputs propagationInputs, managers int) ([]sample, error) {
	// In production each manager has a small heap of its own. Here all of them share one heap, and the time of its garbage
	// collections would be counted as decision time of single managers, so automatic collection is off.
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var samples []sample
	for run := range options.Runs {
		measured, err := measurePropagationRun(ctx, options, inputs, managers, uint64(run))
		if err != nil {
			return nil, err
		}
		samples = append(samples, measured)
	}
	return samples, nil
}

// measurePropagationRun opens a fleet and measures one change in each of the three states.
func measurePropagationRun(ctx context.Context, options Options, inputs propagationInputs, managers int, run uint64) (sample, error) {
	fleet, err := newHollowFleet(propagationScenario(options.Seed), managerCoreShare)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	r := &propagationRun{
		fleet: fleet,
		control: controlPlane{
			changeWriteTime: inputs.changeWriteTime,
			listWriteTime:   inputs.listWriteTime,
			rng:             rand.New(rand.NewPCG(options.Seed, run)),
		},
		listReadTime: inputs.listReadTime,
		version:      firstVersion,
	}
	measured := sample{}
	opening, err := r.drainDuringOpenings(ctx, options.Memory, managers)
	if err != nil {
		return nil, err
	}
	measured.addTimes(opening, PropagationDuringOpeningsMedian, PropagationDuringOpeningsTail, PropagationDuringOpeningsLast)
	quiet, err := r.drainRunningFleet(ctx, 2*propagationInterval, r.control.quietArrivals(managers))
	if err != nil {
		return nil, err
	}
	measured.addTimes(quiet, PropagationMedian, PropagationTail, PropagationLast)
	lost, err := r.drainRunningFleet(ctx, 4*propagationInterval, r.control.arrivalsDuringControlLoss(managers, fleet.reconnectSettings()))
	if err != nil {
		return nil, err
	}
	measured.addTimes(lost, PropagationDuringControlLossMedian, PropagationDuringControlLossTail, PropagationDuringControlLossLast)
	measured[HollowBytes] = fleet.bytesPerManager
	return measured, nil
}

// reconnectSettings returns the reconnect settings of the fleet's managers.
func (f *hollowFleet) reconnectSettings() reconnectSettings {
	limits := f.config.Limits
	return reconnectSettings{watchTimeout: limits.EndpointWatchIdleTimeout, minBackoff: limits.MinBackoff, maxBackoff: limits.MaxBackoff}
}

// drainDuringOpenings starts all managers at once and delivers a change while they open. It returns the seconds until each
// manager has withdrawn the server, sorted.
func (r *propagationRun) drainDuringOpenings(ctx context.Context, memory Memory, managers int) ([]float64, error) {
	emptyHeap := heapInUse()
	arrivals := r.control.arrivalsDuringOpenings(managers)
	change := r.nextChange()
	var times []float64
	for _, arrival := range arrivals {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		took, err := r.openAndWithdraw(arrival, change)
		if err != nil {
			return nil, err
		}
		times = append(times, took.Seconds())
		if err := r.fleet.checkMemory(memory, emptyHeap, managers); err != nil {
			return nil, err
		}
		if len(r.fleet.managers)%managersPerCollection == 0 {
			runtime.GC()
		}
	}
	slices.Sort(times)
	return times, nil
}

// openAndWithdraw starts a manager and returns the time at which it has withdrawn the server that a change drains.
func (r *propagationRun) openAndWithdraw(arrival arrival, change drainChange) (time.Duration, error) {
	manager, err := r.fleet.add()
	if err != nil {
		return 0, err
	}
	if err := r.fleet.openManager(manager, arrival.list, r.listReadTime); err != nil {
		return 0, err
	}
	return manager.withdrawalTime(arrival.change, change.message, change.server)
}

// drainRunningFleet delivers a change to running managers. It returns the seconds until each has withdrawn the server, sorted.
func (r *propagationRun) drainRunningFleet(ctx context.Context, at time.Duration, arrivals []arrival) ([]float64, error) {
	if err := r.fleet.advanceAll(ctx, at); err != nil {
		return nil, err
	}
	runtime.GC()
	change := r.nextChange()
	var times []float64
	for i, arrival := range arrivals {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		took, err := r.withdraw(r.fleet.managers[i], at, arrival, change)
		if err != nil {
			return nil, err
		}
		times = append(times, (took - at).Seconds())
	}
	slices.Sort(times)
	return times, nil
}

// withdraw delivers a change to a manager, by itself or within a complete list, and returns the time at which the manager
// has withdrawn the server.
func (r *propagationRun) withdraw(manager *pacedManager, at time.Duration, arrival arrival, change drainChange) (time.Duration, error) {
	if arrival.change > 0 {
		return manager.withdrawalTime(at+arrival.change, change.message, change.server)
	}
	listAt := at + arrival.list
	manager.busyUntil = listAt + manager.wallTime(r.listReadTime)
	return manager.withdrawalTime(listAt, r.completeList(), change.server)
}

// drainChange is a change of the endpoint list that drains one server.
type drainChange struct {
	message node.Message
	server  balancer.ServerID
}

// nextChange returns the change that drains the next server.
func (r *propagationRun) nextChange() drainChange {
	server := len(r.drained)
	r.drained = append(r.drained, server)
	r.version++
	list := fakes.EndpointList{
		Version:   r.version,
		Endpoints: []fakes.Endpoint{r.fleet.scenario.endpoint(r.fleet.site, server, "draining")},
	}
	return drainChange{
		message: node.Message{Kind: node.EndpointListMessage, Text: encodeList(list)},
		server:  balancer.ServerID(fakes.ServerID(server)),
	}
}

// completeList returns the complete endpoint list after the changes so far.
func (r *propagationRun) completeList() node.Message {
	list := fakes.EndpointList{Version: r.version, Complete: true}
	for server := range r.fleet.scenario.Servers {
		lifecycle := "up"
		if slices.Contains(r.drained, server) {
			lifecycle = "draining"
		}
		list.Endpoints = append(list.Endpoints, r.fleet.scenario.endpoint(r.fleet.site, server, lifecycle))
	}
	return node.Message{Kind: node.EndpointListMessage, Text: encodeList(list)}
}

// addTimes adds the median, the 99th percentile and the maximum of sorted times.
func (s sample) addTimes(sorted []float64, median, tail, last Cost) {
	s[median] = quantile(sorted, 0.5)
	s[tail] = quantile(sorted, 0.99)
	s[last] = sorted[len(sorted)-1]
}

// quantile returns the value at a quantile, given as a fraction, of sorted values.
func quantile(sorted []float64, fraction float64) float64 {
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
