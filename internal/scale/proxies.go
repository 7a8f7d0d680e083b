package scale

import (
	"fmt"
	"maps"
	"slices"

	"tamarindshore/balancer"
	"tamarindshore/internal/node"
)

// proxyTables models the relay and its proxies as far as a manager notices: which proxies a call reaches. Each of them
// acknowledges the call's barrier.
type proxyTables struct {
	tableOf    map[balancer.ProxyID]balancer.TableID
	members    map[balancer.TableID]map[balancer.ProxyID]bool
	tablesWith map[balancer.ServerID]map[balancer.TableID]bool
}

// newProxyTables is a relay without proxies and tables.
func newProxyTables() *proxyTables {
	return &proxyTables{
		tableOf:    map[balancer.ProxyID]balancer.TableID{},
		members:    map[balancer.TableID]map[balancer.ProxyID]bool{},
		tablesWith: map[balancer.ServerID]map[balancer.TableID]bool{},
	}
}

// acknowledge carries out a call, and returns the proxies' acknowledgements.
func (p *proxyTables) acknowledge(call balancer.Commands) []node.Message {
	reached := p.apply(call)
	if call.Barrier == 0 {
		return nil
	}
	var acks []node.Message
	for _, proxy := range reached {
		acks = append(acks, barrierAck(proxy, call.Barrier))
	}
	return acks
}

// barrierAck is a proxy's acknowledgement of a barrier.
func barrierAck(proxy balancer.ProxyID, barrier balancer.BarrierID) node.Message {
	text := fmt.Sprintf("id=%d&seq=%d&ms=%.1f", proxy, barrier, milliseconds(ackDelay))
	return node.Message{Kind: node.ProxyEventMessage, Event: "applied", Text: text}
}

// apply carries out a call's commands, and returns the proxies that they reach, by number.
func (p *proxyTables) apply(call balancer.Commands) []balancer.ProxyID {
	touched := map[balancer.TableID]bool{}
	for _, server := range call.Withdraw {
		maps.Copy(touched, p.tablesWith[server])
	}
	for _, weight := range call.Weights {
		p.setWeight(weight)
		touched[weight.Table] = true
	}
	for _, level := range call.AdmissionLevels {
		touched[level.Table] = true
	}
	for _, server := range call.Restore {
		maps.Copy(touched, p.tablesWith[server])
	}
	reached := map[balancer.ProxyID]bool{}
	for table := range touched {
		maps.Copy(reached, p.members[table])
	}
	for _, assignment := range call.Assign {
		p.assign(assignment)
		reached[assignment.Proxy] = true
	}
	return slices.Sorted(maps.Keys(reached))
}

// setWeight changes a server's weight in a table; 0 removes it.
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

// assign gives a proxy a table.
func (p *proxyTables) assign(a balancer.TableAssignment) {
	if before, assigned := p.tableOf[a.Proxy]; assigned {
		delete(p.members[before], a.Proxy)
	}
	if p.members[a.Table] == nil {
		p.members[a.Table] = map[balancer.ProxyID]bool{}
	}
	p.tableOf[a.Proxy] = a.Table
	p.members[a.Table][a.Proxy] = true
}
