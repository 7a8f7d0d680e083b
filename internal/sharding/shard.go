package sharding

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// noShard is the id of none.
const noShard ShardID = -1

// shard is what is kept of a shard.
type shard struct {
	conns            map[ConnID]*connection
	load             float64         // cores that its connections take
	stalledChecks    int             // in a row, at which one task took too long
	failures         []time.Duration // when, within the failure window
	quarantinedUntil time.Duration   // until then it gets no connections; 0: it works
	nextQuarantine   time.Duration
}

func (s *shard) add(c *connection) {
	s.conns[c.id] = c
	s.load += c.load()
}

func (s *shard) remove(c *connection) {
	delete(s.conns, c.id)
	s.load -= c.load()
}

// sortedConns are a shard's connections by number.
func (s *shard) sortedConns() (all []*connection) {
	for _, c := range s.conns {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return all
}

// isAvailable tells whether a shard may get connections.
func (a *Assigner) isAvailable(id ShardID) bool {
	return a.shards[id].quarantinedUntil == 0 && !slices.Contains(a.failed, id)
}

// leastLoaded is the available shard with least to do, another one than that named if there is any.
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

// mostLoaded is the available shard with most to do; noShard where none is available or has a load.
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
