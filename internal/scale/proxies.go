package scale

import (
	"fmt"
	"maps"
	"slices"

	"tamarindshore/balancer"
	"tamarindshore/internal/node"
)

// proxyTables models the part of the relay and its proxies that a manager can observe: which proxies are affected by a
// call. Each of them acknowledges the call's barrier.
type proxyTables struct {
	tableOf    map[balancer.ProxyID]balancer.TableID
	members    map[balancer.TableID]map[balancer.ProxyID]bool // proxies assigned to a table
	tablesWith map[balancer.ServerID]map[balancer.TableID]bool
}

// newProxyTables returns a relay model without proxies and tables.
func newProxyTables() *proxyTables {
	return &proxyTables{
		tableOf:    map[balancer.ProxyID]balancer.TableID{},
		members:    map[balancer.TableID]map[balancer.ProxyID]bool{},
		tablesWith: map[balancer.ServerID]map[balancer.TableID]bool{},
	}
}

// acknowledge executes a call and returns the acknowledgements of the affected proxies.
func (p *proxyTables) acknowledge(call balancer.Commands) []node.Message {
	affected := p.apply(call)
	if call.Barrier == 0 {
		return nil
	}
	var acks []node.Message
	for _, proxy := range affected {
		acks = append(acks, barrierAck(proxy, call.Barrier))
	}
	return acks
}

// barrierAck returns a proxy's acknowledgement of a barrier.
func barrierAck(proxy balancer.ProxyID, barrier balancer.BarrierID) node.Message {
	text := fmt.Sprintf("id=%d&seq=%d&ms=%.1f", proxy, barrier, milliseconds(ackDelay))
	return node.Message{Kind: node.ProxyEventMessage, Event: "applied", Text: text}
}

// apply executes a call's commands and returns the proxies that they affect, in ascending order.
func (p *proxyTables) apply(call balancer.Commands) []balancer.ProxyID {
	changedTables := map[balancer.TableID]bool{}
	for _, server := range call.Withdraw {
		maps.Copy(changedTables, p.tablesWith[server])
	}
	for _, weight := range call.Weights {
		p.setWeight(weight)
		changedTables[weight.Table] = true
	}
	for _, level := range call.AdmissionLevels {
		changedTables[level.Table] = true
	}
	for _, server := range call.Restore {
		maps.Copy(changedTables, p.tablesWith[server])
	}
	affected := map[balancer.ProxyID]bool{}
	for table := range changedTables {
		maps.Copy(affected, p.members[table])
	}
	for _, assignment := range call.Assign {
		p.assign(assignment)
		affected[assignment.Proxy] = true
	}
	return slices.Sorted(maps.Keys(affected))
}

// setWeight records a server's weight in a table. A weight of 0 removes the server from the table.
func (p *proxyTables) setWeight(w balancer.EndpointWeight) {
	if w.Weight == 0 {
		delete(p.tablesWith[w.Server], w.Table)
		return
	}
	if p.tablesWith[w.Server] == nil {
		p.tablesWith[w.Server] = map[balancer.TableID]bool{}
	}
	p.tablesWith[w.Server][w.Table] = true
}

// assign assigns a proxy to a table and removes it from its previous table.
func (p *proxyTables) assign(a balancer.TableAssignment) {
	if previous, assigned := p.tableOf[a.Proxy]; assigned {
		delete(p.members[previous], a.Proxy)
	}
	if p.members[a.Table] == nil {
		p.members[a.Table] = map[balancer.ProxyID]bool{}
	}
	p.tableOf[a.Proxy] = a.Table
	p.members[a.Table][a.Proxy] = true
}
