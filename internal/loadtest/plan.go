// Package loadtest puts a manager under load on loopback, between fakes of the systems around it, and measures it.
// The load is an open loop: each message has a time at which it is due, so that a stall of the manager shows in the
// latencies. schedule.go decides rates and what is due, free of I/O; generator.go sends for the collectors; observer.go
// measures what the relay is commanded; run.go joins them; report.go shows results. The package must never be imported
// by the daemon, nor change what the manager decides.
package loadtest

import "time"

// Plan says what a run does, and bounds it.
type Plan struct {
	Cores             []int // one manager after another, with so many cores each
	Servers           int
	Proxies           int
	CollectorsPerZone int           // connections that report
	Rate              float64       // messages a second; 0: the highest is searched for, and 80% of it is held
	HoldDuration      time.Duration // for which a rate is held
	StepDuration      time.Duration // of the search
	InitialRate       float64       // messages a second at which the search begins
	Seed              uint64        // of the random numbers
	MemoryMB          float64       // in the manager's configuration
	MaxSockets        int           // in the manager's configuration
	FaultFraction     float64       // of the calls to the relay that fail
}

// DefaultPlan is a plan that ends within about half a minute for each number of cores.
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
