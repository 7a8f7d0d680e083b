package versions

import (
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// fakeFleet is a FleetView with the given server statuses. All other servers are available and warm.
type fakeFleet map[balancer.ServerID]ServerStatus

func (f fakeFleet) ServerStatus(server balancer.ServerID) ServerStatus {
	if status, exists := f[server]; exists {
		return status
	}
	return ServerStatus{Known: true, Available: true, WarmFraction: 1}
}

func (f fakeFleet) RequestRate(balancer.TableID) float64 { return 40 }
func (f fakeFleet) ReadyServers() (available, warm int)  { return 4, 3 }

var (
	allReady = fakeFleet{}

	unavailable = ServerStatus{Known: true}
)

// warming returns the status of a server in its slow start.
func warming(fraction float64) ServerStatus {
	return ServerStatus{Known: true, Available: true, WarmFraction: fraction}
}

func weight(table int, server string, weight float64) balancer.EndpointWeight {
	return balancer.EndpointWeight{Table: balancer.TableID(table), Server: balancer.ServerID(server), Weight: weight}
}

func weights(weights ...balancer.EndpointWeight) balancer.Commands {
	return balancer.Commands{Weights: weights}
}

// newTestChain returns a chain with one version, which has two tables with two servers each.
func newTestChain(t testing.TB) *Chain {
	t.Helper()
	chain := New(DefaultSettings(7))
	commands := weights(weight(0, "a0", 100), weight(0, "a1", 100), weight(1, "b0", 100), weight(1, "b1", 100))
	commands.Barrier = 1
	result := chain.Propose(time.Second, commands, "list", allReady)
	if result.Modified || result.Version == nil || result.Version.ID != (tables.ID{Epoch: 7, Number: 1}) {
		t.Fatalf("first version: %+v, want version 7.1 with unmodified commands", result)
	}
	return chain
}

// weightOf returns the current weight of a server.
func weightOf(chain *Chain, table uint32, server string) float64 {
	return chain.State().Table(table).Weights[server]
}

func expectWeight(t *testing.T, chain *Chain, table uint32, server string, want float64) {
	t.Helper()
	if got := weightOf(chain, table, server); got != want {
		t.Errorf("%s has weight %v in table %d, want %v", server, got, table, want)
	}
}

// fieldOf returns the value of a field of a log record, or an empty string if the record has no such field.
func fieldOf(record balancer.LogRecord, name string) string {
	for _, field := range record.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}
