package node

// Subset stands between the list and the module where the operator's settings ask for it: it hands the module the
// servers that the manager needs. It owns which zone each joined proxy is of; what is needed is decided by
// internal/subset. It must never hold back what the list says of a server that the module knows.

import (
	"time"

	"tamarindshore/choice"
	"tamarindshore/internal/config"
	"tamarindshore/internal/subset"
)

// subsetLookEvery is the time between two looks at which servers are in service.
const subsetLookEvery = time.Second

// subsetter is the router's subset and what it takes to feed it.
type subsetter struct {
	subset *subset.Subset
	zones  map[choice.ProxyID]choice.ZoneID // of the joined proxies
	lookAt time.Duration
	lifted map[choice.ServerID]bool // of the last update
}

func newSubsetter(s config.Start) *subsetter {
	settings := subset.Settings{Manager: s.Name, Spill: s.Spill, WarmAfter: s.Terms.WarmAfter}
	return &subsetter{subset: subset.New(settings), zones: map[choice.ProxyID]choice.ZoneID{}, lifted: map[choice.ServerID]bool{}}
}

// listed takes a list as it was decoded.
func (s *subsetter) listed(now time.Duration, in listed) subset.Update {
	servers := make([]subset.Server, len(in.entries))
	for i, e := range in.entries {
		servers[i] = subset.Server{Entry: e, Address: in.addresses[e.Server]}
	}
	return s.subset.Listed(now, in.snapshot, servers)
}

// joinSubset counts a proxy for its zone. One that is told again, as after a gap in the news, counts once.
func (r *router) joinSubset(in joined) {
	if r.subset == nil {
		return
	}
	zone, known := r.subset.zones[in.proxy]
	if known && zone == in.zone {
		return
	}
	if known {
		r.subset.subset.Left(r.now, zone)
	}
	r.subset.zones[in.proxy] = in.zone
	r.handOn(r.subset.subset.Joined(r.now, in.zone))
}

func (r *router) leaveSubset(in left) {
	if r.subset == nil {
		return
	}
	if zone, known := r.subset.zones[in.proxy]; known {
		delete(r.subset.zones, in.proxy)
		r.subset.subset.Left(r.now, zone)
	}
}

// lookAtSubset widens or narrows the subset by what is in service, once a second.
func (r *router) lookAtSubset() {
	if r.subset == nil || r.now < r.subset.lookAt {
		return
	}
	r.subset.lookAt = r.now + subsetLookEvery
	r.handOn(r.subset.subset.Looked(r.now, r.manager))
	r.forgetAddresses()
}

// handOn tells the module what changed in the subset.
func (r *router) handOn(u subset.Update) {
	for _, n := range u.Notes {
		r.metrics.logEvent("subset", "note", n)
	}
	if u.Empty() {
		return
	}
	r.lift(u.Readmit)
	entries := make([]choice.Entry, len(u.Servers))
	for i, server := range u.Servers {
		entries[i] = server.Entry
		if server.Address != "" {
			r.servers[server.Server] = server.Address
		}
	}
	if u.Whole || len(entries) > 0 {
		r.decided(r.manager.Listed(r.now, u.Whole, entries))
		r.forgetAddresses()
	}
}

// lift ends the withdrawals of servers that left the subset and that no table names any more. The module has forgotten
// them, so it would never let them back in.
func (r *router) lift(servers []choice.ServerID) {
	clear(r.subset.lifted)
	var withdrawn []choice.ServerID
	for _, id := range servers {
		if r.chain == nil || r.chain.State().Withdrawn(string(id)) {
			withdrawn = append(withdrawn, id)
			r.subset.lifted[id] = true
		}
	}
	if len(withdrawn) > 0 {
		r.decided(choice.Orders{Readmit: withdrawn})
	}
}

// notNeeded is the counter of reports about a server that the module does not know.
func (r *router) notNeeded(id choice.ServerID) counter {
	if r.subset != nil && r.subset.subset.Knows(id) {
		return outsideSubset
	}
	return unknownNames
}
