package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestZonesArePartitionedWhereConnectionsWouldClose(t *testing.T) {
	m := newTestManager(12)
	m.partitioned = false
	m.idleTimeout = 10 * time.Second
	m.proxyCount = 60
	m.managerCount = 2
	for i := range 10 {
		m.proxies = append(m.proxies, &proxy{id: ProxyID(2 + i), zone: i % 2, announcedRate: 3})
	}
	m.partitionZones()
	if m.partitionsPerZone != 3 || len(m.tables) != 6 {
		t.Fatalf("%d partitions, %d tables", m.partitionsPerZone, len(m.tables))
	}
	sizes := make([]int, 6)
	for _, s := range m.servers {
		sizes[s.partition]++
		if s.partition/3 != s.zone {
			t.Errorf("%s of zone %d in partition %d", s.id, s.zone, s.partition)
		}
	}
	if slices.Min(sizes) != 4 || slices.Max(sizes) != 4 {
		t.Errorf("sizes %v", sizes)
	}
	if near := m.nearestPartitions()(1); near[0] != 2 || near[1] != 0 {
		t.Errorf("nearest %v", near)
	}
}

func TestZonesAreNotPartitionedWhereConnectionsStayOpen(t *testing.T) {
	m := newTestManager(12)
	m.partitioned = false
	m.idleTimeout = 100 * time.Second
	m.proxyCount = 60
	m.managerCount = 2
	m.proxies[0].announcedRate = 3
	m.proxies[1].announcedRate = 3
	m.partitionZones()
	if m.partitionsPerZone != 1 {
		t.Errorf("%d partitions", m.partitionsPerZone)
	}
}

// A stale list may name servers that drain, as after a restart during a release.
func TestPartitionsCountTheServersThatMayServe(t *testing.T) {
	blocks := func(state ServerState) int {
		m := newTestManager(12)
		m.partitioned = false
		m.proxyCount = 100
		m.idleTimeout = 10 * time.Second
		for _, p := range m.proxies {
			p.announcedRate = 6
		}
		for _, s := range m.servers[6:18] {
			s.state = state
		}
		m.partitionZones()
		return m.partitionsPerZone
	}
	if all, half := blocks(Ready), blocks(Draining); all != 2 || half != 1 {
		t.Errorf("%d partitions for 24 servers, %d for 12 that are there", all, half)
	}
}
