package versions

import (
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// fleet is what a test says of servers; those that it does not name are available and warm.
type fleet map[balancer.ServerID]ServerStatus

func (f fleet) ServerStatus(server balancer.ServerID) ServerStatus {
	if status, named := f[server]; named {
		return status
	}
	return ServerStatus{Known: true, Available: true, WarmFraction: 1}
}

func (f fleet) RequestRate(balancer.TableID) float64 { return 40 }
func (f fleet) ReadyServers() (all, warm int)        { return 4, 3 }

var (
	allReady = fleet{}

	unavailable = ServerStatus{Known: true}
)

// warming is the status of a server in its slow start.
func warming(fraction float64) ServerStatus {
	return ServerStatus{Known: true, Available: true, WarmFraction: fraction}
}

func weight(table int, server string, weight float64) balancer.EndpointWeight {
	return balancer.EndpointWeight{Table: balancer.TableID(table), Server: balancer.ServerID(server), Weight: weight}
}

func weights(weights ...balancer.EndpointWeight) balancer.Commands {
	return balancer.Commands{Weights: weights}
}

// newTestChain is a chain whose first version has two tables with two servers each.
func newTestChain(t testing.TB) *Chain {
	t.Helper()
	chain := New(DefaultSettings(7))
	commands := weights(weight(0, "a0", 100), weight(0, "a1", 100), weight(1, "b0", 100), weight(1, "b1", 100))
	commands.Barrier = 1
	result := chain.Propose(time.Second, commands, "list", allReady)
	if result.Modified || result.Version == nil || result.Version.ID != (tables.ID{Epoch: 7, Number: 1}) {
		t.Fatalf("%+v", result)
	}
	return chain
}

// weightOf is the current weight of a server.
func weightOf(chain *Chain, table uint32, server string) float64 {
	return chain.State().Table(table).Weights[server]
}

func expectWeight(t *testing.T, chain *Chain, table uint32, server string, want float64) {
	t.Helper()
	if got := weightOf(chain, table, server); got != want {
		t.Errorf("%s has weight %v in table %d, want %v", server, got, table, want)
	}
}

// fieldOf is a field of a log record; empty: it has none of that name.
func fieldOf(record balancer.LogRecord, name string) string {
	for _, field := range record.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}
