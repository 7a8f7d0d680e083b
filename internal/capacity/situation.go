package capacity

import "math"

// Situation is a state of the fleet in which all roles are looked at. What happens in it is spread over its window,
// and rates are means over that.
type Situation struct {
	Name              string
	Window            float64 // seconds
	ListChanges       float64 // entries of the list that change
	Unresponsive      float64 // servers that do not answer, as the worst-off manager sees it
	Opens             bool    // the worst-off manager takes its list anew
	FromStore         bool    // it opens with the list that its store kept, and asks for what changed since
	Reopens           bool    // it ran on meanwhile and holds a generation
	OpeningManagers   float64 // managers that do
	MissedEntries     float64 // entries that the worst-off manager missed and asks for
	ResumingManagers  float64 // managers that ask for them
	ControlMachines   float64 // control machines that serve
	LostManagers      float64 // managers that are away
	OutsideHome       bool    // the silent servers are of other zones than the manager's
	NoList            bool    // nothing of the list arrives
	RecoveringServers float64 // servers that answer again
}

// situations are those that the plan has to bear, in the order of the tables.
func (p Plan) situations() []Situation {
	f := p.Fleet
	window := p.Budgets.MaxPropagation.Seconds()
	machines := float64(p.Control.Count)
	perZone := float64(f.Servers) / float64(f.Zones)
	managersPerZone := float64(f.Managers) / float64(f.Zones)
	perRegion := float64(f.Servers) / float64(f.Regions)
	managersPerRegion := float64(f.Managers) / float64(f.Regions)
	perMachine := float64(f.Managers) / machines
	return []Situation{
		{Name: "a quiet second", Window: 1, ControlMachines: machines},
		{Name: "the busiest second of an ordinary day", Window: 1, ListChanges: p.busiestSecond(), Unresponsive: 1, OutsideHome: true, ControlMachines: machines},
		{Name: "a zone is lost", Window: window, ListChanges: perZone, Unresponsive: perZone, OutsideHome: true, LostManagers: managersPerZone, ControlMachines: machines},
		{Name: "the zone is back", Window: window, ListChanges: perZone, RecoveringServers: perZone, OpeningManagers: managersPerZone, OutsideHome: true, ControlMachines: machines},
		p.regionCut(),
		{Name: "the region returns", Window: window, MissedEntries: p.busyHourEntries() * p.Events.RegionCut.Hours(), ResumingManagers: managersPerRegion, RecoveringServers: perRegion, ControlMachines: machines},
		p.restart("all managers of a zone restart", managersPerZone),
		p.restart("all managers restart", float64(f.Managers)),
		{Name: "one control machine is lost", Window: window, Opens: true, Reopens: true, OpeningManagers: perMachine, ControlMachines: machines - 1},
		{Name: "two control machines are lost", Window: window, Opens: true, Reopens: true, OpeningManagers: 2 * perMachine, ControlMachines: machines - 2},
	}
}

// restart is so many managers that restart together. Where each has a list in its store, it asks for what changed within
// the window at the pace of the busiest hour.
func (p Plan) restart(name string, managers float64) Situation {
	window := p.Budgets.MaxPropagation.Seconds()
	s := Situation{Name: name, Window: window, Opens: true, ControlMachines: float64(p.Control.Count)}
	if !p.Managers.ListStored {
		s.OpeningManagers = managers
		return s
	}
	s.FromStore = true
	s.ResumingManagers = managers
	s.MissedEntries = p.busyHourEntries() / secondsPerHour * window
	return s
}

// regionCut is a region without a way to any other, as a manager within it sees it.
func (p Plan) regionCut() Situation {
	f := p.Fleet
	return Situation{
		Name: "a region is cut off", Window: p.Budgets.MaxPropagation.Seconds(), NoList: true, OutsideHome: true,
		Unresponsive: float64(f.Servers) - float64(f.Servers)/float64(f.Regions),
		LostManagers: float64(f.Managers) / float64(f.Regions), ControlMachines: float64(p.Control.Count),
	}
}

// entriesPerDay is how many entries of the list change on an ordinary day.
func (p Plan) entriesPerDay() float64 {
	d := p.Day
	return float64(d.Failures)*d.EntriesPerFailure + float64(d.Restarts)*d.EntriesPerRestart + float64(d.Changes)*d.EntriesPerChange
}

func (p Plan) busyHourEntries() float64 { return p.entriesPerDay() * p.Day.BusyHour }

const secondsPerHour = 3600

// busiestSecond is how many entries change in the busiest second of a day. Changes come in batches, batches at random
// (Poisson) within the busiest hour; it is the number of batches that one second in the hour passes at most.
func (p Plan) busiestSecond() float64 {
	rate := p.busyHourEntries() / float64(p.Day.Batch) / secondsPerHour
	return float64(poissonQuantile(rate, 1-1.0/secondsPerHour) * p.Day.Batch)
}

// poissonQuantile is the least number that a Poisson variable of a mean stays at or under with a probability.
func poissonQuantile(mean, probability float64) int {
	term := math.Exp(-mean)
	if term == 0 { // a mean of hundreds: the normal distribution
		return int(math.Ceil(mean + math.Sqrt2*math.Erfinv(2*probability-1)*math.Sqrt(mean)))
	}
	sum, n := term, 0
	for sum < probability {
		n++
		term *= mean / float64(n)
		sum += term
	}
	return n
}

// occupied is how many of some cells are hit at least once, where so many hits fall on them evenly.
func expectedOccupied(cells, hits float64) float64 {
	if cells == 0 {
		return 0
	}
	return cells * -math.Expm1(-hits/cells)
}
