// Package subset selects the servers that one manager uses from the whole endpoint list: every server of its home zones
// (the zones of its proxies) and a configured number of spill servers of the other zones.
//
// New takes the manager's settings. Each input has its own method, which takes the time since the start:
// HandleEndpointList, HandleProxyConnected, HandleProxyDisconnected, and HandleTick, called once a second. They return an
// Update with the entries to pass to the balancer, which never learns of any other server; HandleProxyDisconnected
// returns none because it takes effect at a later tick. A Subset is not safe for concurrent use and does no I/O.
//
// Rules:
//  1. A server of a home zone is a member. A server of another zone is a member if its distance from the manager on a
//     hash ring is below a limit. The limit is set so that it selects about as many servers as the configured number
//     times the width, a factor that is normally 1. Membership depends only on the names, the list, the home zones and
//     the width, so every machine and every restart selects the same servers without coordination.
//  2. A higher limit only adds servers. The width doubles immediately while too few members are in service, until all
//     listed servers are selected. When the extra servers have not been needed for a while, it shrinks by a small
//     fraction each second.
//  3. A server that is no longer selected is published as draining and later as removed. Only a few servers start to
//     drain each second. Changes that the list makes to a member are published immediately.
//  4. A server is published as a new member only while the list marks it as ready. A server that the list marks as
//     draining or removed is published as draining even if it is not a member: a proxy that has just moved here from
//     another manager may hold a table that names it.
//  5. Nothing is published before the first proxy connects. Then the whole subset is published.
//
// membership.go implements rules 1, 2 and 4, ring.go the hash ring, width.go and demand.go the width, drain.go rule 3,
// endpoint_list.go the current endpoint list, and update.go the updates.
package subset

import (
	"time"

	"tamarindshore/balancer"
)

// Settings configure a Subset.
type Settings struct {
	ManagerName    string        // determines the manager's position on the hash ring
	Spill          int           // number of servers to select from zones other than the home zones
	WarmUpDuration time.Duration // a server that started longer ago is already warm when it becomes a member
}

// Server is one entry of the endpoint list with the address that the server listens on.
type Server struct {
	balancer.Endpoint
	Address string // empty if the list does not have it
}

// Update holds the changes to apply to the balancer, in the order of the fields.
type Update struct {
	Restore    []balancer.ServerID // servers whose withdrawal is to be lifted: they left the subset and the balancer has forgotten them
	Complete   bool                // Servers is the whole list; any server that is not in it is removed
	Servers    []Server            // sorted by id
	LogRecords []balancer.LogRecord
}

// IsEmpty reports whether there is nothing to publish.
func (u Update) IsEmpty() bool { return !u.Complete && len(u.Servers)+len(u.Restore) == 0 }

// Fleet gives the balancer's view of the servers that were published to it.
type Fleet interface {
	// ServerStatus reports whether a server is known, whether it may get requests, and the progress of its slow start
	// from 0 to 1.
	ServerStatus(id balancer.ServerID) (known, available bool, warmFraction float64)
	// ReadyServers returns how many servers may get requests, and how many of them are warm.
	ReadyServers() (all, warm int)
}

// Counts holds the current sizes of a subset.
type Counts struct {
	Listed  int     // servers on the list, without those marked as removed
	Members int     // listed servers that the balancer may use
	Leaving int     // servers that left the subset and that the balancer has not forgotten yet
	Width   float64 // factor applied to the configured number of spill servers
}

// zoneState holds the server and proxy counts of one zone.
type zoneState struct {
	listedServers   int // without those marked as removed
	proxies         int // connected proxies
	isHome          bool
	lastProxyLeftAt time.Duration
	peakServers     int           // highest recent value of listedServers, compared with the servers in service
	peakAt          time.Duration // when peakServers was last reached
}

// Subset tracks the listed servers and selects those that one manager uses.
type Subset struct {
	settings  Settings
	ring      ring
	records   map[balancer.ServerID]*record // listed servers, and unlisted ones until the balancer has forgotten them
	published map[balancer.ServerID]*record // servers that the balancer may know
	zones     map[balancer.ZoneID]*zoneState
	width     width
	limit     limit  // last applied limit
	active    bool   // set once a proxy has connected
	pending   Update // changes to publish at the end of the current input
}

// New returns an empty subset.
func New(settings Settings) *Subset {
	return &Subset{
		settings:  settings,
		ring:      newRing(settings.ManagerName),
		records:   map[balancer.ServerID]*record{},
		published: map[balancer.ServerID]*record{},
		zones:     map[balancer.ZoneID]*zoneState{},
		width:     newWidth(),
	}
}

// HandleEndpointList applies a complete endpoint list, or changes to the current one.
func (s *Subset) HandleEndpointList(now time.Duration, complete bool, servers []Server) Update {
	if complete {
		s.replaceAll(servers)
		s.reconcileAll(now)
		s.pending.Complete = s.active
		return s.takeUpdate()
	}
	for _, server := range servers {
		record := s.upsert(server)
		s.ring.insert(record)
		s.reconcile(now, record)
		s.dropIfUnused(record)
	}
	s.applyLimit(now)
	for _, server := range servers {
		if record := s.records[server.Server]; record != nil {
			s.reconcile(now, record)
			s.queueUpdate(record)
		}
	}
	return s.takeUpdate()
}

// HandleProxyConnected counts a new proxy of a zone. The first proxy makes the zone a home zone.
func (s *Subset) HandleProxyConnected(now time.Duration, id balancer.ZoneID) Update {
	zone := s.zone(id)
	zone.proxies++
	if !zone.isHome {
		zone.isHome = true
		s.pending.Complete = !s.active
		s.active = true
		s.reconcileAll(now)
	}
	return s.takeUpdate()
}

// HandleProxyDisconnected counts a proxy of a zone that disconnected. After its last proxy, the zone stays a home zone
// for a while; then its servers drain a few at a time.
func (s *Subset) HandleProxyDisconnected(now time.Duration, id balancer.ZoneID) {
	zone := s.zone(id)
	zone.proxies--
	if zone.proxies == 0 {
		zone.lastProxyLeftAt = now
	}
}

// HandleTick must be called once a second. It widens or narrows the subset according to the servers in service, starts
// to drain servers that are no longer selected, and drops those that the balancer has forgotten.
func (s *Subset) HandleTick(now time.Duration, fleet Fleet) Update {
	s.expireHomeZones(now)
	s.finishDraining(now, fleet)
	if s.width.adjust(now, s.demand(now, fleet)) {
		s.logWidened()
	}
	s.applyLimit(now)
	s.drainSurplus(now)
	return s.takeUpdate()
}

// Tracks reports whether a server is listed, member or not, or was listed and is not forgotten yet.
func (s *Subset) Tracks(id balancer.ServerID) bool { return s.records[id] != nil }

// Counts returns the current sizes of the subset.
func (s *Subset) Counts() Counts {
	counts := Counts{Listed: s.listedServers(), Width: s.width.factor}
	for _, record := range s.published {
		if record.phase == phaseMember {
			counts.Members++
		} else {
			counts.Leaving++
		}
	}
	return counts
}

// zone returns the state of a zone and creates it if needed.
func (s *Subset) zone(id balancer.ZoneID) *zoneState {
	zone := s.zones[id]
	if zone == nil {
		zone = &zoneState{}
		s.zones[id] = zone
	}
	return zone
}

// listedServers counts the servers on the list, without those marked as removed.
func (s *Subset) listedServers() (n int) {
	for _, zone := range s.zones {
		n += zone.listedServers
	}
	return n
}

// foreignServers counts the listed servers outside the home zones.
func (s *Subset) foreignServers() (n int) {
	for _, zone := range s.zones {
		if !zone.isHome {
			n += zone.listedServers
		}
	}
	return n
}
