package capacity

// Status says how far the code has a mechanism.
type Status string

// Statuses of a mechanism.
const (
	Stands  Status = "stands"
	Partly  Status = "partly"
	Missing Status = "missing"
)

// Mechanism is what makes a load bearable, by its standard name.
type Mechanism struct {
	Name   string
	Status Status
	Where  string // in the code, or what is not there
	Chosen bool   // it was ranked first and is the one that is built; it stays in the ranking that chose it
}

// Mechanisms, with what the code has of each.
var (
	subsetting = Mechanism{
		Name:   "subsetting",
		Status: Stands,
		Where: "`internal/subset`, off unless the operator's settings say `(subset (spill N))`: " +
			"`balancer` is handed the members alone",
		Chosen: true,
	}
	watchCache = Mechanism{
		Name:   "watch cache",
		Status: Missing,
		Where:  "nowhere: each manager's watch is served by discovery itself, whole",
	}
	aggregate = Mechanism{
		Name:   "aggregation",
		Status: Partly,
		Where: "collectors sum an interval for each zone and server, and for each proxy and traffic group; " +
			"nothing sums over proxies or thins out lines by the bytes that they take",
	}
	resume = Mechanism{
		Name:   "delta with resume",
		Status: Partly,
		Where: "`watchState` in `internal/node` asks from the generation that it holds, and takes what changed or all; " +
			"how far back discovery goes is its own matter, and a second control machine's generations are not settled",
	}
	snapshot = Mechanism{
		Name:   "snapshot",
		Status: Partly,
		Where: "`known` in the start's file gives the list that a restart begins with, written by the platform; " +
			"the manager keeps none of its own",
	}
	storedList = Mechanism{
		Name:   "snapshot",
		Status: Stands,
		Where: "`internal/store` keeps the list as last held, off unless the operator's settings say " +
			"`(store (path FILE))`: a restart begins with it and asks for what changed since",
	}
	jitter = Mechanism{
		Name:   "jittered restart",
		Status: Partly,
		Where: "`waitBackoff` in `internal/node` waits 50 to 200 ms by chance between tries, " +
			"which spreads a few managers and not thousands",
	}
	delta = Mechanism{
		Name:   "delta with resume",
		Status: Stands,
		Where:  "`watchState` in `internal/node`: after the opening only changes come",
	}
)

// mechanismForAllBytes is the mechanism for all bytes of a manager: that for reports where most of them are these.
func mechanismForAllBytes(l Load, s Situation) Mechanism {
	if l.CollectorBytes.Value > l.bytes().Value/2 {
		return aggregate
	}
	return mechanismFor(Manager, BytesWithoutCollectors, s)
}

// mechanismFor is the mechanism that bounds a resource of a role in a situation.
func mechanismFor(role Role, resource Resource, s Situation) Mechanism {
	if role == ControlMachine {
		return mechanismForControl(resource, s)
	}
	switch {
	case resource == CoreStrict, resource == CoreWithoutCollectors, resource == Memory:
		return subsetting
	case s.Opening == OpenFromStore:
		return storedList
	case s.MissedEntries > 0:
		return resume
	case s.Opening == OpenAgain:
		return resume
	case s.Opening == OpenComplete:
		return snapshot
	case s.NoList:
		return subsetting // health checks of all servers that the manager holds and that do not answer
	case s.ListChanges > 0:
		return watchCache
	}
	return delta
}

func mechanismForControl(resource Resource, s Situation) Mechanism {
	switch {
	case resource == Memory:
		return watchCache
	case resource == CoreStrict && s.OpeningManagers > 0:
		return jitter
	}
	return watchCache
}
