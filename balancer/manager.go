// Package balancer decides which servers the proxies of each zone use. A Manager is a state machine: it learns of
// servers, proxies and their load by one Handle method for each input, and answers with Commands. It is free of I/O,
// clocks and goroutines: times are durations since the manager's start, randomness comes from the seed, and the same
// seed and inputs give the same commands. A Manager is not safe for concurrent use; one goroutine owns it.
//
// The decisions follow the ordered list of rules, each in a file of its own; state.go, indexes.go and statistics.go
// hold the state and the figures worked out from it, and decide nothing.
package balancer

import (
	"math"
	"time"
)

// Manager decides the tables of one manager's proxies.
type Manager struct {
	parameters
	indexes

	rngState uint64
	now      time.Duration // of the input in work
	commands Commands      // of the input in work

	zones     []ZoneID
	servers   []*server    // by id
	proxies   []*proxy     // by number
	tables    []*table     // by number: the partitions of each zone, one zone after another
	zonePairs [][]zonePair // by zone of the proxies, then of the servers

	partitioned       bool // partitionsPerZone is settled
	partitionsPerZone int

	nextTick         time.Duration
	timerAt          time.Duration // the last NextTimer
	lastReportAt     time.Duration
	usageReported    bool
	inFlightReported bool // some server tells its requests in flight

	subscribed   bool // to the endpoint list
	pollAfter    time.Duration
	listReceived bool

	redistribution   redistributionReason
	distributedRates []float64 // requests per second by table, as last distributed
	warmingShare     float64   // of all requests, what servers in their warm-up got in the last distribution
	publication      publication
	pinned           *pinnedTables // nil: tables are not pinned

	drainPending   bool   // some server may have to be withdrawn
	connectedTable *table // of a proxy that has just connected
	suspectedZone  int    // that may be lost; noZone: none
	zoneCheckedAt  []time.Duration

	admission      admissionControl
	checkTimes     []sample // seconds that the last health checks took
	slowStartPause float64  // progress of a warm-up below which servers get no requests

	channel channel
}

// noZone is no index of a zone.
const noZone = -1

// never is a time before all times of a manager.
const never time.Duration = -1

// New makes a manager for the platform's settings.
func New(seed uint64, settings Settings) *Manager {
	m := &Manager{
		parameters:     newParameters(settings),
		rngState:       seed,
		suspectedZone:  noZone,
		slowStartPause: pauseUnreported,
		admission:      newAdmissionControl(),
		publication:    publication{blockedAt: never},
		channel:        channel{barrierAt: never},
	}
	m.nextTick = time.Duration(m.random() * float64(tickInterval))
	m.layOutTables(1, settings.Zones)
	return m
}

// random is a permuted congruential generator (PCG-XSH-RR 64/32) that gives a number from 0 to 1.
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

// unlimited is an admission limit that admits all requests.
var unlimited = math.Inf(1)
