// Package versions manages the versions of the routing tables. It decides which commands may be sent as the next
// version, how many requests one version may move, which tables a rollback restores, how long tables are held, and which
// delta a replica receives. It uses no I/O, clocks or goroutines, and is not safe for concurrent use. It never chooses a
// server or a weight itself: it passes commands on, holds them back, or limits how far they change a value.
//
// New creates a Chain. Call Propose before sending commands, and HandleBarrierAck once the proxies have carried them out.
// RollBack, Hold and Resume implement the operators' commands; call EndExpiredHold once a second. Pinned returns the
// tables that the load balancer must keep during a hold. Times of type time.Duration count from the manager's start.
package versions

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// Settings holds the limits of a Chain.
type Settings struct {
	Epoch     uint64    // epoch of this manager
	StartedAt time.Time // wall-clock time of the manager's start, from which all other wall-clock times are derived

	// Limits of one version.
	MaxMovedFraction float64 // maximum fraction of all requests that move between available servers
	MaxStepAfterHold float64 // maximum moved fraction, and maximum change of an admission level, in versions after a hold
	MaxWarmUpFactor  float64 // limit for a warming server, as a multiple of its warm fraction of an equal share of requests
	MaxCommands      int     // maximum number of commands

	// Limits of the history.
	MaxVersions          int // maximum number of kept versions
	MaxVersionBytes      int // maximum estimated size of all kept versions
	MaxCompletedCommands int // maximum number of remembered operators' commands

	// Limits of a hold.
	DefaultHold     time.Duration // duration of a hold if the operator gives none
	MaxHold         time.Duration // maximum duration of a hold
	MinHeldFraction float64       // a hold ends once available servers have less than this fraction of the held weight
}

// DefaultSettings returns the settings of a manager with the given epoch.
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

// ServerStatus describes the current state of a server as known to the manager.
type ServerStatus struct {
	Known        bool    // whether the manager knows the server
	Available    bool    // whether the server may get requests: it is listed, not draining and responsive
	LastResort   bool    // whether it may get requests that keep to its zone although it is unresponsive, as all servers there are
	WarmFraction float64 // progress of the slow start, from 0 to 1; 1 means warm
}

// mayGetRequests reports whether some requests may be sent to the server.
func (s ServerStatus) mayGetRequests() bool { return s.Available || s.LastResort }

// FleetView provides the manager's current view of the fleet.
type FleetView interface {
	// ServerStatus returns the status of a server.
	ServerStatus(balancer.ServerID) ServerStatus
	// RequestRate returns the requests per second received by the proxies that use a table.
	RequestRate(balancer.TableID) float64
	// ReadyServers returns the number of available servers, and how many of these are warm.
	ReadyServers() (available, warm int)
}

// Version is a state of all tables that was sent, with the operations that led to it.
type Version struct {
	ID           tables.ID
	Parent       tables.Digest // digest of the previous version's state
	Digest       tables.Digest // digest of State
	CreatedAt    time.Time
	Cause        string      // why the load balancer changed the tables
	Layout       string      // how tables were numbered when the version was created
	CommandKey   string      // idempotency key of the command whose hold was in force; empty if none was
	Ops          []tables.Op // operations that lead from the previous state to State
	State        *tables.State
	Barrier      balancer.BarrierID // barrier sent with the version's commands
	Acknowledged bool               // proxies carried out the commands; until then they may use the previous version

	size int // estimated size in bytes
}

// Result is the outcome of a proposal.
type Result struct {
	Commands   balancer.Commands // the commands that may be sent
	Modified   bool              // Commands differ from the proposed ones: the load balancer must be given the current tables
	Version    *Version          // the new version; nil if no table changes
	LogRecords []balancer.LogRecord
}

// PinnedTables holds the contents of tables as the load balancer's types.
type PinnedTables struct {
	Weights         map[balancer.TableID]map[balancer.ServerID]float64
	AdmissionLevels map[balancer.TableID]map[uint]balancer.AdmissionLevel // keyed by the bit mask of traffic classes
}

// pinnedTables converts a state to the load balancer's types.
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
