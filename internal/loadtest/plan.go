// Package loadtest runs load tests of a manager on loopback, against fakes of the systems that it communicates with.
// The load is open-loop: each message is due at a fixed time, so that a stall of the manager shows in the latencies.
// schedule.go computes rates and due messages without I/O; generator.go sends the messages of the collectors; observer.go
// measures the commands to the relay; run.go runs the test; report.go writes the results. The daemon must never import
// the package, and the package must not affect the manager's decisions.
package loadtest

import "time"

// Plan holds the parameters and limits of a load test.
type Plan struct {
	Cores             []int // number of cores of each manager; the managers are tested one after another
	Servers           int
	Proxies           int
	CollectorsPerZone int           // collector connections per zone
	Rate              float64       // messages per second; 0 searches for the maximum rate and holds 80% of it
	HoldDuration      time.Duration // how long the rate is held
	StepDuration      time.Duration // duration of each step of the search
	InitialRate       float64       // messages per second in the first step of the search
	Seed              uint64        // seed of the random number generators
	MemoryMB          float64       // memory limit in the manager's configuration
	MaxSockets        int           // socket limit in the manager's configuration
	FaultFraction     float64       // fraction of the calls to the relay that fail
}

// DefaultPlan returns a plan that ends within about half a minute per manager.
func DefaultPlan() Plan {
	return Plan{
		Cores:             []int{1},
		Servers:           60,
		Proxies:           600,
		CollectorsPerZone: 4,
		HoldDuration:      8 * time.Second,
		StepDuration:      1500 * time.Millisecond,
		InitialRate:       20_000,
		Seed:              1,
		MemoryMB:          512,
		MaxSockets:        4096,
	}
}
