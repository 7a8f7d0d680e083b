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

// Sizes of the managers whose changes are timed: the smallest state in which tables, climbs and withdrawals all occur.
const (
	propagationServers    = 60
	propagationProxies    = 20
	propagationZones      = 3
	propagationTimeout    = 30 * time.Second // until a change that isn't in force counts as lost
	propagationInterval   = 40 * time.Second // between the changes that are timed
	managersPerCollection = 256              // managers between two collections of garbage
)

func propagationScenario(seed uint64) Scenario {
	scenario := Reference()
	scenario.Seed, scenario.Servers, scenario.Proxies, scenario.Zones = seed, propagationServers, propagationProxies, propagationZones
	return scenario
}

// inForceCosts are measured for changes in force.
var propagationCosts = []Cost{PropagationMedian, PropagationTail, PropagationLast, PropagationDuringOpeningsMedian, PropagationDuringOpeningsTail,
	PropagationDuringOpeningsLast, PropagationDuringControlLossMedian, PropagationDuringControlLossTail, PropagationDuringControlLossLast, HollowBytes}

// inForceTerms is what a measurement of changes in force goes by.
type propagationInputs struct {
	changeWriteTime, listWriteTime time.Duration // of the control side: processor time for one reader
	listReadTime                   time.Duration // processor time in which a manager reads a whole list of the plan's size
}

// inForceRun is one run: a fleet that opens, and the changes that are told it.
type propagationRun struct {
	fleet        *hollowFleet
	control      controlSide
	listReadTime time.Duration
	version      int
	drained      []int // servers, in the order in which they were drained
}

// measureInForce opens a fleet of managers and drains one server after another, in each run beside all openings, in
// quiet and with control machines lost.
func measurePropagation(ctx context.Context, options Options, terms propagationInputs, managers int) ([]sample, error) {
	// A manager of its own has a small heap; the collection of all that are here would count as its decision.
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var samples []sample
	for run := range options.Runs {
		one, err := measurePropagationRun(ctx, options, terms, managers, uint64(run))
		if err != nil {
			return nil, err
		}
		samples = append(samples, one)
	}
	return samples, nil
}

func measurePropagationRun(ctx context.Context, options Options, terms propagationInputs, managers int, run uint64) (sample, error) {
	f, err := newHollowFleet(propagationScenario(options.Seed), managerCoreShare)
	if err != nil {
		return nil, err
	}
	defer f.close()
	random := rand.New(rand.NewPCG(options.Seed, run))
	r := &propagationRun{fleet: f, control: controlSide{changeWriteTime: terms.changeWriteTime, listWriteTime: terms.listWriteTime, rng: random}, listReadTime: terms.listReadTime,
		version: firstVersion}
	one := sample{}
	opening, err := r.duringOpenings(ctx, options.Memory, managers)
	if err != nil {
		return nil, err
	}
	one.addTimes(opening, PropagationDuringOpeningsMedian, PropagationDuringOpeningsTail, PropagationDuringOpeningsLast)
	quiet, err := r.drain(ctx, 2*propagationInterval, r.control.quietArrivals(managers))
	if err != nil {
		return nil, err
	}
	one.addTimes(quiet, PropagationMedian, PropagationTail, PropagationLast)
	limits := f.start.Limits
	again := reconnectSettings{watchTimeout: limits.EndpointWatchIdleTimeout, minBackoff: limits.MinBackoff, maxBackoff: limits.MaxBackoff}
	lost, err := r.drain(ctx, 4*propagationInterval, r.control.arrivalsDuringControlLoss(managers, again))
	if err != nil {
		return nil, err
	}
	one.addTimes(lost, PropagationDuringControlLossMedian, PropagationDuringControlLossTail, PropagationDuringControlLossLast)
	one[HollowBytes] = f.bytesPerManager
	return one, nil
}

// besideOpenings starts all managers at once, and tells a change meanwhile.
func (r *propagationRun) duringOpenings(ctx context.Context, memory Memory, managers int) (times []float64, err error) {
	empty := heapInUse()
	arrivals := r.control.arrivalsDuringOpenings(managers)
	change := r.nextChange()
	for _, reached := range arrivals {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		one, err := r.fleet.add()
		if err != nil {
			return nil, err
		}
		if err := r.fleet.openManager(one, reached.list, r.listReadTime); err != nil {
			return nil, err
		}
		took, err := one.withdrawalTime(reached.change, change.message, change.server)
		if err != nil {
			return nil, err
		}
		times = append(times, took.Seconds())
		if err := r.fleet.checkMemory(memory, empty, managers); err != nil {
			return nil, err
		}
		if len(r.fleet.managers)%managersPerCollection == 0 {
			runtime.GC()
		}
	}
	slices.Sort(times)
	return times, nil
}

// drain tells managers that run a change at a time, and gives, sorted, the times until their orders carry it.
func (r *propagationRun) drain(ctx context.Context, at time.Duration, arrivals []arrival) (times []float64, err error) {
	if err := r.fleet.advanceAll(ctx, at); err != nil {
		return nil, err
	}
	runtime.GC()
	change := r.nextChange()
	for place, reached := range arrivals {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		one := r.fleet.managers[place]
		reachedAt, message := at+reached.change, change.message
		if reached.change == 0 { // the list holds it
			reachedAt, message = at+reached.list, r.wholeList()
			one.busyUntil = reachedAt + one.wallTime(r.listReadTime)
		}
		took, err := one.withdrawalTime(reachedAt, message, change.server)
		if err != nil {
			return nil, err
		}
		times = append(times, (took - at).Seconds())
	}
	slices.Sort(times)
	return times, nil
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
	source := &recorder{scenario: r.fleet.scenario, site: r.fleet.site, listVersion: r.version, serverOrder: []int{server}}
	message := source.listChange(1)
	r.version = source.listVersion
	return drainChange{message: message, server: balancer.ServerID(fakes.ServerID(server))}
}

// wholeList is the list as it stands after the changes that were told.
func (r *propagationRun) wholeList() node.Message {
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
