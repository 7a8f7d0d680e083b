package faultsim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault. Its String method returns its name in scenario and replay files.
type FaultKind int

// Kinds of faults. Faults that last for a time end after Fault.Duration.
const (
	Crash               FaultKind = iota // servers crash, and restart cold
	Unresponsive                         // servers respond to nothing, then go on as before
	SlowServers                          // servers have longer service times
	ServerErrors                         // servers fail most requests, without delay
	Drain                                // servers drain, stop, and restart as new processes
	ZoneOutage                           // all servers of a zone crash, and restart cold
	ZonePartition                        // requests between a zone and the others fail
	ReportsLost                          // load and usage reports are lost
	RelayUnreachable                     // calls to the relay fail without being executed
	ResponsesLost                        // some calls get no response, whether executed or not
	SlowChannel                          // the channel sends more slowly
	ManagerRestart                       // the manager restarts with the last endpoint list
	ManagerStall                         // the manager handles no input for a time
	ProxyReconnect                       // proxies lose their streams and reconnect
	WrongEndpointList                    // the endpoint list shows running servers as removed, then as ready again
	DuplicateReports                     // reports arrive twice
	DelayedEndpointList                  // changes of the endpoint list arrive with an extra delay
	Rollback                             // the operator rolls the tables back to an older version for a time
)

// faultNames holds the names of the kinds in scenario and replay files.
var faultNames = [...]string{
	Crash:               "crash",
	Unresponsive:        "silence",
	SlowServers:         "slow",
	ServerErrors:        "errors",
	Drain:               "drain",
	ZoneOutage:          "zone-lost",
	ZonePartition:       "zone-cut",
	ReportsLost:         "deaf",
	RelayUnreachable:    "unreachable",
	ResponsesLost:       "lost-answers",
	SlowChannel:         "slow-channel",
	ManagerRestart:      "restart",
	ManagerStall:        "stall",
	ProxyReconnect:      "rejoin",
	WrongEndpointList:   "wrong-list",
	DuplicateReports:    "doubled",
	DelayedEndpointList: "late-list",
	Rollback:            "rollback",
}

// String returns the name of a kind in scenario and replay files.
func (k FaultKind) String() string { return faultNames[k] }

// FaultKinds returns all kinds. Their order affects which kind is drawn from a random number.
func FaultKinds() []FaultKind {
	kinds := make([]FaultKind, len(faultNames))
	for i := range kinds {
		kinds[i] = FaultKind(i)
	}
	return kinds
}

// Fault is one fault of a run.
type Fault struct {
	Kind       FaultKind
	At         time.Duration // since the start of the run
	Duration   time.Duration
	Fraction   float64 // fraction of the servers or proxies that are affected
	TargetSeed uint64  // seed for drawing the affected servers, proxies or zone
}

// Script holds the faults of a run in order of time, and the seed of all other random numbers of the run.
type Script struct {
	Seed   uint64
	Faults []Fault
}

// Bounds of generated faults.
const (
	firstFaultAt       = 2 * time.Second
	minFaultDuration   = time.Second
	minFaultPercent    = 5
	faultPercentSpread = 36
)

// GenerateScript draws the script of a seed.
func GenerateScript(s Scenario, seed uint64) Script {
	rng := rand.New(rand.NewPCG(seed, scriptStream))
	script := Script{Seed: seed}
	count := s.FaultCount.Min + rng.IntN(s.FaultCount.Max-s.FaultCount.Min+1)
	for range count {
		script.Faults = append(script.Faults, s.drawFault(rng))
	}
	slices.SortStableFunc(script.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return script
}

// drawFault draws one fault. The order of the draws must not change, or a seed no longer gives the same script.
func (s Scenario) drawFault(rng *rand.Rand) Fault {
	kind := s.drawKind(rng)
	at := firstFaultAt + time.Duration(rng.Float64()*float64(s.FaultPhase*2/3))
	duration := minFaultDuration + time.Duration(rng.Float64()*float64(s.FaultPhase/3))
	percent := minFaultPercent + rng.IntN(faultPercentSpread)
	return Fault{
		Kind:       kind,
		At:         at.Round(time.Millisecond),
		Duration:   duration.Round(time.Millisecond),
		Fraction:   float64(percent) / 100,
		TargetSeed: rng.Uint64() >> 32,
	}
}

// drawKind draws a kind of fault with probabilities proportional to the scenario's weights.
func (s Scenario) drawKind(rng *rand.Rand) FaultKind {
	total := 0.0
	for _, kind := range FaultKinds() {
		total += s.FaultWeights[kind]
	}
	x := rng.Float64() * total
	for _, kind := range FaultKinds() {
		x -= s.FaultWeights[kind]
		if x < 0 {
			return kind
		}
	}
	return Crash
}
