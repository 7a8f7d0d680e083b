package node

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
	"tamarindshore/internal/subset"
)

// subsetUpdateInterval is the time between two adjustments of the subset to the servers in service.
const subsetUpdateInterval = time.Second

// subsetFilter filters the endpoint list if the operator's settings configure a subset: the balancer then receives only
// the servers that this manager needs. It tracks the zone of each connected proxy; package subset selects the servers.
// It must never withhold a change to a server that the balancer knows. Only the router's goroutine uses it.
type subsetFilter struct {
	subset     *subset.Subset
	zones      map[balancer.ProxyID]balancer.ZoneID // zones of the connected proxies
	nextUpdate time.Duration
	restored   map[balancer.ServerID]bool // servers whose withdrawals the last update lifted
}

func newSubsetFilter(cfg config.Config) *subsetFilter {
	settings := subset.Settings{ManagerName: cfg.Name, Spill: cfg.Spill, WarmUpDuration: cfg.Balancer.WarmUpDuration}
	return &subsetFilter{
		subset:   subset.New(settings),
		zones:    map[balancer.ProxyID]balancer.ZoneID{},
		restored: map[balancer.ServerID]bool{},
	}
}

// applyEndpointList applies an endpoint list to the subset and returns the resulting changes for the balancer.
func (s *subsetFilter) applyEndpointList(now time.Duration, in endpointList) subset.Update {
	servers := make([]subset.Server, len(in.entries))
	for i, entry := range in.entries {
		servers[i] = subset.Server{Endpoint: entry, Address: in.addresses[entry.Server]}
	}
	return s.subset.HandleEndpointList(now, in.snapshot, servers)
}

// addProxyToSubset counts a connected proxy in its zone. A proxy that connects again without a disconnect in between, as
// after a gap in the event stream, is counted once.
func (r *router) addProxyToSubset(in proxyConnected) {
	if r.subsetFilter == nil {
		return
	}
	if previousZone, known := r.subsetFilter.zones[in.proxy]; known {
		r.subsetFilter.subset.HandleProxyDisconnected(r.now, previousZone)
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

// updateSubset widens or narrows the subset according to the servers in service, once a second.
func (r *router) updateSubset() {
	if r.subsetFilter == nil || r.now < r.subsetFilter.nextUpdate {
		return
	}
	r.subsetFilter.nextUpdate = r.now + subsetUpdateInterval
	r.applySubsetUpdate(r.subsetFilter.subset.HandleTick(r.now, r.manager))
	r.forgetAddresses()
}

// applySubsetUpdate passes the changes of the subset to the balancer.
func (r *router) applySubsetUpdate(update subset.Update) {
	r.logRecords(update.LogRecords)
	if update.IsEmpty() {
		return
	}
	r.liftWithdrawals(update.Restore)
	entries := make([]balancer.Endpoint, len(update.Servers))
	for i, server := range update.Servers {
		entries[i] = server.Endpoint
		if server.Address != "" {
			r.addresses[server.Server] = server.Address
		}
	}
	if update.Complete || len(entries) > 0 {
		r.apply(r.manager.HandleEndpointList(r.now, update.Complete, entries))
		r.forgetAddresses()
	}
}

// liftWithdrawals restores withdrawn servers that have left the subset and are in no table any more. The balancer has
// forgotten them, so it would never restore them itself.
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

// unknownServerCounter returns the counter for load reports on a server that the balancer does not know.
func (r *router) unknownServerCounter(id balancer.ServerID) counter {
	if r.subsetFilter != nil && r.subsetFilter.subset.Tracks(id) {
		return outsideSubset
	}
	return unknownNames
}
