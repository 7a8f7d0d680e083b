// Package versions decides what becomes of the tables as versions: which commands may be sent as the next version, how
// far one version may move requests, what a rollback leads to, how long tables are held, and what a replica is sent. It
// is free of I/O, clocks and goroutines, and not safe for use by several goroutines. It never chooses a server or a
// weight: it lets commands pass, holds them back, or goes part of the way.
//
// A Chain is made by New. Propose is asked before commands go out, and HandleBarrierAck told that they were carried out.
// RollBack, Hold and Resume are operators' commands; EndExpiredHold is called once a second. Pinned returns the tables
// that the load balancer is to keep. Every time is the time since the manager's start.
package versions

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// Settings bound what a Chain lets pass and keeps.
type Settings struct {
	Epoch     uint64    // of this manager
	StartedAt time.Time // of this manager: the times of versions are told by it

	// Limits of one version.
	MaxMovedFraction float64 // of all requests that it may move between available servers
	MaxStepAfterHold float64 // the same, and the step of an admission level, in versions after a hold
	MaxWarmUpFactor  float64 // times its warm fraction of an equal share that a warming server may get
	MaxCommands      int

	// Limits of what is kept.
	MaxVersions          int
	MaxVersionBytes      int // estimated, of all versions
	MaxCompletedCommands int

	// Limits of a hold.
	DefaultHold     time.Duration // where the operator names no duration
	MaxHold         time.Duration
	MinHeldFraction float64 // of the held weight: a hold ends once available servers have less
}

// DefaultSettings are the settings of a manager.
func DefaultSettings(epoch uint64) Settings {
	return Settings{
		Epoch:                epoch,
		MaxMovedFraction:     0.9,
		MaxStepAfterHold:     0.1,
		MaxWarmUpFactor:      3,
		MaxCommands:          1 << 20,
		MaxVersions:          256,
		MaxVersionBytes:      1 << 20,
		MaxCompletedCommands: 1024,
		DefaultHold:          30 * time.Minute,
		MaxHold:              24 * time.Hour,
		MinHeldFraction:      0.5,
	}
}

// ServerStatus is what the manager knows of a server now.
type ServerStatus struct {
	Known        bool
	Available    bool    // it may get requests: it is neither draining nor gone, and it answers
	WarmFraction float64 // progress of its slow start; 1: warm
}

// FleetView is the manager's view of the fleet now.
type FleetView interface {
	ServerStatus(balancer.ServerID) ServerStatus
	// RequestRate is how many requests a second come to the proxies of a table.
	RequestRate(balancer.TableID) float64
	// ReadyServers is how many servers are available, and how many of these are warm.
	ReadyServers() (all, warm int)
}

// Version is one state of all tables that was sent.
type Version struct {
	ID           tables.ID
	Parent       tables.Digest // of the state before it
	Digest       tables.Digest // of State
	CreatedAt    time.Time
	Cause        string
	Layout       string      // how the tables were numbered
	CommandKey   string      // of the operator's command whose hold was in force
	Ops          []tables.Op // that lead from the state before it
	State        *tables.State
	Barrier      balancer.BarrierID // of the commands that carried it
	Acknowledged bool               // the commands were carried out; until then the version before it may be in force

	size int // estimated bytes
}

// Result is what becomes of a proposal.
type Result struct {
	Commands   balancer.Commands // that may go out
	Modified   bool              // they are not those proposed: the load balancer must be told the current tables
	Version    *Version          // nil: no table changes
	LogRecords []balancer.LogRecord
}

// PinnedTables are tables in the load balancer's terms.
type PinnedTables struct {
	Weights         map[balancer.TableID]map[balancer.ServerID]float64
	AdmissionLevels map[balancer.TableID]map[uint]balancer.AdmissionLevel // by mask of traffic classes
}

// pinnedTables converts a state.
func pinnedTables(state *tables.State) PinnedTables {
	pinned := PinnedTables{
		Weights:         map[balancer.TableID]map[balancer.ServerID]float64{},
		AdmissionLevels: map[balancer.TableID]map[uint]balancer.AdmissionLevel{},
	}
	for _, number := range state.TableIDs() {
		table := state.Table(number)
		id := balancer.TableID(number)
		weights := map[balancer.ServerID]float64{}
		for server, weight := range table.Weights {
			weights[balancer.ServerID(server)] = weight
		}
		levels := map[uint]balancer.AdmissionLevel{}
		for classes, level := range table.AdmissionLevels {
			levels[uint(classes)] = balancer.AdmissionLevel{
				Table:   id,
				Classes: uint(classes),
				Amount:  level.Amount,
				Retry:   balancer.RetryPolicy(level.Retry),
			}
		}
		pinned.Weights[id] = weights
		pinned.AdmissionLevels[id] = levels
	}
	return pinned
}
