package faultsim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault. Its String is its name in files.
type FaultKind int

// Kinds of faults. Those that last end after Fault.Duration.
const (
	Crash               FaultKind = iota // servers die, and come back cold
	Unresponsive                         // servers answer nothing, and go on as before
	SlowServers                          // servers run slower
	ServerErrors                         // servers fail most requests quickly
	Drain                                // servers drain, end, and come back as fresh processes
	ZoneOutage                           // all servers of a zone die, and come back cold
	ZonePartition                        // requests between a zone and the others fail
	ReportsLost                          // no reports arrive
	RelayUnreachable                     // the relay takes no calls
	ResponsesLost                        // calls are carried out or not, without a response
	SlowChannel                          // the relay sends slower
	ManagerRestart                       // the manager restarts with the last endpoint list
	ManagerStall                         // the manager does nothing for a while
	ProxyReconnect                       // proxies lose their streams and connect again
	WrongEndpointList                    // the endpoint list has running servers removed, then ready again
	DuplicateReports                     // reports arrive twice
	DelayedEndpointList                  // the endpoint list is late by more seconds
	Rollback                             // the operator rolls back to an older version, then resumes
)

// faultNames are the names in scenario and replay files.
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

// String is the name of a kind in files.
func (k FaultKind) String() string { return faultNames[k] }

// FaultKinds are all kinds, in the order in which scripts draw from them.
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
	Fraction   float64 // of the servers or proxies
	TargetSeed uint64  // draws which servers, proxies or zone
}

// Script is the faults of a run, by time. The seed settles all else that is drawn.
type Script struct {
	Seed   uint64
	Faults []Fault
}

// Bounds of the faults that a script draws.
const (
	firstFaultAt       = 2 * time.Second
	minFaultDuration   = time.Second
	minFaultPercent    = 5
	faultPercentSpread = 36
)

// GenerateScript draws a script from a seed.
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

// drawFault draws one fault. The order of the draws is part of what a seed means.
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

// drawKind draws a kind of fault by the scenario's weights.
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
