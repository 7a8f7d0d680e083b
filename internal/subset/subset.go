// Package subset decides which of all listed servers a manager needs: every server of its home zones (the zones of its
// proxies) and, from the other zones, a stated number for spill.
//
// How to call: New with the manager's settings, then one method for each input, with the time since the start: Listed
// for the list, Joined and Left for proxies, Looked once a second. Each returns an Update: the entries to hand on to
// the decision module, which never learns of any other server.
//
// Rules:
//  1. A server of a home zone is a member. Another is a member where its distance from the manager on a hash ring is
//     below a limit that is passed by the stated number of servers. Nothing else than names, the list, the home zones
//     and the width settles this, so all machines and restarts agree without talking.
//  2. A wider limit only adds servers. It doubles at once while too few members are in service for what is wanted, up
//     to all listed servers, and shrinks by a small part each second after a calm time.
//  3. A server that stops being a member is handed on as draining, later as gone, a few each second. What the list says
//     of a member is handed on at once.
//  4. A server is handed on as a new member only while the list calls it ready. One that drains or is removed is handed
//     on as draining, member or not: a proxy that has just come from another manager may hold a table that names it.
//  5. Nothing is handed on before the first proxy joins; then it is the whole subset.
package subset

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tamarindshore/balancer"
)

const (
	drainGrace   = 30 * time.Second // that a server which left is handed on as draining
	leavePart    = 0.03             // of the members: those that may leave in one look
	homeHeld     = time.Minute      // that a zone stays home after its last proxy left
	leaveAtLeast = 1                // servers that may leave in one look, however few members there are
)

// Settings are what the operator and the platform state.
type Settings struct {
	ManagerName    string        // the manager's name: its key on the ring
	Spill          int           // servers of other zones than home
	WarmUpDuration time.Duration // a server that started longer ago needs no climb when it becomes a member
}

// Server is one entry of the list and where the server listens.
type Server struct {
	balancer.Endpoint
	Address string // empty where the list did not tell
}

// Update is what the decision module has to be told, in the order of the fields.
type Update struct {
	Restore    []balancer.ServerID // withdrawals to lift: these servers left, and the module has forgotten them
	Complete   bool                // Servers are the whole list; servers that are not among them are gone
	Servers    []Server            // by id
	LogRecords []string
}

// Empty tells whether there is nothing to hand on.
func (u Update) IsEmpty() bool { return !u.Complete && len(u.Servers)+len(u.Restore) == 0 }

// Fleet is the decision module's view of the servers that it was handed.
type Fleet interface {
	// Sees tells whether a server is known, whether it may get flows, and what part of its climb is over.
	ServerStatus(id balancer.ServerID) (known, open bool, climbed float64)
	// Ready is how many servers may get flows, and how many of them are warm.
	ReadyServers() (all, warm int)
}

// Counts describe the subset at one time.
type Counts struct {
	Listed  int     // servers that the list does not call gone
	Members int     // of them, those that the decision module is to use
	Leaving int     // servers that left and are not forgotten yet
	Width   float64 // factor on the stated number of spill servers
}

// zone is what is kept of one zone.
type zone struct {
	listed    int           // servers that the list does not call gone
	proxies   int           // that are joined
	home      bool          // its servers are members
	emptyAt   time.Duration // its last proxy left then
	reference int           // the most listed lately, against which those in service are held
	refreshed time.Duration // the reference was reached then
}

// Subset is one manager's choice of servers.
type Subset struct {
	settings Settings
	ring     ring
	records  map[balancer.ServerID]*record
	handed   map[balancer.ServerID]*record // those that the decision module may know
	zones    map[balancer.ZoneID]*zone
	width    width
	limit    limit // as last applied
	started  bool  // a proxy has joined
	update   Update
}

// New makes an empty subset.
func New(settings Settings) *Subset {
	return &Subset{
		settings: settings,
		ring:     newRing(settings.ManagerName),
		records:  map[balancer.ServerID]*record{},
		handed:   map[balancer.ServerID]*record{},
		zones:    map[balancer.ZoneID]*zone{},
		width:    newWidth(),
	}
}

// Listed takes the whole list, or changes of it.
func (s *Subset) HandleEndpointList(now time.Duration, whole bool, servers []Server) Update {
	if whole {
		s.replaceAll(servers)
		s.admitAll(now)
		s.update.Complete = s.started
		return s.flush()
	}
	for _, server := range servers {
		record := s.store(server)
		s.ring.insert(record)
		s.settle(now, record)
		s.dropIfUnused(record)
	}
	s.applyLimit(now)
	for _, server := range servers {
		if record := s.records[server.Server]; record != nil {
			s.settle(now, record)
			s.tell(record)
		}
	}
	return s.flush()
}

// Joined takes a proxy of a zone. The first one makes the zone home.
func (s *Subset) HandleProxyConnected(now time.Duration, id balancer.ZoneID) Update {
	z := s.zone(id)
	z.proxies++
	if !z.home {
		z.home = true
		s.update.Complete = !s.started
		s.started = true
		s.admitAll(now)
	}
	return s.flush()
}

// Left takes a proxy's leave. Its zone stays home for a while, and then its servers leave few by few.
func (s *Subset) HandleProxyDisconnected(now time.Duration, id balancer.ZoneID) {
	z := s.zone(id)
	if z.proxies--; z.proxies == 0 {
		z.emptyAt = now
	}
}

// Looked takes what the decision module sees, once a second: the subset is widened or narrowed, servers that are no
// members any more leave, and those that it has forgotten are dropped.
func (s *Subset) HandleTick(now time.Duration, fleet Fleet) Update {
	s.retireHomes(now)
	s.finishLeaving(now, fleet)
	if s.width.adjust(now, s.demand(now, fleet)) {
		s.note(now)
	}
	s.applyLimit(now)
	s.startLeaving(now)
	return s.flush()
}

// Knows tells whether the list names a server, member or not.
func (s *Subset) Tracks(id balancer.ServerID) bool { return s.records[id] != nil }

// Counts tells the sizes of the subset.
func (s *Subset) Counts() Counts {
	c := Counts{Listed: s.listed(), Width: s.width.factor}
	for _, record := range s.handed {
		if record.phase == member {
			c.Members++
		} else {
			c.Leaving++
		}
	}
	return c
}

// zone gives what is kept of a zone.
func (s *Subset) zone(id balancer.ZoneID) *zone {
	z := s.zones[id]
	if z == nil {
		z = &zone{}
		s.zones[id] = z
	}
	return z
}

// listed counts the servers that the list does not call gone.
func (s *Subset) listed() (n int) {
	for _, z := range s.zones {
		n += z.listed
	}
	return n
}

// foreign counts the listed servers of other zones than home.
func (s *Subset) foreign() (n int) {
	for _, z := range s.zones {
		if !z.home {
			n += z.listed
		}
	}
	return n
}

// newLimit is what the list, the home zones and the width ask for.
func (s *Subset) newLimit() limit {
	return s.ring.limitFor(s.width.factor*float64(s.settings.Spill), s.foreign(), func(r *record) bool {
		return r.server.State != balancer.Removed && !s.zone(r.server.Zone).home
	})
}

// selects tells whether a server belongs to the subset, whatever its state is.
func (s *Subset) selects(r *record) bool {
	return s.zone(r.server.Zone).home || s.limit.covers(r.distance)
}

// applyLimit moves the limit to what the list and the width ask for, and admits the servers that it covers now.
func (s *Subset) applyLimit(now time.Duration) {
	before := s.limit
	s.limit = s.newLimit()
	for _, record := range s.ring.between(before, s.limit) {
		s.settle(now, record)
	}
}

// admitAll looks at every server, after a change that may concern all.
func (s *Subset) admitAll(now time.Duration) {
	s.limit = s.newLimit()
	for _, record := range s.ring.records {
		s.settle(now, record)
	}
}

// settle hands a server on where the decision module needs it now. One that the module is about to forget waits for
// the next look, which tells whether it has.
func (s *Subset) settle(now time.Duration, r *record) {
	if !s.started {
		return
	}
	ready := r.server.State == balancer.Ready
	switch {
	case ready && r.phase == leaving && s.selects(r):
		s.admit(now, r)
	case ready && r.phase == outside && s.selects(r):
		r.markWarm(now, s.settings.WarmUpDuration)
		s.admit(now, r)
	case !ready && r.phase == outside && r.listed:
		s.leave(now, r)
	}
}

func (s *Subset) leave(now time.Duration, r *record) {
	r.enter(leaving, now)
	s.handed[r.server.Server] = r
	s.tell(r)
}

func (s *Subset) admit(now time.Duration, r *record) {
	r.enter(member, now)
	s.handed[r.server.Server] = r
	s.tell(r)
}

// tell hands a server on, if the decision module may know it.
func (s *Subset) tell(r *record) {
	if r.phase != outside && !r.told {
		r.told = true
		s.update.Servers = append(s.update.Servers, Server{Endpoint: balancer.Endpoint{Server: r.server.Server}})
	}
}

// note says in the log that the subset was widened.
func (s *Subset) note(now time.Duration) {
	s.update.LogRecords = append(s.update.LogRecords, fmt.Sprintf("subset widened %.1f times at %.1fs", s.width.factor, now.Seconds()))
}

// flush ends an input: each server that was told of is handed on once, with its latest state.
func (s *Subset) flush() Update {
	u := s.update
	s.update = Update{}
	if u.Complete {
		u.Servers = u.Servers[:0]
		for id := range s.handed {
			u.Servers = append(u.Servers, Server{Endpoint: balancer.Endpoint{Server: id}})
		}
	}
	for i, told := range u.Servers {
		record := s.records[told.Server]
		record.told = false
		u.Servers[i] = record.handOn()
	}
	if u.Complete { // who is absent from the whole list is gone
		u.Servers = slices.DeleteFunc(u.Servers, func(one Server) bool { return one.State == balancer.Removed })
	}
	slices.SortFunc(u.Servers, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	return u
}
