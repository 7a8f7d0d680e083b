package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// connectionUses is how many requests a connection should carry within the time after which an idle one closes.
	connectionUses = 8.0
	// minPartitionServers is the least number of servers of a partition.
	minPartitionServers = 4.0
	// minPartitionProxies is the least number of this manager's proxies in a partition.
	minPartitionProxies = 5.0
)

// partitionZones divides the servers of each zone into partitions, each with a table for a part of the zone's proxies,
// where proxies have so few requests for so many servers that connections would close between uses.
func (m *Manager) partitionZones() {
	m.partitioned = true
	zones := float64(len(m.zones))
	servers := float64(count(m.servers, m.mayServe)) / zones
	uses := m.meanAnnouncedRate() * m.idleTimeout.Seconds()
	wanted := math.Ceil(connectionUses * servers / max(uses, 1e-6))
	mostByServers := servers / minPartitionServers
	mostByProxies := m.proxyCount / m.managerCount / zones / minPartitionProxies
	m.partitionsPerZone = int(max(1, min(wanted, mostByServers, mostByProxies)))
	if m.partitionsPerZone > 1 {
		m.log(EventZonesPartitioned,
			countField("partitions", m.partitionsPerZone),
			numberField("servers", servers, 0),
			numberField("connection_uses", uses, 0))
		m.layOutTables(m.partitionsPerZone, nil)
	}
}

// zoneOf is the zone of a table's proxies.
func (m *Manager) zoneOf(table TableID) int { return int(table) / m.partitionsPerZone }

// partitionForServer is the partition of a zone with the fewest servers.
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

// partitionForProxy is the partition of a zone whose proxies announced the fewest requests.
func (m *Manager) partitionForProxy(zone int) int {
	m.updatePlacement()
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

// layOutTables makes all tables anew and divides servers and proxies among the partitions.
func (m *Manager) layOutTables(partitionsPerZone int, zones []ZoneID) {
	m.partitionsPerZone = partitionsPerZone
	m.tables = nil
	for _, zone := range zones {
		m.zoneIndex(zone)
	}
	m.addTables()
	m.placementValid = true
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
			t.unassigned++
		}
	}
	for partition, t := range m.tables {
		t.announcedRate = sizes[partition]
	}
	m.placementValid = len(m.proxies) > 0
}

// nearestPartitions orders, for a partition, the others: those of its own zone, then those of other zones by latency.
// The order begins with the next one, so that neighbours do not all begin with the same.
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

// nearestZones are, for each zone, the others by latency.
func (m *Manager) nearestZones() [][]int {
	zones := len(m.tables) / m.partitionsPerZone
	order := make([][]int, zones)
	for from := range order {
		latency := make([]float64, zones)
		for i := 1; i < zones; i++ {
			to := (from + i) % zones
			latency[to] = median(m.zonePairs[from][to].latencies)
			order[from] = append(order[from], to)
		}
		slices.SortStableFunc(order[from], func(a, b int) int { return cmp.Compare(latency[a], latency[b]) })
	}
	return order
}

// pairClosed tells whether the zones of two partitions are closed to new spill from one to the other.
func (m *Manager) pairClosed(from, to int) bool {
	return m.zonePairs[from/m.partitionsPerZone][to/m.partitionsPerZone].closed
}
