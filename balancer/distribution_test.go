package balancer

import (
	"testing"
	"time"
)

func TestDistributeStaysInZoneWithinTheBand(t *testing.T) {
	got := distributed([]float64{22, 18}, append(equalParts(0, 2, 10), equalParts(1, 2, 10)...), [][]int{{1}, {0}}, noPairClosed)
	wantNear(t, "own", got[0][0]+got[0][1], 22)
	wantNear(t, "other's", got[1][2]+got[1][3], 18)
}

func TestDistributeGivesFloorsFromTheSurplusOfOtherZones(t *testing.T) {
	got := distributed([]float64{30, 10}, append(equalParts(0, 2, 10), equalParts(1, 2, 10)...), [][]int{{1}, {0}}, noPairClosed)
	wantNear(t, "ceilings in-zone", got[0][0]+got[0][1], 24)
	wantNear(t, "spill", got[0][2]+got[0][3], 6)
	wantNear(t, "floor from both", got[0][2]+got[1][2], 8)
}

func TestDistributeSpillsToTheNearestOpenZone(t *testing.T) {
	parts := append(append(equalParts(0, 1, 10), equalParts(1, 4, 10)...), equalParts(2, 4, 10)...)
	volumes := []float64{18, 36, 36}
	nearest := [][]int{{1, 2}, {0, 2}, {0, 1}}
	got := distributed(volumes, parts, nearest, noPairClosed)
	wantNear(t, "nearest", got[0][1]*4, 6)
	got = distributed(volumes, parts, nearest, func(a, b int) bool { return a == 0 && b == 1 })
	wantNear(t, "closed", got[0][1], 0)
	wantNear(t, "next", got[0][5]*4, 6)
	got = distributed(volumes, parts, nearest, func(a, b int) bool { return true })
	wantNear(t, "all closed", got[0][1]*4, 6)
}

func TestDistributeAllocatesAllWithTooLittleRoom(t *testing.T) {
	parts := []distributionPart{{0, 1, 0, 0.5}, {0, 3, 0, 0.5}}
	got := distributed([]float64{8}, parts, [][]int{{}}, noPairClosed)
	wantNear(t, "first", got[0][0], 2)
	wantNear(t, "second", got[0][1], 6)
}

func TestANewlyConnectedProxyCountsForItsAnnouncedRate(t *testing.T) {
	m := newTestManager(2)
	m.proxies[0].announcedRate = 60
	m.proxies[0].usage[0] = []sample{{0, 2, 1}}
	m.servers[0].warmingUp = true
	wantNear(t, "just joined", m.demandByPartition()[0], 60)
	m.now = 4 * time.Second
	m.proxies[0].connectedAt = -10 * time.Second
	wantNear(t, "later", m.demandByPartition()[0], 30)
}

func TestDemandFollowsListedWeightBeforeUsage(t *testing.T) {
	m := newTestManager(2)
	m.usageReported = false
	m.servers[0].weight = 3
	wantNear(t, "zone", m.demandByPartition()[0], 4)
}

// An equal share of a zone of many servers is less than a weight usually must be.
func TestATableOfHundredsOfEqualServersNamesThem(t *testing.T) {
	m := newTestManager(300)
	m.redistribute()
	for z, table := range m.tables {
		if len(table.target) != 300 {
			t.Errorf("table %d names %d of 300 equal servers", z, len(table.target))
		}
	}
}
