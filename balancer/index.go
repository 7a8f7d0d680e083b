package balancer

import (
	"cmp"
	"math"
	"slices"
)

// index is what conditions look things up by, so that an input costs what it changes and not what there is. All of it
// follows from the servers, proxies and tables; it is counted anew where a flag says so, and decides nothing.
type index struct {
	byID     map[ServerID]*server
	byNumber map[ProxyID]*proxy
	sorted   bool // the sets of servers are as the servers are
	kept     sets
	placed   bool     // proxies are dealt to their tables, and servers know the tables that name them
	waits    []*proxy // without a table, by when they joined
	least    float64  // lines of the cheapest table that they can be put on; 0: to be counted anew
	inside   float64  // lines of the queue that entered the channel, as marks show it,
	outside  float64  // and that have not
	summed   bool     // they are counted
}

// sets are the servers that some condition asks for, by id where nothing else is said.
type sets struct {
	leave    []*server // to be withdrawn, those told first before others
	comeBack []*server // withdrawn, and may get flows
	climb    int       // may get flows, and climb
	drained  int       // withdrawn, and may get none
}

func (m *Manager) sets() *sets {
	if !m.sorted {
		m.sorted, m.kept = true, sets{leave: m.kept.leave[:0], comeBack: m.kept.comeBack[:0]}
		for _, s := range m.servers {
			switch open := m.open(s); {
			case !s.withdrawn && (s.state == Draining || s.state == Removed && !m.goneStays):
				m.kept.leave = append(m.kept.leave, s)
			case s.withdrawn && open:
				m.kept.comeBack = append(m.kept.comeBack, s)
			case s.withdrawn:
				m.kept.drained++
			}
			if m.cold(s) {
				m.kept.climb++
			}
		}
		slices.SortStableFunc(m.kept.leave, func(a, b *server) int { return cmp.Compare(a.leavesAt, b.leavesAt) })
	}
	return &m.kept
}

// climbs tells whether a server that may get flows climbs.
func (m *Manager) climbs() bool { return m.sets().climb > 0 }

func (m *Manager) server(id ServerID) *server {
	if m.byID == nil || len(m.byID) != len(m.servers) {
		m.byID = map[ServerID]*server{}
		for _, s := range m.servers {
			m.byID[s.id] = s
		}
	}
	return m.byID[id]
}

func (m *Manager) proxy(id ProxyID) *proxy {
	if m.byNumber == nil || len(m.byNumber) != len(m.proxies) {
		m.byNumber = map[ProxyID]*proxy{}
		for _, p := range m.proxies {
			m.byNumber[p.id] = p
		}
	}
	return m.byNumber[id]
}

// forget drops servers for good.
func (m *Manager) forget(is func(*server) bool) {
	m.least = 0
	n := len(m.servers)
	if m.servers = slices.DeleteFunc(m.servers, is); len(m.servers) < n {
		m.byID, m.sorted = nil, false
	}
}

// pull notes that a server was withdrawn or let back in.
func (m *Manager) pull(s *server, away bool) {
	m.place()
	s.withdrawn, m.sorted, m.least = away, false, 0
	for _, t := range s.tables {
		m.tables[t].cost = 0
	}
}

// place deals the proxies to the tables of their blocks, and tells servers which tables name them.
func (m *Manager) place() {
	if m.placed {
		return
	}
	m.placed, m.waits, m.least = true, nil, 0
	for _, s := range m.servers {
		s.tables = nil
	}
	for id, t := range m.tables {
		t.dealt, t.load, t.cost, t.waiting = nil, 0, 0, 0
		for s, w := range t.standing {
			if one := m.server(s); one != nil && w != 0 {
				one.tables = append(one.tables, TableID(id))
			}
		}
	}
	for _, p := range m.proxies {
		t := m.tables[p.block]
		t.dealt, t.load = append(t.dealt, p), t.load+p.rate
		if !p.bound {
			m.waits, t.waiting = append(m.waits, p), t.waiting+1
		}
	}
	slices.SortFunc(m.waits, byJoin)
}

func byNumber(p, q *proxy) int { return cmp.Compare(p.id, q.id) }

func byJoin(p, q *proxy) int {
	return cmp.Or(cmp.Compare(p.joinedAt, q.joinedAt), cmp.Compare(p.id, q.id))
}

func with(x []*proxy, p *proxy, order func(p, q *proxy) int) []*proxy {
	i, _ := slices.BinarySearchFunc(x, p, order)
	return slices.Insert(x, i, p)
}

func without(x []*proxy, p *proxy, order func(p, q *proxy) int) []*proxy {
	if i, ok := slices.BinarySearchFunc(x, p, order); ok {
		return slices.Delete(x, i, i+1)
	}
	return x
}

// enter takes in a proxy that has no table.
func (m *Manager) enter(p *proxy) {
	m.place()
	m.proxies, m.byNumber[p.id] = with(m.proxies, p, byNumber), p
	t := m.tables[p.block]
	t.dealt, m.waits, t.waiting = with(t.dealt, p, byNumber), with(m.waits, p, byJoin), t.waiting+1
	m.weighLoad(t)
	if m.least > 0 && !t.awaitsSolve && !m.bare(t) {
		m.least = min(m.least, m.whole(t))
	}
}

func (m *Manager) leave(p *proxy) {
	m.place()
	m.proxies = without(m.proxies, p, byNumber)
	delete(m.byNumber, p.id)
	t := m.tables[p.block]
	t.dealt = without(t.dealt, p, byNumber)
	m.stopWaiting(p, t)
	m.weighLoad(t)
}

// stopWaiting takes a proxy that is put on its table, or leaves, off those that wait for one.
func (m *Manager) stopWaiting(p *proxy, t *table) {
	if p.bound {
		return
	}
	m.waits, t.waiting = without(m.waits, p, byJoin), t.waiting-1
	if t.waiting == 0 {
		m.least = 0
	}
	m.drains = m.drains || len(m.waits) == 0
}

// endSolveWait lets proxies that wait until their tables are solved be put on them.
func (m *Manager) endSolveWait() {
	for _, t := range m.tables {
		t.awaitsSolve = false
	}
	m.least = 0
}

// weighLoad sums what a block's proxies told, in their order. Only blocks are chosen by it.
func (m *Manager) weighLoad(t *table) {
	if m.blocks > 1 {
		t.load = 0
		for _, p := range t.dealt {
			t.load += p.rate
		}
	}
}

// put notes that a proxy was bound to its block's table, and to its part for the groups that keep to their zone.
func (m *Manager) put(p *proxy) {
	m.place()
	m.stopWaiting(p, m.tables[p.block])
	p.bound, p.holds = true, false
	if m.home == 0 || m.roaming != 0 {
		m.o.Assign = append(m.o.Assign, TableAssignment{p.id, TableID(p.block), either(m.home == 0, 0, m.roaming)})
	}
	if m.home != 0 {
		m.o.Assign = append(m.o.Assign, TableAssignment{p.id, ZoneLocalTables + TableID(p.block), m.home})
	}
}

// setLevel notes that a level was ordered.
func (m *Manager) setLevel(t *table, l AdmissionLevel) {
	t.levels[l.Classes], t.cost, m.least = l, 0, 0
	l.Table += either(l.Classes&m.home != 0, ZoneLocalTables, 0)
	m.o.AdmissionLevels = append(m.o.AdmissionLevels, l)
}

// stands tells whether a table names a server.
func (m *Manager) stands(s *server) bool {
	m.place()
	return len(s.tables) > 0
}

// holders are the proxies whose table names a server, and those that hold tables of others, by number.
func (m *Manager) holders(s *server) []*proxy {
	m.place()
	to := slices.Clone(m.waits)
	for _, t := range s.tables {
		to = append(to, m.users(int(t))...)
	}
	if len(s.tables) > 0 {
		slices.SortFunc(to, byNumber)
		to = slices.Compact(to) // who waits may hold a table still
	}
	return to
}

// users are the proxies bound to a table, or that may be, by number.
func (m *Manager) users(z int) (to []*proxy) {
	m.place()
	for _, p := range m.tables[z].dealt {
		if p.bound || p.holds {
			to = append(to, p)
		}
	}
	return to
}

// named are the servers that a table names or should name, by id.
func (m *Manager) named(t *table) (all []*server) {
	add := func(id ServerID) {
		if s := m.server(id); s != nil {
			all = append(all, s)
		}
	}
	for id := range t.standing {
		add(id)
	}
	for id := range t.wanted {
		if _, both := t.standing[id]; !both {
			add(id)
		}
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return all
}

// unboundWithin are the proxies without a table, none where no table that they wait for has room. Guards against
// a walk over thousands that wait after a restart with each input that comes.
func (m *Manager) unboundWithin(spare float64) []*proxy {
	if m.leastToBind() > spare {
		return nil
	}
	return m.waits
}

// leastToBind is what the cheapest binding costs of a proxy that waits; infinite where none can be bound.
func (m *Manager) leastToBind() float64 {
	if m.place(); len(m.waits) == 0 {
		return math.Inf(1)
	}
	if m.least == 0 {
		m.least = math.Inf(1)
		for _, t := range m.tables {
			if t.waiting > 0 && !t.awaitsSolve && !m.bare(t) {
				m.least = min(m.least, m.whole(t))
			}
		}
	}
	return m.least + either(m.markedAt == m.now, 0, m.head+1)
}

// allToBind is what the bindings of all proxies that wait cost.
func (m *Manager) allToBind() (lines float64) {
	for _, t := range m.tables {
		if t.waiting > 0 {
			lines += float64(t.waiting) * (m.whole(t) + m.head + 1)
		}
	}
	return lines
}
