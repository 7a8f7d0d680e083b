// Package balancer decides which servers the proxies of each zone use. A Manager is a deterministic state machine: it
// has one Handle method for each kind of input (endpoint lists, proxy connections, load reports and so on), and each
// returns Commands. It performs no I/O, reads no clock and starts no goroutines: times are durations since the
// manager's start, randomness comes from the seed, and the same seed and inputs give the same commands. A Manager is
// not safe for concurrent use; one goroutine must own it.
//
// The decisions are made by an ordered list of rules (rules.go), whose conditions and actions are in one file per
// topic. state.go holds the state; indexes.go, statistics.go, demand.go and table_figures.go hold the values derived
// from it. None of these files makes decisions.
package balancer

import (
	"math"
	"time"
)

// Manager decides the endpoint tables of the proxies that are connected to one manager process.
type Manager struct {
	parameters
	indexes

	rngState uint64
	now      time.Duration // time of the input being processed
	commands Commands      // commands produced so far for the input being processed

	zones     []ZoneID
	servers   []*server    // ordered by id
	proxies   []*proxy     // ordered by number
	tables    []*table     // by number: the partitions of the first zone, then those of the second, and so on
	zonePairs [][]zonePair // indexed by the zone of the proxies, then by the zone of the servers

	deletedWithdrawn withdrawnServers

	partitioned       bool // partitionsPerZone has its final value
	partitionsPerZone int

	nextTick         time.Duration
	timerAt          time.Duration // time of the last Commands.NextTimer
	retryAt          time.Duration // when commands that are waiting for room in the channel are tried again (see retryNeeded)
	lastReportAt     time.Duration // when the last load report arrived
	usageReported    bool          // at least one usage report has arrived
	inFlightReported bool          // at least one server reports its in-flight requests

	subscribed     bool          // to the endpoint list
	subscribeAfter time.Duration // earliest time of the next subscription
	listReceived   bool          // at least one endpoint list has arrived

	redistribution    redistributionReason
	distributedRates  []float64 // requests per second by table, from the last distribution
	fleetWarmingShare float64   // share of all requests that the last distribution gave to servers in their warm-up
	publication       publication

	// warmingCapacityShare is the share of all requests that the servers can take while all of them are in their warm-up,
	// with maxWarmingShareIncrease times what their warm-up allows. It is 1 while any server is warm, or before the first
	// distribution.
	warmingCapacityShare float64

	pinned *pinnedTables // nil if the tables are not pinned

	drainPending  bool            // some server may have to be withdrawn
	newProxyTable *table          // table of a proxy that has just connected; nil: none
	suspectedZone int             // zone with a suspected outage; noZone: none
	zoneCheckedAt []time.Duration // by zone: when all servers of the zone were last checked

	admission      admissionControl
	checkDurations []sample // durations of the last health checks in seconds
	slowStartPause float64  // warm-up progress below which servers get no requests

	channel channel
}

// noZone is the zone index that stands for no zone.
const noZone = -1

// unsetTime marks a time that is not set. It differs from the time of every input, since those are at least 0.
const unsetTime time.Duration = -1

// New returns a manager for a platform with the given settings. Managers with the same seed and inputs give the same
// commands.
func New(seed uint64, settings Settings) *Manager {
	m := &Manager{
		parameters:     newParameters(settings),
		rngState:       seed,
		suspectedZone:  noZone,
		slowStartPause: pauseUntilReported,

		warmingCapacityShare: 1,
		admission:            newAdmissionControl(),
		publication:          publication{blockedAt: unsetTime},
		channel:              channel{barrierAt: unsetTime},
	}
	m.nextTick = time.Duration(m.random() * float64(tickInterval))
	m.layOutTables(1, settings.Zones)
	return m
}

// random returns a pseudo-random number in [0, 1) from a permuted congruential generator (PCG-XSH-RR 64/32).
func (m *Manager) random() float64 {
	const (
		multiplier = 6364136223846793005
		increment  = 1442695040888963407
	)
	m.rngState = m.rngState*multiplier + increment
	shifted := uint32((m.rngState>>18 ^ m.rngState) >> 27)
	rotation := int(m.rngState >> 59)
	return float64(shifted>>rotation|shifted<<(32-rotation)) / (1 << 32)
}

// unlimited is the admission limit that admits all requests, and the cost of an assignment that is not possible.
var unlimited = math.Inf(1)
