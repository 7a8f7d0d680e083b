package capacity

import "math"

// Opening says how the worst-off manager comes by its endpoint list in a situation.
type Opening int

// Ways to open.
const (
	NoOpening     Opening = iota // it has the list
	OpenComplete                 // it starts, and is sent the complete list
	OpenFromStore                // it starts with the list in its store, and is sent what changed since
	OpenAgain                    // it ran on without discovery, and is sent the complete list
)

// sendsCompleteList reports whether the manager is sent the complete list.
func (o Opening) sendsCompleteList() bool { return o == OpenComplete || o == OpenAgain }

// Situation is a state of the fleet in which all roles are looked at. What happens in it is spread over its window, and
// rates are means over that.
type Situation struct {
	Name              string
	Window            float64 // seconds
	ListChanges       float64 // entries of the endpoint list that change
	NoList            bool    // nothing of the endpoint list arrives
	Unresponsive      float64 // servers that do not answer, as the worst-off manager sees it
	OutsideHome       bool    // those servers are of other zones than the manager's
	RecoveringServers float64 // that answer again
	Opening           Opening // of the worst-off manager
	OpeningManagers   float64 // that are sent the complete list
	MissedEntries     float64 // of the list, that the worst-off manager asks for
	ResumingManagers  float64 // that ask for what they missed
	LostManagers      float64 // that are away
	ControlMachines   float64 // that serve
}

// situations are those that the plan has to bear, in the order of the tables.
func (p Plan) situations() []Situation {
	return []Situation{
		p.quietSecond(),
		p.busiestSecondOfDay(),
		p.zoneLost(),
		p.zoneBack(),
		p.regionCut(),
		p.regionBack(),
		p.restart("all managers of a zone restart", p.managersPerZone()),
		p.restart("all managers restart", float64(p.Fleet.Managers)),
		p.controlLoss("one control machine is lost", 1),
		p.controlLoss("two control machines are lost", 2),
	}
}

func (p Plan) managersPerZone() float64 { return float64(p.Fleet.Managers) / float64(p.Fleet.Zones) }

func (p Plan) controlMachines() float64 { return float64(p.Control.Count) }

// windowOfEvent is the seconds over which what happens in an event is spread.
func (p Plan) windowOfEvent() float64 { return p.Budgets.MaxPropagation.Seconds() }

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
		Window:          p.windowOfEvent(),
		ListChanges:     p.perZone(),
		Unresponsive:    p.perZone(),
		OutsideHome:     true,
		LostManagers:    p.managersPerZone(),
		ControlMachines: p.controlMachines(),
	}
}

func (p Plan) zoneBack() Situation {
	return Situation{
		Name:              "the zone is back",
		Window:            p.windowOfEvent(),
		ListChanges:       p.perZone(),
		RecoveringServers: p.perZone(),
		OutsideHome:       true,
		OpeningManagers:   p.managersPerZone(),
		ControlMachines:   p.controlMachines(),
	}
}

func (p Plan) regionBack() Situation {
	return Situation{
		Name:              "the region returns",
		Window:            p.windowOfEvent(),
		MissedEntries:     p.busyHourEntries() * p.Events.RegionCut.Hours(),
		ResumingManagers:  float64(p.Fleet.Managers) / float64(p.Fleet.Regions),
		RecoveringServers: float64(p.Fleet.Servers) / float64(p.Fleet.Regions),
		ControlMachines:   p.controlMachines(),
	}
}

// controlLoss is the loss of control machines, whose managers open at the others.
func (p Plan) controlLoss(name string, lost int) Situation {
	managersPerMachine := float64(p.Fleet.Managers) / p.controlMachines()
	return Situation{
		Name:            name,
		Window:          p.windowOfEvent(),
		Opening:         OpenAgain,
		OpeningManagers: float64(lost) * managersPerMachine,
		ControlMachines: p.controlMachines() - float64(lost),
	}
}

// restart is so many managers that restart together. Where each has a list in its store, it asks for what changed within
// the window at the pace of the busiest hour.
func (p Plan) restart(name string, managers float64) Situation {
	s := Situation{Name: name, Window: p.windowOfEvent(), ControlMachines: p.controlMachines()}
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

// regionCut is a region without a way to any other, as a manager within it sees it.
func (p Plan) regionCut() Situation {
	servers := float64(p.Fleet.Servers)
	regions := float64(p.Fleet.Regions)
	return Situation{
		Name:            "a region is cut off",
		Window:          p.windowOfEvent(),
		NoList:          true,
		Unresponsive:    servers - servers/regions,
		OutsideHome:     true,
		LostManagers:    float64(p.Fleet.Managers) / regions,
		ControlMachines: p.controlMachines(),
	}
}

// entriesPerDay is how many entries of the list change on an ordinary day.
func (p Plan) entriesPerDay() float64 {
	d := p.Day
	return float64(d.Failures)*d.EntriesPerFailure + float64(d.Restarts)*d.EntriesPerRestart + float64(d.Changes)*d.EntriesPerChange
}

func (p Plan) busyHourEntries() float64 { return p.entriesPerDay() * p.Day.BusyHour }

const secondsPerHour = 3600

// busiestSecond is how many entries change in the busiest second of a day. Changes come in batches, and batches at random
// (a Poisson process) within the busiest hour; at most one second of the hour has more of them.
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
	sum := term
	n := 0
	for sum < probability {
		n++
		term *= mean / float64(n)
		sum += term
	}
	return n
}

// expectedOccupied is how many of some cells are hit at least once, where so many hits fall on them evenly.
func expectedOccupied(cells, hits float64) float64 {
	if cells == 0 {
		return 0
	}
	return cells * -math.Expm1(-hits/cells)
}
