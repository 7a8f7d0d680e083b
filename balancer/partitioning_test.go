package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestZonesArePartitionedIfConnectionsWouldClose(t *testing.T) {
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
		t.Fatalf("%d partitions per zone and %d tables, want 3 and 6", m.partitionsPerZone, len(m.tables))
	}
	sizes := make([]int, 6)
	for _, s := range m.servers {
		sizes[s.partition]++
		if s.partition/3 != s.zone {
			t.Errorf("server %s of zone %d is in partition %d of another zone", s.id, s.zone, s.partition)
		}
	}
	if slices.Min(sizes) != 4 || slices.Max(sizes) != 4 {
		t.Errorf("servers by partition: %v, want 4 each", sizes)
	}
	if near := m.nearestPartitions()(1); near[0] != 2 || near[1] != 0 {
		t.Errorf("nearest partitions of partition 1: %v, want 2 and 0 first", near)
	}
}

func TestZonesAreNotPartitionedIfConnectionsStayOpen(t *testing.T) {
	m := newTestManager(12)
	m.partitioned = false
	m.idleTimeout = 100 * time.Second
	m.proxyCount = 60
	m.managerCount = 2
	m.proxies[0].announcedRate = 3
	m.proxies[1].announcedRate = 3
	m.partitionZones()
	if m.partitionsPerZone != 1 {
		t.Errorf("%d partitions per zone, want 1", m.partitionsPerZone)
	}
}

// A stale endpoint list, as after a restart during a release, may name draining servers. They must not count.
func TestOnlyServersThatMayServeCountForPartitions(t *testing.T) {
	partitionsWithHalfIn := func(state ServerState) int {
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
	if allReady, halfDraining := partitionsWithHalfIn(Ready), partitionsWithHalfIn(Draining); allReady != 2 || halfDraining != 1 {
		t.Errorf("%d partitions per zone for 24 ready servers and %d for 12, want 2 and 1", allReady, halfDraining)
	}
}
