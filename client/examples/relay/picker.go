package main

import (
	"slices"

	"tamarindshore/client/tables"
)

// picker picks servers of a table by weight. It is made once for each version and never changes, so requests may share it.
type picker struct {
	servers           []string
	cumulativeWeights []float64
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

// pick returns a server for a random number from 0 up to 1; false: there is none.
func (p *picker) pick(random float64) (server string, found bool) {
	if p == nil || len(p.servers) == 0 {
		return "", false
	}
	last := len(p.servers) - 1
	index, _ := slices.BinarySearch(p.cumulativeWeights, random*p.cumulativeWeights[last])
	return p.servers[min(index, last)], true
}
