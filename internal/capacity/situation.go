package capacity

import "math"

// Opening says how the worst-off manager obtains its endpoint list in a situation.
type Opening int

// Kinds of openings.
const (
	NoOpening      Opening = iota // it already has the list
	OpenComplete                  // it starts and is sent the complete list
	OpenFromStore                 // it starts with the list in its store and is sent the changes since
	ReopenComplete                // it kept running without discovery and is sent the complete list
)

// sendsCompleteList reports whether the manager is sent the complete list.
func (o Opening) sendsCompleteList() bool { return o == OpenComplete || o == ReopenComplete }

// Situation is a state of the fleet for which the load of every role is calculated. Its events are spread over its
// window, and rates are means over the window.
type Situation struct {
	Name              string
	Window            float64 // seconds
	ListChanges       float64 // entries of the endpoint list that change
	ListUnavailable   bool    // whether the endpoint list is cut off: no part of it arrives
	Unresponsive      float64 // servers that do not respond, as seen by the worst-off manager
	OutsideHome       bool    // whether those servers are outside the manager's home zones
	RecoveringServers float64 // servers that respond again
	Opening           Opening // how the worst-off manager obtains its list
	OpeningManagers   float64 // managers that are sent the complete list
	MissedEntries     float64 // list entries that the worst-off manager missed and requests
	ResumingManagers  float64 // managers that request the entries they missed
	LostManagers      float64 // managers that are not running or not reachable
	ControlMachines   float64 // control machines in service
}

// situations returns the situations that the fleet must withstand, in the order of the tables.
func (p Plan) situations() []Situation {
	return []Situation{
		p.quietSecond(),
		p.busiestSecondOfDay(),
		p.zoneLost(),
		p.zoneRecovered(),
		p.regionCut(),
		p.regionRecovered(),
		p.restart("all managers of a zone restart", p.managersPerZone()),
		p.restart("all managers restart", float64(p.Fleet.Managers)),
		p.controlLoss("one control machine is lost", 1),
		p.controlLoss("two control machines are lost", 2),
	}
}

func (p Plan) managersPerZone() float64 { return float64(p.Fleet.Managers) / float64(p.Fleet.Zones) }

func (p Plan) controlMachines() float64 { return float64(p.Control.Count) }

// eventWindow returns the seconds over which the events of a failure or recovery are spread.
func (p Plan) eventWindow() float64 { return p.Budgets.MaxPropagation.Seconds() }

func (p Plan) quietSecond() Situation {
	return Situation{Name: "a quiet second", Window: 1, ControlMachines: p.controlMachines()}
}

func (p Plan) busiestSecondOfDay() Situation {
	return Situation{
		Name:            "the busiest second of an ordinary day",
		Window:          1,
		ListChanges:     p.busiestSecond(),
		Unresponsive:    1,
		OutsideHome:     true,
		ControlMachines: p.controlMachines(),
	}
}

func (p Plan) zoneLost() Situation {
	return Situation{
		Name:            "a zone is lost",
		Window:          p.eventWindow(),
		ListChanges:     p.serversPerZone(),
		Unresponsive:    p.serversPerZone(),
		OutsideHome:     true,
		LostManagers:    p.managersPerZone(),
		ControlMachines: p.controlMachines(),
	}
}

func (p Plan) zoneRecovered() Situation {
	return Situation{
		Name:              "the zone is back",
		Window:            p.eventWindow(),
		ListChanges:       p.serversPerZone(),
		RecoveringServers: p.serversPerZone(),
		OutsideHome:       true,
		OpeningManagers:   p.managersPerZone(),
		ControlMachines:   p.controlMachines(),
	}
}

func (p Plan) regionRecovered() Situation {
	return Situation{
		Name:              "the region returns",
		Window:            p.eventWindow(),
		MissedEntries:     p.busyHourEntries() * p.Events.RegionCut.Hours(),
		ResumingManagers:  float64(p.Fleet.Managers) / float64(p.Fleet.Regions),
		RecoveringServers: float64(p.Fleet.Servers) / float64(p.Fleet.Regions),
		ControlMachines:   p.controlMachines(),
	}
}

// controlLoss is the loss of control machines, whose managers reconnect to the remaining ones.
func (p Plan) controlLoss(name string, lost int) Situation {
	managersPerMachine := float64(p.Fleet.Managers) / p.controlMachines()
	return Situation{
		Name:            name,
		Window:          p.eventWindow(),
		Opening:         ReopenComplete,
		OpeningManagers: float64(lost) * managersPerMachine,
		ControlMachines: p.controlMachines() - float64(lost),
	}
}

// restart is a simultaneous restart of the given number of managers. If each has a list in its store, it requests only
// the entries that changed within the window, at the rate of the busiest hour.
func (p Plan) restart(name string, managers float64) Situation {
	s := Situation{Name: name, Window: p.eventWindow(), ControlMachines: p.controlMachines()}
	if p.Managers.ListStored {
		s.Opening = OpenFromStore
		s.ResumingManagers = managers
		s.MissedEntries = p.busyHourEntries() / secondsPerHour * s.Window
		return s
	}
	s.Opening = OpenComplete
	s.OpeningManagers = managers
	return s
}

// regionCut is a region without a connection to any other, as seen by a manager in it.
func (p Plan) regionCut() Situation {
	servers := float64(p.Fleet.Servers)
	regions := float64(p.Fleet.Regions)
	return Situation{
		Name:            "a region is cut off",
		Window:          p.eventWindow(),
		ListUnavailable: true,
		Unresponsive:    servers - servers/regions,
		OutsideHome:     true,
		LostManagers:    float64(p.Fleet.Managers) / regions,
		ControlMachines: p.controlMachines(),
	}
}

// entriesPerDay returns how many entries of the list change on an ordinary day.
func (p Plan) entriesPerDay() float64 {
	d := p.Day
	return float64(d.Failures)*d.EntriesPerFailure + float64(d.Restarts)*d.EntriesPerRestart + float64(d.Changes)*d.EntriesPerChange
}

func (p Plan) busyHourEntries() float64 { return p.entriesPerDay() * p.Day.BusyHour }

const secondsPerHour = 3600

// busiestSecond returns how many entries change in the busiest second of a day. Entries change in batches, and batches
// come at random (a Poisson process) within the busiest hour. At most one second of that hour is expected to exceed
// the returned number.
func (p Plan) busiestSecond() float64 {
	rate := p.busyHourEntries() / float64(p.Day.Batch) / secondsPerHour
	return float64(poissonQuantile(rate, 1-1.0/secondsPerHour) * p.Day.Batch)
}

// poissonQuantile returns the smallest n for which a Poisson variable with the given mean is at most n with at least the
// given probability.
func poissonQuantile(mean, probability float64) int {
	term := math.Exp(-mean)
	if term == 0 { // the mean is in the hundreds or more: use the normal approximation
		return int(math.Ceil(mean + math.Sqrt2*math.Erfinv(2*probability-1)*math.Sqrt(mean)))
	}
	sum := term
	n := 0
	for sum < probability {
		n++
		term *= mean / float64(n)
		sum += term
	}
	return n
}

// expectedOccupied returns the expected number of cells that are hit at least once if the hits are spread evenly at
// random.
func expectedOccupied(cells, hits float64) float64 {
	if cells == 0 {
		return 0
	}
	return cells * -math.Expm1(-hits/cells)
}
