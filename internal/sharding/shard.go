package sharding

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// noShard is the id that stands for no shard.
const noShard ShardID = -1

// shard holds the state of one shard.
type shard struct {
	conns            map[ConnID]*connection
	load             float64         // cores that its connections use
	stalledChecks    int             // consecutive checks at which its task had run for at least the stall timeout
	failures         []time.Duration // times of its failures within FailureWindow
	quarantinedUntil time.Duration   // until then it gets no connections; 0 if it is not in quarantine
	nextQuarantine   time.Duration   // duration of its next quarantine
}

func (s *shard) add(c *connection) {
	s.conns[c.id] = c
	s.load += c.load()
}

func (s *shard) remove(c *connection) {
	delete(s.conns, c.id)
	s.load -= c.load()
}

// sortedConns returns the connections of a shard sorted by number.
func (s *shard) sortedConns() (all []*connection) {
	for _, c := range s.conns {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return all
}

// isAvailable reports whether a shard may get connections.
func (a *Assigner) isAvailable(id ShardID) bool {
	return a.shards[id].quarantinedUntil == 0 && !slices.Contains(a.failedShards, id)
}

// leastLoaded returns the available shard with the lowest load apart from except. If there is none, it returns except, or
// shard 0 if except is noShard.
func (a *Assigner) leastLoaded(except ShardID) ShardID {
	best := max(except, 0)
	least := math.Inf(1)
	for i, s := range a.shards {
		if id := ShardID(i); id != except && a.isAvailable(id) && s.load < least {
			best = id
			least = s.load
		}
	}
	return best
}

// mostLoaded returns the available shard with the highest load, or noShard if no available shard has any load.
func (a *Assigner) mostLoaded() ShardID {
	best := noShard
	most := 0.0
	for i, s := range a.shards {
		if id := ShardID(i); a.isAvailable(id) && s.load > most {
			best = id
			most = s.load
		}
	}
	return best
}
