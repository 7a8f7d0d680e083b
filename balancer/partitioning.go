package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minConnectionUses is the smallest mean number of requests on a connection within the idle timeout.
	minConnectionUses = 8.0
	// minPartitionServers is the smallest mean number of servers in a partition.
	minPartitionServers = 4.0
	// minPartitionProxies is the smallest mean number of one manager's proxies in a partition.
	minPartitionProxies = 5.0
)

// partitionZones divides the servers of each zone into partitions, each with a table for some of the zone's proxies, if
// proxies send so few requests to so many servers that connections would reach the idle timeout between requests.
func (m *Manager) partitionZones() {
	m.partitioned = true
	zones := float64(len(m.zones))
	servers := float64(count(m.servers, m.mayServe)) / zones
	requestsPerIdleTimeout := m.meanAnnouncedRate() * m.idleTimeout.Seconds()
	desired := math.Ceil(minConnectionUses * servers / max(requestsPerIdleTimeout, 1e-6))
	maxByServers := servers / minPartitionServers
	maxByProxies := m.proxyCount / m.managerCount / zones / minPartitionProxies
	m.partitionsPerZone = int(max(1, min(desired, maxByServers, maxByProxies)))
	if m.partitionsPerZone > 1 {
		m.log(EventZonesPartitioned,
			countField("partitions", m.partitionsPerZone),
			numberField("servers", servers, 0),
			numberField("connection_uses", requestsPerIdleTimeout, 0))
		m.layOutTables(m.partitionsPerZone, nil)
	}
}

// zoneOf returns the zone of a table's proxies.
func (m *Manager) zoneOf(table TableID) int { return int(table) / m.partitionsPerZone }

// partitionForServer returns the partition of a zone with the fewest servers.
func (m *Manager) partitionForServer(zone int) int {
	if m.partitionsPerZone == 1 {
		return zone
	}
	sizes := make([]float64, len(m.tables))
	for _, s := range m.servers {
		sizes[s.partition]++
	}
	return m.smallestPartition(zone, sizes)
}

// partitionForProxy returns the partition of a zone whose proxies announced the lowest total request rate.
func (m *Manager) partitionForProxy(zone int) int {
	m.updateTableIndex()
	smallest := zone * m.partitionsPerZone
	for partition := smallest; partition < (zone+1)*m.partitionsPerZone; partition++ {
		if m.tables[partition].announcedRate < m.tables[smallest].announcedRate {
			smallest = partition
		}
	}
	return smallest
}

func (m *Manager) smallestPartition(zone int, sizes []float64) int {
	smallest := zone * m.partitionsPerZone
	for partition := smallest; partition < (zone+1)*m.partitionsPerZone; partition++ {
		if sizes[partition] < sizes[smallest] {
			smallest = partition
		}
	}
	return smallest
}

// layOutTables adds the given zones, replaces all tables by empty ones, and divides servers and proxies among the
// partitions.
func (m *Manager) layOutTables(partitionsPerZone int, zones []ZoneID) {
	m.partitionsPerZone = partitionsPerZone
	m.tables = nil
	for _, zone := range zones {
		m.zoneIndex(zone)
	}
	m.addTables()
	m.tableIndexValid = true
	sizes := make([]float64, len(m.tables))
	for _, s := range m.servers {
		s.partition = m.smallestPartition(s.zone, sizes)
		s.tables = nil
		sizes[s.partition]++
	}
	clear(sizes)
	for _, p := range m.proxies {
		p.partition = m.smallestPartition(p.zone, sizes)
		sizes[p.partition] += p.announcedRate
		t := m.tables[p.partition]
		t.proxies = append(t.proxies, p)
		if !p.assigned {
			t.unassignedCount++
		}
	}
	for partition, t := range m.tables {
		t.announcedRate = sizes[partition]
	}
	m.tableIndexValid = len(m.proxies) > 0
}

// nearestPartitions returns a function that orders the other partitions by distance from a given one: first those of
// its own zone, then those of other zones by latency. The order within the own zone begins with the next partition, so
// that partitions do not all spill to the same one first.
func (m *Manager) nearestPartitions() func(partition int) []int {
	zoneOrder := m.nearestZones()
	perZone := m.partitionsPerZone
	return func(partition int) []int {
		zone := partition / perZone
		first := zone * perZone
		var others []int
		for i := 1; i < perZone; i++ {
			others = append(others, first+(partition-first+i)%perZone)
		}
		for _, other := range zoneOrder[zone] {
			for i := range perZone {
				others = append(others, other*perZone+i)
			}
		}
		return others
	}
}

// nearestZones returns, for each zone, the other zones in order of latency.
func (m *Manager) nearestZones() [][]int {
	zones := len(m.tables) / m.partitionsPerZone
	nearest := make([][]int, zones)
	for from := range nearest {
		latency := make([]float64, zones)
		for i := 1; i < zones; i++ {
			to := (from + i) % zones
			latency[to] = median(m.zonePairs[from][to].latencies)
			nearest[from] = append(nearest[from], to)
		}
		slices.SortStableFunc(nearest[from], func(a, b int) int { return cmp.Compare(latency[a], latency[b]) })
	}
	return nearest
}

// pairClosed reports whether the zone pair from the proxies of one partition to the servers of another is closed.
func (m *Manager) pairClosed(from, to int) bool {
	return m.zonePairs[from/m.partitionsPerZone][to/m.partitionsPerZone].closed
}
