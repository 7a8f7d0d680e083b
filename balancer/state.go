package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file defines the state that a manager keeps for servers, proxies and tables; it makes no decisions.

// inFlightUnknown stands for the in-flight requests of a server that has not reported them.
const inFlightUnknown = -1

// longAgo is the time recorded for an event that has not happened; it is older than any time window considered.
const longAgo = -time.Hour

// server is the state of one server.
type server struct {
	id        ServerID
	zone      int
	partition int       // table number of the server's partition
	tables    []TableID // tables that name the server, maintained by updateTableIndex
	weight    float64   // from the endpoint list

	state        ServerState
	listedStart  time.Duration // start time from the endpoint list, or startUnknown
	removedAt    time.Duration // when the list dropped the server; 0: the server is listed
	leavingSince time.Duration // when the list first reported it as draining or removed; 0: neither

	warmingUp  bool
	warmUpFrom time.Duration

	withdrawn       bool
	decreasePending bool // a lower weight has yet to be published in some table

	reports      []receivedReport // the most recent reports, newest last
	expectedRate float64          // attempts per second expected under the published tables
	inFlight     float64          // in-flight requests; inFlightUnknown until the server reports them
	inFlightAt   time.Duration    // when inFlight was reported
	health       float64          // from minHealth to 1

	lastSeen     time.Duration // last sign of life
	ejected      bool          // excluded from the distribution until it passes a health check
	checkSentAt  time.Duration // when the last health check was sent
	checkEndedAt time.Duration // when the result of the last health check arrived
	unreachable  bool          // the last health check could not connect
}

func (s *server) compareID(id ServerID) int { return cmp.Compare(s.id, id) }

// recordInFlight stores the in-flight requests that a server reported; a negative value means that it reported none.
func (s *server) recordInFlight(now time.Duration, inFlight float64) {
	if inFlight >= 0 {
		s.inFlight = inFlight
		s.inFlightAt = now
	}
}

// receivedReport is a load report with its arrival time.
type receivedReport struct {
	LoadReport
	at time.Duration
}

// proxy is the state of one proxy.
type proxy struct {
	id             ProxyID
	zone           int
	partition      int     // table number of the proxy's partition
	announcedRate  float64 // requests per second that the proxy announced when it connected
	connectedAt    time.Duration
	assigned       bool            // the proxy was put on its partition's table since it connected
	mayUseOldTable bool            // the proxy reconnected and may still use the table it had before
	messageTimes   []time.Duration // times of the messages within the window of the message limit
	usage          [][]sample      // request counts by traffic class, the most recent samples
}

// sample is one measurement; seconds is the time that it covers if the value is a count.
type sample struct {
	at      time.Duration
	value   float64
	seconds float64
}

// table is the endpoint table of one partition. If there are zone-local traffic classes, it has a zone-local part,
// which names only the servers of its zone.
type table struct {
	id               TableID
	targetShares     map[ServerID]float64 // share of the requests from the last distribution
	publishedWeights map[ServerID]float64 // published weights
	publishedLevels  map[uint]AdmissionLevel
	pinnedWeight     float64 // total weight of the endpoints of a pinned table; 0: not pinned
	assignCost       float64 // cached number of commands needed to put a proxy on the table; 0: not computed

	lacksEndpoint      bool          // it had no usable endpoint when checkEmptyTables last ran
	lacksLocalEndpoint bool          // the same for its zone-local part
	levelsPublished    bool          // the last publication left no change of its admission levels out
	emptySince         time.Duration // first tick at which it, or its zone-local part, had no usable endpoint for its proxies; 0: it has one

	proxies            []*proxy // proxies of the partition, assigned or not, ordered by number
	announcedRate      float64  // requests per second that these proxies announced
	unassignedCount    int      // number of proxies waiting to be put on the table
	awaitsDistribution bool     // the unassigned proxies wait for the next distribution
}

// addServer adds a server that appeared in the endpoint list.
func (m *Manager) addServer(endpoint Endpoint) *server {
	m.server(endpoint.Server) // builds serverByID, to which the server is added below
	zone := m.zoneIndex(endpoint.Zone)
	s := &server{
		id:           endpoint.Server,
		zone:         zone,
		partition:    m.partitionForServer(zone),
		weight:       endpoint.Weight,
		withdrawn:    m.deletedWithdrawn.remove(endpoint.Server),
		warmUpFrom:   m.now,
		inFlight:     inFlightUnknown,
		health:       1,
		lastSeen:     m.now,
		checkSentAt:  -unresponsiveAfter,
		checkEndedAt: longAgo,
	}
	i, _ := slices.BinarySearchFunc(m.servers, s.id, (*server).compareID)
	m.servers = slices.Insert(m.servers, i, s)
	m.serverByID[s.id] = s
	return s
}

// zoneIndex returns a zone's position in m.zones and adds the zone if it is new.
func (m *Manager) zoneIndex(id ZoneID) int {
	if zone := slices.Index(m.zones, id); zone >= 0 {
		return zone
	}
	m.zones = append(m.zones, id)
	m.serverSetsValid = false
	m.zoneCheckedAt = append(m.zoneCheckedAt, longAgo)
	m.addTables()
	m.zonePairs = make([][]zonePair, len(m.zones))
	for zone := range m.zonePairs {
		m.zonePairs[zone] = make([]zonePair, len(m.zones))
	}
	return len(m.zones) - 1
}

// addTables adds tables until there is one for each partition of each zone.
func (m *Manager) addTables() {
	for len(m.tables) < len(m.zones)*m.partitionsPerZone {
		m.tables = append(m.tables, &table{
			id:               TableID(len(m.tables)),
			targetShares:     map[ServerID]float64{},
			publishedWeights: map[ServerID]float64{},
			publishedLevels:  map[uint]AdmissionLevel{},
		})
	}
}
