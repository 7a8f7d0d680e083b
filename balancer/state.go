package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file holds what a manager knows of servers, proxies and tables; it decides nothing.

// inFlightUnknown is the number of requests in flight of a server that did not tell it.
const inFlightUnknown = -1

// longAgo is the time of what never happened, before all times that count.
const longAgo = -time.Hour

// server is what is known of one server.
type server struct {
	id        ServerID
	zone      int
	partition int // of its zone; the number of its table
	tables    []TableID
	weight    float64 // as listed

	state        ServerState
	listedStart  time.Duration
	removedAt    time.Duration // 0: it is on the list
	leavingSince time.Duration // when the list first said that it drains or is removed; 0: neither

	warmingUp  bool
	warmUpFrom time.Duration

	withdrawn       bool
	decreasePending bool // some table still names it with more than it should get

	reports      []receivedReport // the last ones, the newest last
	expectedRate float64          // attempts per second that should come by the published tables
	inFlight     float64          // requests; inFlightUnknown before it told any
	inFlightAt   time.Duration
	health       float64 // from minHealth to 1

	lastSeen     time.Duration
	ejected      bool          // it does not answer
	checkedAt    time.Duration // when the last health check was sent
	checkEndedAt time.Duration
	unreachable  bool // by the last health check
}

func (s *server) compareID(id ServerID) int { return cmp.Compare(s.id, id) }

// recordInFlight takes the requests in flight that a server told, if it did.
func (s *server) recordInFlight(now time.Duration, inFlight float64) {
	if inFlight >= 0 {
		s.inFlight = inFlight
		s.inFlightAt = now
	}
}

// receivedReport is a load report and when it came.
type receivedReport struct {
	LoadReport
	at time.Duration
}

// proxy is what is known of one proxy.
type proxy struct {
	id            ProxyID
	zone          int
	partition     int     // whose table it uses
	announcedRate float64 // requests per second, as told when it connected
	connectedAt   time.Duration
	assigned      bool
	mayHoldTable  bool            // of before it connected again, for all that is known
	messageTimes  []time.Duration // within the window of the message limit
	usage         [][]sample      // by traffic class, the last ones
}

// sample is one measurement, and the seconds that it covers if it counts something.
type sample struct {
	at      time.Duration
	value   float64
	seconds float64
}

// table is the table of one partition, with its zone-local part where classes stay in their zone.
type table struct {
	id              TableID
	target          map[ServerID]float64 // share of the requests, as last distributed
	published       map[ServerID]float64 // weight
	publishedLevels map[uint]AdmissionLevel
	pinnedWeight    float64 // of all its endpoints; 0: not pinned
	assignCost      float64 // commands that a proxy put on it gets; 0: to be counted

	proxies            []*proxy // of its partition, assigned or not, by number
	announcedRate      float64  // requests per second, of these
	unassigned         int      // proxies that wait to be put on it
	awaitsDistribution bool     // they wait until the table is worked out anew
}

// addServer takes in a server that the list names.
func (m *Manager) addServer(endpoint Endpoint) *server {
	m.server(endpoint.Server) // builds the index that the server is added to
	zone := m.zoneIndex(endpoint.Zone)
	s := &server{
		id:           endpoint.Server,
		zone:         zone,
		partition:    m.partitionForServer(zone),
		weight:       endpoint.Weight,
		warmUpFrom:   m.now,
		inFlight:     inFlightUnknown,
		health:       1,
		lastSeen:     m.now,
		checkedAt:    -unresponsiveAfter,
		checkEndedAt: longAgo,
	}
	i, _ := slices.BinarySearchFunc(m.servers, s.id, (*server).compareID)
	m.servers = slices.Insert(m.servers, i, s)
	m.serverByID[s.id] = s
	return s
}

// zoneIndex is a zone's position in zones, where it is added if it is new.
func (m *Manager) zoneIndex(id ZoneID) int {
	if zone := slices.Index(m.zones, id); zone >= 0 {
		return zone
	}
	m.zones = append(m.zones, id)
	m.zoneCheckedAt = append(m.zoneCheckedAt, longAgo)
	m.addTables()
	m.zonePairs = make([][]zonePair, len(m.zones))
	for zone := range m.zonePairs {
		m.zonePairs[zone] = make([]zonePair, len(m.zones))
	}
	return len(m.zones) - 1
}

// addTables adds the tables that zones and partitions call for.
func (m *Manager) addTables() {
	for len(m.tables) < len(m.zones)*m.partitionsPerZone {
		m.tables = append(m.tables, &table{
			id:              TableID(len(m.tables)),
			target:          map[ServerID]float64{},
			published:       map[ServerID]float64{},
			publishedLevels: map[uint]AdmissionLevel{},
		})
	}
}
