package balancer

import "fmt"

// This file holds the queries on a manager's state; it makes no decisions.

// KnowsServer reports whether the manager has state for a server.
func (m *Manager) KnowsServer(id ServerID) bool { return m.server(id) != nil }

// ServerStatus reports whether a server is known, whether it may get requests, and the progress of its warm-up from 0
// to 1.
func (m *Manager) ServerStatus(id ServerID) (known, usable bool, warmUpProgress float64) {
	s := m.server(id)
	if s == nil {
		return false, false, 0
	}
	return true, m.mayServe(s) && !(s.ejected && m.anyUsable()), m.warmUpProgress(s)
}

// IsLastResort reports whether a server is ejected but may get requests that keep to its zone, because all servers of the
// zone are ejected.
func (m *Manager) IsLastResort(id ServerID) bool {
	s := m.server(id)
	return s != nil && m.isLastResort(s)
}

// RequestRate returns the requests per second of a table's proxies that the last distribution was based on.
func (m *Manager) RequestRate(id TableID) float64 {
	if int(id) < len(m.distributedRates) {
		return m.distributedRates[id]
	}
	return 0
}

// ReadyServers returns the number of servers that may get requests, and how many of them have finished their warm-up.
func (m *Manager) ReadyServers() (all, warm int) {
	for _, s := range m.servers {
		if !m.mayServe(s) || s.ejected {
			continue
		}
		all++
		if !s.warmingUp {
			warm++
		}
	}
	return all, warm
}

// Layout describes the zones and partitions to which the table numbers refer; it changes whenever their meaning
// changes.
func (m *Manager) Layout() string { return fmt.Sprint(m.zones, " in ", m.partitionsPerZone) }
