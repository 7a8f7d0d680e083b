package balancer

import (
	"testing"
	"time"
)

func TestDistributeStaysInZoneWithinTheBand(t *testing.T) {
	got := distributeRates([]float64{22, 18}, append(equalTargets(0, 2, 10), equalTargets(1, 2, 10)...), [][]int{{1}, {0}}, noPairClosed)
	wantNear(t, "rate from zone 0 to its own servers", got[0][0]+got[0][1], 22)
	wantNear(t, "rate from zone 1 to its own servers", got[1][2]+got[1][3], 18)
}

func TestDistributeFillsFloorsFromTheSurplusOfOtherZones(t *testing.T) {
	got := distributeRates([]float64{30, 10}, append(equalTargets(0, 2, 10), equalTargets(1, 2, 10)...), [][]int{{1}, {0}}, noPairClosed)
	wantNear(t, "rate up to the ceilings in the own zone", got[0][0]+got[0][1], 24)
	wantNear(t, "rate spilled to the other zone", got[0][2]+got[0][3], 6)
	wantNear(t, "floor of a server, filled from both zones", got[0][2]+got[1][2], 8)
}

func TestDistributeSpillsToTheNearestOpenZone(t *testing.T) {
	targets := append(append(equalTargets(0, 1, 10), equalTargets(1, 4, 10)...), equalTargets(2, 4, 10)...)
	rates := []float64{18, 36, 36}
	nearest := [][]int{{1, 2}, {0, 2}, {0, 1}}
	got := distributeRates(rates, targets, nearest, noPairClosed)
	wantNear(t, "rate to the nearest zone", got[0][1]*4, 6)
	got = distributeRates(rates, targets, nearest, func(from, to int) bool { return from == 0 && to == 1 })
	wantNear(t, "rate over a closed zone pair", got[0][1], 0)
	wantNear(t, "rate to the next nearest zone", got[0][5]*4, 6)
	got = distributeRates(rates, targets, nearest, func(from, to int) bool { return true })
	wantNear(t, "rate to the nearest zone with all zone pairs closed", got[0][1]*4, 6)
}

func TestDistributeAllocatesAllRequestsBeyondTheBands(t *testing.T) {
	targets := []serverTarget{{0, 1, 0, 0.5}, {0, 3, 0, 0.5}}
	got := distributeRates([]float64{8}, targets, [][]int{{}}, noPairClosed)
	wantNear(t, "rate of the first server", got[0][0], 2)
	wantNear(t, "rate of the second server", got[0][1], 6)
}

func TestNewlyConnectedProxyCountsForItsAnnouncedRate(t *testing.T) {
	m := newTestManager(2)
	m.proxies[0].announcedRate = 60
	m.proxies[0].usage[0] = []sample{{0, 2, 1}}
	m.servers[0].warmingUp = true
	wantNear(t, "rate of a newly connected proxy", m.demandByPartition()[0], 60)
	m.now = 4 * time.Second
	m.proxies[0].connectedAt = -10 * time.Second
	wantNear(t, "rate of a proxy that connected earlier", m.demandByPartition()[0], 30)
}

func TestDemandFollowsListedWeightBeforeUsage(t *testing.T) {
	m := newTestManager(2)
	m.usageReported = false
	m.servers[0].weight = 3
	wantNear(t, "demand of the zone by listed weight", m.demandByPartition()[0], 4)
}

// In a zone of 300 servers, an equal share of the requests is less than minWeightShare.
func TestTableOfHundredsOfEqualServersNamesThemAll(t *testing.T) {
	m := newTestManager(300)
	m.redistribute()
	for zone, table := range m.tables {
		if len(table.targetShares) != 300 {
			t.Errorf("table %d names %d servers, want all 300 equal servers", zone, len(table.targetShares))
		}
	}
}
