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
	controlMachineCores = 16 // that write whole lists; assumed, as in deploy/capacity.sexp
)

// controlSide is what the control machines take for what they write.
type controlSide struct {
	changeWriteTime time.Duration // processor time of one change told to one reader
	listWriteTime   time.Duration // processor time of a whole list told to one reader
	local           bool          // the managers are on the same machine: nothing crosses a network
	rng             *rand.Rand
}

// arrival is what reaches one manager, in the time since a change was told to the control side.
type arrival struct {
	list   time.Duration // a whole list; 0: none comes
	change time.Duration // the change in a line of its own; 0: the list holds it
}

func (c controlSide) transit() time.Duration {
	if c.local {
		return 0
	}
	return minTransit + time.Duration(c.rng.Float64()*float64(maxTransit-minTransit))
}

// listEvery is the time between two whole lists that a machine writes.
func (c controlSide) listWriteInterval() time.Duration { return c.listWriteTime / controlMachineCores }

// quiet is a change that one machine tells all managers.
func (c controlSide) quietArrivals(managers int) []arrival {
	all := make([]arrival, managers)
	for rank, place := range c.rng.Perm(managers) {
		all[place].change = time.Duration(rank+1)*c.changeWriteTime + c.transit()
	}
	return all
}

// besideOpenings is a change that is told just as all managers have asked for the whole list. The machines write what
// was asked for first, without a priority for changes: the worst order.
func (c controlSide) arrivalsDuringOpenings(managers int) []arrival {
	all := make([]arrival, managers)
	perMachine := (managers + controlMachines - 1) / controlMachines
	for rank, place := range c.rng.Perm(managers) {
		turn := time.Duration(rank/controlMachines + 1)
		crossing := c.transit()
		all[place] = arrival{
			list:   turn*c.listWriteInterval() + crossing,
			change: time.Duration(perMachine)*c.listWriteInterval() + turn*c.changeWriteTime + crossing,
		}
	}
	return all
}

// reconnect is how managers come back to the control side after their machine was lost.
type reconnectSettings struct {
	watchTimeout           time.Duration // until a manager takes its watch for broken
	minBackoff, maxBackoff time.Duration // waits before a new try, by chance between them
}

// machinesLost is a change that is told just as two machines are lost. Their managers come to the others, which write
// each of them the whole list: the generation that it held is not known there.
func (c controlSide) arrivalsDuringControlLoss(managers int, r reconnectSettings) []arrival {
	all := make([]arrival, managers)
	standing := controlMachines - lostControlMachines
	var asked []listRequest
	for rank, place := range c.rng.Perm(managers) {
		turn := time.Duration(rank/controlMachines + 1)
		if machine := rank % controlMachines; machine < standing {
			all[place].change = turn*c.changeWriteTime + c.transit()
			continue
		}
		backoff := r.minBackoff + time.Duration(c.rng.Float64()*float64(r.maxBackoff-r.minBackoff))
		asked = append(asked, listRequest{manager: place, machine: len(asked) % standing, at: r.watchTimeout + backoff + c.transit()})
	}
	slices.SortFunc(asked, func(a, b listRequest) int { return cmp.Compare(a.at, b.at) })
	freeAt := make([]time.Duration, standing)
	for _, one := range asked {
		freeAt[one.machine] = max(freeAt[one.machine], one.at) + c.listWriteInterval()
		all[one.manager].list = freeAt[one.machine] + c.transit()
	}
	return all
}

// request is a manager's for a whole list.
type listRequest struct {
	manager, machine int
	at               time.Duration // at the machine
}
