// Package subset decides which of all listed servers a manager needs: every server of its home zones (the zones of its
// proxies) and, from the other zones, a stated number for spill.
//
// New takes the manager's settings; then there is one method for each input, with the time since the start:
// HandleEndpointList, HandleProxyConnected, HandleProxyDisconnected, and HandleTick once a second. Each returns an
// Update: the entries to give the balancer, which never learns of any other server. A Subset is not safe for concurrent
// use, and does no I/O.
//
// Rules:
//  1. A server of a home zone is a member. Another is a member where its distance from the manager on a hash ring is
//     below a limit that is passed by the stated number of servers. Nothing else than names, the list, the home zones
//     and the width settles this, so all machines and restarts agree without talking.
//  2. A wider limit only adds servers. It doubles at once while too few members are in service for what is wanted, up
//     to all listed servers, and shrinks by a small part each second after a while without need.
//  3. A server that stops being a member is published as draining, later as removed, a few each second. What the list
//     says of a member is published at once.
//  4. A server is published as a new member only while the list calls it ready. One that drains or is removed is
//     published as draining, member or not: a proxy that has just come from another manager may hold a table that names
//     it.
//  5. Nothing is published before the first proxy connects; then it is the whole subset.
//
// The files: membership.go has rules 1, 2 and 4, ring.go the hash ring, width.go and demand.go the width, drain.go
// rule 3, endpoint_list.go the list as it stands, update.go what is published.
package subset

import (
	"time"

	"tamarindshore/balancer"
)

// Settings are what the operator and the platform state.
type Settings struct {
	ManagerName    string        // its key on the ring
	Spill          int           // servers of other zones than home
	WarmUpDuration time.Duration // a server that started longer ago is warm when it becomes a member
}

// Server is one entry of the list and where the server listens.
type Server struct {
	balancer.Endpoint
	Address string // empty where the list did not tell
}

// Update is what the balancer has to be told, in the order of the fields.
type Update struct {
	Restore    []balancer.ServerID // withdrawals to lift: these servers left, and the balancer has forgotten them
	Complete   bool                // Servers are the whole list; servers that are not among them are removed
	Servers    []Server            // by id
	LogRecords []balancer.LogRecord
}

// IsEmpty tells whether there is nothing to publish.
func (u Update) IsEmpty() bool { return !u.Complete && len(u.Servers)+len(u.Restore) == 0 }

// Fleet is the balancer's view of the servers that were published to it.
type Fleet interface {
	// ServerStatus tells whether a server is known, whether it may get requests, and what part of its slow start is
	// over, from 0 to 1.
	ServerStatus(id balancer.ServerID) (known, available bool, warmFraction float64)
	// ReadyServers is how many servers may get requests, and how many of them are warm.
	ReadyServers() (all, warm int)
}

// Counts describe the subset at one time.
type Counts struct {
	Listed  int     // servers that the list does not call removed
	Members int     // of them, those that the balancer is to use
	Leaving int     // servers that left and are not forgotten yet
	Width   float64 // factor on the stated number of spill servers
}

// zoneState is what is kept of one zone.
type zoneState struct {
	listedServers   int // that the list does not call removed
	proxies         int // that are connected
	isHome          bool
	lastProxyLeftAt time.Duration
	referenceSize   int           // the most servers listed lately, against which those in service are held
	referenceAt     time.Duration // the reference was reached then
}

// Subset is one manager's choice of servers.
type Subset struct {
	settings  Settings
	ring      ring
	records   map[balancer.ServerID]*record // listed servers, and others until the balancer has forgotten them
	published map[balancer.ServerID]*record // those that the balancer may know
	zones     map[balancer.ZoneID]*zoneState
	width     width
	limit     limit  // as last applied
	active    bool   // a proxy has connected
	pending   Update // what the input under way has to publish
}

// New makes an empty subset.
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

// HandleEndpointList takes the whole list, or changes of it.
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

// HandleProxyConnected takes a proxy of a zone. The first one makes the zone home.
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

// HandleProxyDisconnected takes a proxy's leave. Its zone stays home for a while, and then its servers drain a few at a
// time.
func (s *Subset) HandleProxyDisconnected(now time.Duration, id balancer.ZoneID) {
	zone := s.zone(id)
	zone.proxies--
	if zone.proxies == 0 {
		zone.lastProxyLeftAt = now
	}
}

// HandleTick takes what the balancer sees, once a second: the subset is widened or narrowed, servers that are no members
// any more drain, and those that the balancer has forgotten are dropped.
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

// Tracks tells whether a server is listed, member or not, or was and is not forgotten yet.
func (s *Subset) Tracks(id balancer.ServerID) bool { return s.records[id] != nil }

// Counts tells the sizes of the subset.
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

// zone gives what is kept of a zone.
func (s *Subset) zone(id balancer.ZoneID) *zoneState {
	zone := s.zones[id]
	if zone == nil {
		zone = &zoneState{}
		s.zones[id] = zone
	}
	return zone
}

// listedServers counts the servers that the list does not call removed.
func (s *Subset) listedServers() (n int) {
	for _, zone := range s.zones {
		n += zone.listedServers
	}
	return n
}

// foreignServers counts the listed servers of other zones than home.
func (s *Subset) foreignServers() (n int) {
	for _, zone := range s.zones {
		if !zone.isHome {
			n += zone.listedServers
		}
	}
	return n
}
