package node

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
	"tamarindshore/internal/subset"
)

// subsetUpdateInterval is the time between two updates by which servers are in service.
const subsetUpdateInterval = time.Second

// subsetFilter stands between the endpoint list and the balancer where the operator's settings ask for it: the balancer
// gets the servers that the manager needs. It owns which zone each connected proxy is of; which servers are needed is
// decided by package subset. It must never hold back what the list says of a server that the balancer knows. It belongs
// to the router's goroutine.
type subsetFilter struct {
	subset     *subset.Subset
	zones      map[balancer.ProxyID]balancer.ZoneID // of the connected proxies
	nextUpdate time.Duration
	restored   map[balancer.ServerID]bool // of the last update
}

func newSubsetFilter(s config.Config) *subsetFilter {
	settings := subset.Settings{ManagerName: s.Name, Spill: s.Spill, WarmUpDuration: s.Balancer.WarmUpDuration}
	return &subsetFilter{
		subset:   subset.New(settings),
		zones:    map[balancer.ProxyID]balancer.ZoneID{},
		restored: map[balancer.ServerID]bool{},
	}
}

// update gives what a list changes in the subset.
func (s *subsetFilter) update(now time.Duration, in endpointList) subset.Update {
	servers := make([]subset.Server, len(in.entries))
	for i, e := range in.entries {
		servers[i] = subset.Server{Endpoint: e, Address: in.addresses[e.Server]}
	}
	return s.subset.HandleEndpointList(now, in.snapshot, servers)
}

// addProxyToSubset counts a proxy for its zone. One that connects again, as after a gap of the event stream, counts once.
func (r *router) addProxyToSubset(in proxyConnected) {
	if r.subsetFilter == nil {
		return
	}
	if before, known := r.subsetFilter.zones[in.proxy]; known {
		r.subsetFilter.subset.HandleProxyDisconnected(r.now, before)
	}
	r.subsetFilter.zones[in.proxy] = in.zone
	r.applySubsetUpdate(r.subsetFilter.subset.HandleProxyConnected(r.now, in.zone))
}

func (r *router) removeProxyFromSubset(in proxyDisconnected) {
	if r.subsetFilter == nil {
		return
	}
	if zone, known := r.subsetFilter.zones[in.proxy]; known {
		delete(r.subsetFilter.zones, in.proxy)
		r.subsetFilter.subset.HandleProxyDisconnected(r.now, zone)
	}
}

// updateSubset widens or narrows the subset by what is in service, once a second.
func (r *router) updateSubset() {
	if r.subsetFilter == nil || r.now < r.subsetFilter.nextUpdate {
		return
	}
	r.subsetFilter.nextUpdate = r.now + subsetUpdateInterval
	r.applySubsetUpdate(r.subsetFilter.subset.HandleTick(r.now, r.manager))
	r.forgetAddresses()
}

// applySubsetUpdate tells the balancer what changed in the subset.
func (r *router) applySubsetUpdate(u subset.Update) {
	r.logRecords(u.LogRecords)
	if u.IsEmpty() {
		return
	}
	r.liftWithdrawals(u.Restore)
	entries := make([]balancer.Endpoint, len(u.Servers))
	for i, server := range u.Servers {
		entries[i] = server.Endpoint
		if server.Address != "" {
			r.addresses[server.Server] = server.Address
		}
	}
	if u.Complete || len(entries) > 0 {
		r.apply(r.manager.HandleEndpointList(r.now, u.Complete, entries))
		r.forgetAddresses()
	}
}

// liftWithdrawals ends the withdrawals of servers that left the subset and that no table names any more. The balancer has
// forgotten them, so it would never restore them.
func (r *router) liftWithdrawals(servers []balancer.ServerID) {
	clear(r.subsetFilter.restored)
	var withdrawn []balancer.ServerID
	for _, id := range servers {
		if r.chain == nil || r.chain.State().IsWithdrawn(string(id)) {
			withdrawn = append(withdrawn, id)
			r.subsetFilter.restored[id] = true
		}
	}
	if len(withdrawn) > 0 {
		r.apply(balancer.Commands{Restore: withdrawn})
	}
}

// unknownServerCounter is the counter of reports on a server that the balancer does not know.
func (r *router) unknownServerCounter(id balancer.ServerID) counter {
	if r.subsetFilter != nil && r.subsetFilter.subset.Tracks(id) {
		return outsideSubset
	}
	return unknownNames
}
