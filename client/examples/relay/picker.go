package main

import (
	"slices"

	"tamarindshore/client/tables"
)

// picker picks servers from a table at random, in proportion to their weights. Each version gets a new picker; a picker is
// immutable, so concurrent requests can share it.
type picker struct {
	servers           []string
	cumulativeWeights []float64 // sum of the weights of servers[0] to servers[i]
}

func newPicker(state *tables.State, table uint32) *picker {
	weights := state.Table(table).Weights
	p := &picker{}
	for server := range weights {
		if !state.IsWithdrawn(server) {
			p.servers = append(p.servers, server)
		}
	}
	slices.Sort(p.servers)
	total := 0.0
	for _, server := range p.servers {
		total += weights[server]
		p.cumulativeWeights = append(p.cumulativeWeights, total)
	}
	return p
}

// pick returns the server that a random number in [0, 1) selects. found is false if the table has no servers.
func (p *picker) pick(random float64) (server string, found bool) {
	if p == nil || len(p.servers) == 0 {
		return "", false
	}
	last := len(p.servers) - 1
	index, _ := slices.BinarySearch(p.cumulativeWeights, random*p.cumulativeWeights[last])
	return p.servers[min(index, last)], true
}
