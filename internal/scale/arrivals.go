package scale

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Model of how a change reaches the managers (see docs/design/scale.md): a control machine writes to its readers one
// after another, and each message then crosses the network.
const (
	minTransit          = 500 * time.Microsecond // network delay within a zone
	maxTransit          = 75 * time.Millisecond  // network delay to the farthest region
	controlMachines     = 7
	lostControlMachines = 2
	controlMachineCores = 16 // cores that write complete lists, as in deploy/capacity.sexp
)

// controlPlane models the control plane of a fleet: its control machines and the time that they take to write messages.
type controlPlane struct {
	changeWriteTime time.Duration // processor time to write one change to one reader
	listWriteTime   time.Duration // processor time to write a complete list to one reader
	local           bool          // the managers run on the same machine, so messages have no network delay
	rng             *rand.Rand
}

// arrival holds the times at which messages reach one manager, measured from when the control plane receives a change.
type arrival struct {
	list   time.Duration // arrival of a complete list; 0: none is sent
	change time.Duration // arrival of the change as a separate message; 0: the complete list contains it
}

// transit returns a random network delay for one message.
func (c controlPlane) transit() time.Duration {
	if c.local {
		return 0
	}
	return minTransit + time.Duration(c.rng.Float64()*float64(maxTransit-minTransit))
}

// listWriteInterval returns the time between two complete lists written by one machine.
func (c controlPlane) listWriteInterval() time.Duration { return c.listWriteTime / controlMachineCores }

// quietArrivals returns the arrivals of a change that one machine writes to all managers.
func (c controlPlane) quietArrivals(managers int) []arrival {
	arrivals := make([]arrival, managers)
	for rank, manager := range c.rng.Perm(managers) {
		arrivals[manager].change = time.Duration(rank+1)*c.changeWriteTime + c.transit()
	}
	return arrivals
}

// arrivalsDuringOpenings returns the arrivals of a change that is made just after all managers have requested the
// complete list. The machines write all lists before the change, which is the worst order for the change.
func (c controlPlane) arrivalsDuringOpenings(managers int) []arrival {
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

// reconnectSettings determine when managers reconnect to the control plane after their control machine was lost.
type reconnectSettings struct {
	watchTimeout time.Duration // idle time after which a manager considers its watch broken
	minBackoff   time.Duration // the backoff before a new attempt is random between minBackoff and maxBackoff
	maxBackoff   time.Duration
}

// arrivalsDuringControlLoss returns the arrivals of a change that is made just as lostControlMachines machines are lost.
// Their managers reconnect to the remaining machines, which don't know the version that each manager has and therefore
// write the complete list.
func (c controlPlane) arrivalsDuringControlLoss(managers int, settings reconnectSettings) []arrival {
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

// backoff returns a random backoff before a manager reconnects.
func (c controlPlane) backoff(settings reconnectSettings) time.Duration {
	return settings.minBackoff + time.Duration(c.rng.Float64()*float64(settings.maxBackoff-settings.minBackoff))
}

// listRequest is a manager's request for a complete list.
type listRequest struct {
	manager int
	machine int
	at      time.Duration // when it reaches the machine
}

// writeLists sets the list arrivals: each machine writes the lists requested from it in the order of the requests.
func (c controlPlane) writeLists(requests []listRequest, machines int, arrivals []arrival) {
	slices.SortFunc(requests, func(a, b listRequest) int { return cmp.Compare(a.at, b.at) })
	freeAt := make([]time.Duration, machines)
	for _, request := range requests {
		freeAt[request.machine] = max(freeAt[request.machine], request.at) + c.listWriteInterval()
		arrivals[request.manager].list = freeAt[request.machine] + c.transit()
	}
}
