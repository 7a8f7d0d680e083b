package balancer

import "fmt"

// This file holds what others may ask of a manager; it decides nothing.

// KnowsServer tells whether a server is remembered.
func (m *Manager) KnowsServer(id ServerID) bool { return m.server(id) != nil }

// ServerStatus tells whether a server is known, whether it may get requests, and the progress of its warm-up from 0
// to 1.
func (m *Manager) ServerStatus(id ServerID) (known, usable bool, warmUpProgress float64) {
	s := m.server(id)
	if s == nil {
		return false, false, 0
	}
	return true, m.mayServe(s) && !(s.ejected && m.anyUsable()), m.warmUpProgress(s)
}

// RequestRate is the requests per second of a table's proxies, as last distributed.
func (m *Manager) RequestRate(id TableID) float64 {
	if int(id) < len(m.distributedRates) {
		return m.distributedRates[id]
	}
	return 0
}

// ReadyServers is how many servers may get requests, and how many of them are warm.
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

// Layout tells what the tables' numbers mean; it changes with them.
func (m *Manager) Layout() string { return fmt.Sprint(m.zones, " in ", m.partitionsPerZone) }
