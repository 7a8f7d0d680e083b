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

// Sizes of the managers whose changes are timed: the smallest in which slow start and withdrawals both occur.
const (
	propagationServers = 60
	propagationProxies = 20
	propagationZones   = 3
)

const (
	propagationTimeout    = 30 * time.Second // after which a change that isn't in force counts as lost
	propagationInterval   = 40 * time.Second // between the changes that are timed
	managersPerCollection = 256              // that are opened between two collections of garbage
)

// propagationScenario is one manager of a fleet in which changes are timed.
func propagationScenario(seed uint64) Scenario {
	scenario := Reference()
	scenario.Seed = seed
	scenario.Servers = propagationServers
	scenario.Proxies = propagationProxies
	scenario.Zones = propagationZones
	return scenario
}

// propagationCosts are measured by measurePropagation.
var propagationCosts = []Cost{
	PropagationMedian, PropagationTail, PropagationLast,
	PropagationDuringOpeningsMedian, PropagationDuringOpeningsTail, PropagationDuringOpeningsLast,
	PropagationDuringControlLossMedian, PropagationDuringControlLossTail, PropagationDuringControlLossLast,
	HollowBytes,
}

// propagationInputs are the processor times, measured before, that the propagation of a change depends on.
type propagationInputs struct {
	changeWriteTime time.Duration // of the control side, for one change and one reader
	listWriteTime   time.Duration // of the control side, for a complete list and one reader
	listReadTime    time.Duration // of a manager, for a complete list of the plan's size
}

// propagationRun is one run: a fleet that opens, and the changes that are delivered to it.
type propagationRun struct {
	fleet        *hollowFleet
	control      controlSide
	listReadTime time.Duration
	version      int
	drained      []int // servers, in the order in which they drained
}

// measurePropagation opens a fleet of managers and drains one server after another: in each run during all openings, in
// quiet, and while control machines are lost.
func measurePropagation(ctx context.Context, options Options, inputs propagationInputs, managers int) ([]sample, error) {
	// A manager of its own has a small heap; the collection of all that are here would count as its decision.
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

// measurePropagationRun opens a fleet and measures one change in each state.
func measurePropagationRun(ctx context.Context, options Options, inputs propagationInputs, managers int, run uint64) (sample, error) {
	fleet, err := newHollowFleet(propagationScenario(options.Seed), managerCoreShare)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	r := &propagationRun{
		fleet: fleet,
		control: controlSide{
			changeWriteTime: inputs.changeWriteTime,
			listWriteTime:   inputs.listWriteTime,
			rng:             rand.New(rand.NewPCG(options.Seed, run)),
		},
		listReadTime: inputs.listReadTime,
		version:      firstVersion,
	}
	measured := sample{}
	opening, err := r.duringOpenings(ctx, options.Memory, managers)
	if err != nil {
		return nil, err
	}
	measured.addTimes(opening, PropagationDuringOpeningsMedian, PropagationDuringOpeningsTail, PropagationDuringOpeningsLast)
	quiet, err := r.drain(ctx, 2*propagationInterval, r.control.quietArrivals(managers))
	if err != nil {
		return nil, err
	}
	measured.addTimes(quiet, PropagationMedian, PropagationTail, PropagationLast)
	lost, err := r.drain(ctx, 4*propagationInterval, r.control.arrivalsDuringControlLoss(managers, fleet.reconnectSettings()))
	if err != nil {
		return nil, err
	}
	measured.addTimes(lost, PropagationDuringControlLossMedian, PropagationDuringControlLossTail, PropagationDuringControlLossLast)
	measured[HollowBytes] = fleet.bytesPerManager
	return measured, nil
}

// reconnectSettings are those of the fleet's managers.
func (f *hollowFleet) reconnectSettings() reconnectSettings {
	limits := f.config.Limits
	return reconnectSettings{watchTimeout: limits.EndpointWatchIdleTimeout, minBackoff: limits.MinBackoff, maxBackoff: limits.MaxBackoff}
}

// duringOpenings starts all managers at once and delivers a change meanwhile. It returns, sorted, the seconds until each has
// withdrawn the server.
func (r *propagationRun) duringOpenings(ctx context.Context, memory Memory, managers int) ([]float64, error) {
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

// openAndWithdraw starts a manager, and returns the time at which it has carried out a change.
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

// drain delivers a change to managers that run. It returns, sorted, the seconds until each has withdrawn the server.
func (r *propagationRun) drain(ctx context.Context, at time.Duration, arrivals []arrival) ([]float64, error) {
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

// withdraw delivers a change, alone or within a complete list, and returns when it has carried it out.
func (r *propagationRun) withdraw(manager *pacedManager, at time.Duration, arrival arrival, change drainChange) (time.Duration, error) {
	if arrival.change > 0 {
		return manager.withdrawalTime(at+arrival.change, change.message, change.server)
	}
	listAt := at + arrival.list
	manager.busyUntil = listAt + manager.wallTime(r.listReadTime)
	return manager.withdrawalTime(listAt, r.completeList(), change.server)
}

// drainChange is a change of the list that drains one server.
type drainChange struct {
	message node.Message
	server  balancer.ServerID
}

// nextChange drains the next server.
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

// completeList is the list after the changes so far.
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

// addTimes adds the median, the 99th percentile and the last of sorted times.
func (s sample) addTimes(sorted []float64, median, tail, last Cost) {
	s[median] = quantile(sorted, 0.5)
	s[tail] = quantile(sorted, 0.99)
	s[last] = sorted[len(sorted)-1]
}

// quantile of sorted values.
func quantile(sorted []float64, part float64) float64 {
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
