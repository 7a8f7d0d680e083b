// Package versions decides what becomes of the tables as versions: which may be sent, how far one may move them, what
// a way back comes to, how long it is held, and what a holder is sent. It is free of I/O and clocks: chain.go keeps
// the versions, check.go looks at each before it is used, hold.go decides ways back and holds, peer.go what a holder
// gets. It must never choose a server or a weight of its own: it lets through, holds back, or goes part of the way.
package versions

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// Terms are the bounds that a chain keeps.
type Settings struct {
	Epoch                uint64
	StartedAt            time.Time     // of the manager's clock: version times are told by it
	MaxMovedFraction     float64       // part of a table's weight that one version may move, what closed servers leave not counted
	MaxStepAfterHold     float64       // the same, and of a share let in, in versions after a hold
	MaxWarmUpFactor      float64       // times its climbing part that a cold server may get of all flows
	MaxCommands          int           // orders of one version
	MaxVersions          int           // versions kept,
	MaxVersionBytes      int           // and what they take, about
	DefaultHold          time.Duration // of a way back that names no time
	MaxHold              time.Duration
	MinHeldFraction      float64 // of the weight that is held: below it what is held is of no use any more
	MaxCompletedCommands int     // of ways back done that are remembered
}

// Usual are the terms of a manager whose epoch is its start.
func DefaultSettings(epoch uint64) Settings {
	return Settings{Epoch: epoch, MaxMovedFraction: 0.9, MaxStepAfterHold: 0.1, MaxWarmUpFactor: 3, MaxCommands: 1 << 20, MaxVersions: 256, MaxVersionBytes: 1 << 20,
		DefaultHold: 30 * time.Minute, MaxHold: 24 * time.Hour, MinHeldFraction: 0.5, MaxCompletedCommands: 1024}
}

// Sight is what the manager knows of a server now.
type ServerStatus struct {
	Known        bool
	Available    bool    // it may get flows: it neither drains nor is gone, and it answers
	WarmFraction float64 // part of its climb; 1 where it is warm
}

// Seer is who knows the fleet now.
type FleetView interface {
	ServerStatus(balancer.ServerID) ServerStatus
	RequestRate(balancer.TableID) float64 // a second, that come to a table's proxies
	ReadyServers() (all, warm int)        // servers that may get flows
}

// Version is one state of all tables that was sent.
type Version struct {
	ID         tables.ID
	Parent     tables.Digest
	Digest     tables.Digest
	CreatedAt  time.Time
	Cause      string
	Layout     string // what its tables' numbers mean
	CommandKey string // of the way back that made it
	Ops        []tables.Op
	State      *tables.State
	Barrier    balancer.BarrierID // of the orders that carried it

	Acknowledged bool // it was carried out; until then the one before may still stand
	size         int
}

// Result is what became of a proposal.
type Result struct {
	Commands balancer.Commands // that may go out
	Modified bool              // they are not those proposed: the module must hear what stands
	Version  *Version          // nil where nothing changed
	Notes    []string
}

// Pin is what tables are brought to and held at.
type PinnedTables struct {
	Weights         map[balancer.TableID]map[balancer.ServerID]float64
	AdmissionLevels map[balancer.TableID]map[uint]balancer.AdmissionLevel
}
