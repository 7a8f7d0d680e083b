package scale

import (
	"maps"
	"slices"

	"tamarindshore/balancer"
)

// proxyTables models the relay and its proxies as far as a manager notices: which proxies a call reaches, each of whom
// then answers the call's mark.
type proxyTables struct {
	tableOf    map[balancer.ProxyID]balancer.TableID
	members    map[balancer.TableID]map[balancer.ProxyID]bool
	tablesWith map[balancer.ServerID]map[balancer.TableID]bool
}

func newProxyTables() *proxyTables {
	return &proxyTables{tableOf: map[balancer.ProxyID]balancer.TableID{}, members: map[balancer.TableID]map[balancer.ProxyID]bool{},
		tablesWith: map[balancer.ServerID]map[balancer.TableID]bool{}}
}

// apply carries out a call's orders and gives the proxies that they reach, by number.
func (p *proxyTables) apply(o balancer.Commands) []balancer.ProxyID {
	reached := map[balancer.ProxyID]bool{}
	touched := map[balancer.TableID]bool{}
	for _, server := range o.Withdraw {
		maps.Copy(touched, p.tablesWith[server])
	}
	for _, line := range o.Weights {
		p.setWeight(line)
		touched[line.Table] = true
	}
	for _, level := range o.AdmissionLevels {
		touched[level.Table] = true
	}
	for _, server := range o.Restore {
		maps.Copy(touched, p.tablesWith[server])
	}
	for table := range touched {
		maps.Copy(reached, p.members[table])
	}
	for _, place := range o.Assign {
		p.assign(place)
		reached[place.Proxy] = true
	}
	return slices.Sorted(maps.Keys(reached))
}

func (p *proxyTables) setWeight(line balancer.EndpointWeight) {
	if line.Weight == 0 {
		delete(p.tablesWith[line.Server], line.Table)
		return
	}
	if p.tablesWith[line.Server] == nil {
		p.tablesWith[line.Server] = map[balancer.TableID]bool{}
	}
	p.tablesWith[line.Server][line.Table] = true
}

func (p *proxyTables) assign(place balancer.TableAssignment) {
	if before, bound := p.tableOf[place.Proxy]; bound {
		delete(p.members[before], place.Proxy)
	}
	if p.members[place.Table] == nil {
		p.members[place.Table] = map[balancer.ProxyID]bool{}
	}
	p.tableOf[place.Proxy] = place.Table
	p.members[place.Table][place.Proxy] = true
}
