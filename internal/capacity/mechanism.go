package capacity

// Status says how far a mechanism stands in the code.
type Status string

// Statuses of a mechanism.
const (
	Stands  Status = "stands"
	Partly  Status = "partly"
	Missing Status = "missing"
)

// Mechanism is what carries a load, by its standard name.
type Mechanism struct {
	Name   string
	Status Status
	Where  string // in the code, or what is not there
	Chosen bool   // it was ranked first and is the one that is built; it stays in the ranking that chose it
}

// Mechanisms, with what the code has of each.
var (
	subsetting = Mechanism{"subsetting", Stands, "`internal/subset`, off unless the operator's settings say `(subset (spill N))`: `balancer` is handed the members alone", true}
	watchCache = Mechanism{"watch cache", Missing, "nowhere: each manager's watch is served by discovery itself, whole", false}
	aggregate  = Mechanism{"aggregation", Partly, "collectors sum an interval for each zone and server, and for each proxy and traffic group; nothing sums over proxies or thins out lines by the bytes that they take", false}
	resume     = Mechanism{"delta with resume", Partly, "`watchState` in `internal/node` asks from the generation that it holds, and takes what changed or all; how far back discovery goes is its own matter, and a second control machine's generations are not settled", false}
	snapshot   = Mechanism{"snapshot", Partly, "`known` in the start's file gives the list that a restart begins with, written by the platform; the manager keeps none of its own", false}
	storedList = Mechanism{"snapshot", Stands, "`internal/store` keeps the list as last held, off unless the operator's settings say `(store (path FILE))`: a restart begins with it and asks for what changed since", false}
	jitter     = Mechanism{"jittered restart", Partly, "`waitBackoff` in `internal/node` waits 50 to 200 ms by chance between tries, which spreads a few managers and not thousands", false}
	delta      = Mechanism{"delta with resume", Stands, "`watchState` in `internal/node`: after the opening only changes come", false}
)

// carryingStrict is the mechanism that carries all bytes of a manager: that of collectors' lines where they are most.
func mechanismForAllBytes(l Load, s Situation) Mechanism {
	if l.CollectorBytes.Value > l.bytes().Value/2 {
		return aggregate
	}
	return mechanismFor(Manager, BytesWithoutCollectors, s)
}

// carrying is the mechanism that carries a resource of a role in a situation.
func mechanismFor(role Role, resource Resource, s Situation) Mechanism {
	if role == ControlMachine {
		return mechanismForControl(resource, s)
	}
	switch {
	case resource == CoreStrict, resource == CoreWithoutCollectors, resource == Memory:
		return subsetting
	case s.FromStore:
		return storedList
	case s.MissedEntries > 0:
		return resume
	case s.Reopens:
		return resume
	case s.Opens:
		return snapshot
	case s.NoList:
		return subsetting // probes of servers that do not answer, of all that the manager holds
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
