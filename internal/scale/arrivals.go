package scale

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// How a change reaches managers, as docs/design/scale.md states it: a control machine writes to its readers one after
// another, then what it wrote crosses the network.
const (
	minTransit          = 500 * time.Microsecond // within a zone
	maxTransit          = 75 * time.Millisecond  // to the farthest region
	controlMachines     = 7
	lostControlMachines = 2
	controlMachineCores = 16 // that write complete lists; assumed, as in deploy/capacity.sexp
)

// controlSide is the control machines of a fleet, and the time that they take for what they write.
type controlSide struct {
	changeWriteTime time.Duration // processor time to write one change to one reader
	listWriteTime   time.Duration // processor time to write a complete list to one reader
	local           bool          // the managers are on the same machine: nothing crosses a network
	rng             *rand.Rand
}

// arrival is when something reaches one manager, since the control side got a change.
type arrival struct {
	list   time.Duration // a complete list; 0: none comes
	change time.Duration // the change in a message of its own; 0: the list holds it
}

// transit draws how long a message takes across the network.
func (c controlSide) transit() time.Duration {
	if c.local {
		return 0
	}
	return minTransit + time.Duration(c.rng.Float64()*float64(maxTransit-minTransit))
}

// listWriteInterval is the time between two complete lists that a machine writes.
func (c controlSide) listWriteInterval() time.Duration { return c.listWriteTime / controlMachineCores }

// quietArrivals are those of a change that one machine writes to all managers.
func (c controlSide) quietArrivals(managers int) []arrival {
	arrivals := make([]arrival, managers)
	for rank, manager := range c.rng.Perm(managers) {
		arrivals[manager].change = time.Duration(rank+1)*c.changeWriteTime + c.transit()
	}
	return arrivals
}

// arrivalsDuringOpenings are those of a change that comes just as all managers have requested the complete list. The
// machines write the lists first, without a priority for changes: the worst order.
func (c controlSide) arrivalsDuringOpenings(managers int) []arrival {
	arrivals := make([]arrival, managers)
	managersPerMachine := (managers + controlMachines - 1) / controlMachines
	allListsWritten := time.Duration(managersPerMachine) * c.listWriteInterval()
	for rank, manager := range c.rng.Perm(managers) {
		turn := time.Duration(rank/controlMachines + 1)
		transit := c.transit()
		arrivals[manager] = arrival{
			list:   turn*c.listWriteInterval() + transit,
			change: allListsWritten + turn*c.changeWriteTime + transit,
		}
	}
	return arrivals
}

// reconnectSettings say how managers come back to the control side after their machine was lost.
type reconnectSettings struct {
	watchTimeout time.Duration // until a manager takes its watch for broken
	minBackoff   time.Duration // waits before a new attempt are drawn between these
	maxBackoff   time.Duration
}

// arrivalsDuringControlLoss are those of a change that comes just as two machines are lost. Their managers reconnect to
// the others, which write each of them the complete list: they don't know the version that it holds.
func (c controlSide) arrivalsDuringControlLoss(managers int, settings reconnectSettings) []arrival {
	arrivals := make([]arrival, managers)
	remaining := controlMachines - lostControlMachines
	var requests []listRequest
	for rank, manager := range c.rng.Perm(managers) {
		turn := time.Duration(rank/controlMachines + 1)
		if machine := rank % controlMachines; machine < remaining {
			arrivals[manager].change = turn*c.changeWriteTime + c.transit()
			continue
		}
		requests = append(requests, listRequest{
			manager: manager,
			machine: len(requests) % remaining,
			at:      settings.watchTimeout + c.backoff(settings) + c.transit(),
		})
	}
	c.writeLists(requests, remaining, arrivals)
	return arrivals
}

// backoff draws how long a manager waits before it reconnects.
func (c controlSide) backoff(settings reconnectSettings) time.Duration {
	return settings.minBackoff + time.Duration(c.rng.Float64()*float64(settings.maxBackoff-settings.minBackoff))
}

// listRequest is a manager's request for a complete list.
type listRequest struct {
	manager int
	machine int
	at      time.Duration // at the machine
}

// writeLists lets each machine write the lists that were requested of it, in the order of the requests.
func (c controlSide) writeLists(requests []listRequest, machines int, arrivals []arrival) {
	slices.SortFunc(requests, func(a, b listRequest) int { return cmp.Compare(a.at, b.at) })
	freeAt := make([]time.Duration, machines)
	for _, request := range requests {
		freeAt[request.machine] = max(freeAt[request.machine], request.at) + c.listWriteInterval()
		arrivals[request.manager].list = freeAt[request.machine] + c.transit()
	}
}
