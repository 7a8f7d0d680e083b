package capacity

// Status says how far the code implements a mechanism.
type Status string

// Statuses of a mechanism.
const (
	Implemented       Status = "stands"
	PartlyImplemented Status = "partly"
	Missing           Status = "missing"
)

// Mechanism is a technique that keeps a load within its budget, under its standard name.
type Mechanism struct {
	Name          string
	Status        Status
	Where         string // where in the code, or what is not implemented
	KeptInRanking bool   // the mechanism was built because it ranked first, and stays in the ranking although it is implemented
}

// Mechanisms and how far the code implements each of them.
var (
	subsetting = Mechanism{
		Name:   "subsetting",
		Status: Implemented,
		Where: "`internal/subset`, off unless the operator's settings say `(subset (spill N))`: " +
			"`balancer` is handed the members alone",
		KeptInRanking: true,
	}
	watchCache = Mechanism{
		Name:   "watch cache",
		Status: Missing,
		Where:  "nowhere: each manager's watch is served by discovery itself, whole",
	}
	aggregation = Mechanism{
		Name:   "aggregation",
		Status: PartlyImplemented,
		Where: "collectors sum an interval for each zone and server, and for each proxy and traffic group; " +
			"nothing sums over proxies or thins out lines by the bytes that they take",
	}
	deltaWithResume = Mechanism{
		Name:   "delta with resume",
		Status: PartlyImplemented,
		Where: "`watchState` in `internal/node` asks from the generation that it holds, and takes what changed or all; " +
			"how far back discovery goes is its own matter, and a second control machine's generations are not settled",
	}
	snapshot = Mechanism{
		Name:   "snapshot",
		Status: PartlyImplemented,
		Where: "`known` in the start's file gives the list that a restart begins with, written by the platform; " +
			"the manager keeps none of its own",
	}
	storedList = Mechanism{
		Name:   "snapshot",
		Status: Implemented,
		Where: "`internal/store` keeps the list as last held, off unless the operator's settings say " +
			"`(store (path FILE))`: a restart begins with it and asks for what changed since",
	}
	jitteredRestart = Mechanism{
		Name:   "jittered restart",
		Status: PartlyImplemented,
		Where: "`waitBackoff` in `internal/node` waits 50 to 200 ms by chance between tries, " +
			"which spreads a few managers and not thousands",
	}
	delta = Mechanism{
		Name:   "delta with resume",
		Status: Implemented,
		Where:  "`watchState` in `internal/node`: after the opening only changes come",
	}
)

// mechanismForAllBytes returns the mechanism that bounds all bytes of a manager. That is aggregation if more than half
// of the bytes come from collectors.
func mechanismForAllBytes(l Load, s Situation) Mechanism {
	if l.CollectorBytes.Value > l.bytes().Value/2 {
		return aggregation
	}
	return mechanismFor(Manager, BytesWithoutCollectors, s)
}

// mechanismFor returns the mechanism that bounds a resource of a role in a situation.
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
		return deltaWithResume
	case s.Opening == ReopenComplete:
		return deltaWithResume
	case s.Opening == OpenComplete:
		return snapshot
	case s.ListUnavailable:
		return subsetting // health checks go to all held servers that do not respond
	case s.ListChanges > 0:
		return watchCache
	}
	return delta
}

// mechanismForControl returns the mechanism that bounds a resource of a control machine in a situation.
func mechanismForControl(resource Resource, s Situation) Mechanism {
	switch {
	case resource == Memory:
		return watchCache
	case resource == CoreStrict && s.OpeningManagers > 0:
		return jitteredRestart
	}
	return watchCache
}
