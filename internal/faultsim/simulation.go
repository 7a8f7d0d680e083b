package faultsim

import (
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"time"

	"github.com/zeebo/blake3"

	"tamarindshore/balancer"
)

// Identifiers of the independent random number streams that are derived from one seed.
const (
	simulationStream = 0xc4a9ce
	scriptStream     = 0x5eed
	targetStream     = 1
	reconnectStream  = 2
)

const (
	checkInterval = 100 * time.Millisecond
	maxEvents     = 5_000_000 // limit per run; a run with more events is taken for an endless loop

	// longAgo is the start time of the initial servers, and the time at which they were listed.
	longAgo = -time.Hour
)

// Simulation is the state of one run: a fleet with its manager, discovery and relay on a virtual clock. It is not safe for
// concurrent use.
type Simulation struct {
	clock
	scenario Scenario
	seed     uint64
	rng      *rand.Rand
	events   int
	digest   hash.Hash
	trace    func(line string) // nil: lines are not passed on

	servers    []*server
	serverByID map[balancer.ServerID]*server
	proxies    []*proxy

	manager manager
	relay   relay
	channel channel
	faults  activeFaults
	outages outages
	rules   *rules
}

// Run simulates a script against a new manager and returns the first violation of a rule, or nil if all rules were kept.
// It calls trace, unless it is nil, with each line of the run's trace. The same scenario and script give the same run.
func Run(scenario Scenario, script Script, trace func(line string)) (*Violation, *Simulation) {
	s := newSimulation(scenario, script.Seed, trace)
	s.startManager()
	for _, fault := range script.Faults {
		s.schedule(fault.At, func() { s.inject(fault) })
	}
	s.schedule(checkInterval, s.check)
	s.schedule(reportInterval, s.sendReports)
	end := scenario.FaultPhase + scenario.SettlePhase
	for s.rules.violation == nil && s.runNext(end) {
		s.events++
		if s.events > maxEvents {
			s.rules.fail(RuleBounded, "", "%d steps, and no end", s.events)
		}
	}
	if s.rules.violation == nil {
		s.now = end
		s.rules.checkProgress()
	}
	return s.rules.violation, s
}

// newSimulation returns a run at its start: all servers are warm and listed as ready, and no manager is running.
func newSimulation(scenario Scenario, seed uint64, trace func(line string)) *Simulation {
	s := &Simulation{
		scenario:   scenario,
		seed:       seed,
		rng:        rand.New(rand.NewPCG(seed, simulationStream)),
		digest:     blake3.New(),
		trace:      trace,
		serverByID: map[balancer.ServerID]*server{},
		relay:      newRelay(),
		channel:    channel{speed: 1},
		faults:     activeFaults{partitionedZones: make([]int, scenario.Zones)},
	}
	s.manager.endpoints = map[balancer.ServerID]listedServer{}
	s.rules = newRules(s)
	for i := range scenario.Servers {
		s.addServer(i)
	}
	for i := range scenario.Proxies {
		s.proxies = append(s.proxies, &proxy{id: balancer.ProxyID(i), zone: i % scenario.Zones})
	}
	return s
}

// addServer adds a warm server that is listed as ready.
func (s *Simulation) addServer(index int) {
	server := &server{
		id:         balancer.ServerID(fmt.Sprintf("s-%03d", index)),
		zone:       index % s.scenario.Zones,
		running:    true,
		slowdown:   1,
		startedAt:  longAgo,
		rateByZone: make([]float64, s.scenario.Zones),
	}
	s.servers = append(s.servers, server)
	s.serverByID[server.id] = server
	s.manager.endpoints[server.id] = listedServer{state: balancer.Ready, notifiedAt: longAgo, startedAt: longAgo}
}

// Digest returns the digest of all trace lines so far, in hexadecimal.
func (s *Simulation) Digest() string {
	const digestBytes = 16
	return hex.EncodeToString(s.digest.Sum(nil)[:digestBytes])
}

// Steps returns the number of events simulated so far.
func (s *Simulation) Steps() int { return s.events }

// record adds a line to the trace. The exact text of trace lines must not change: the digests in testdata/runs.txt depend
// on it. Traces call a command an order, an endpoint weight a line, a withdrawal a pull, an assignment a bind, and a log
// record of the balancer a note.
func (s *Simulation) record(format string, values ...any) {
	line := fmt.Sprintf("%9.3f ", s.now.Seconds()) + fmt.Sprintf(format, values...)
	s.digest.Write(append([]byte(line), '\n'))
	if s.trace != nil {
		s.trace(line)
	}
}

// check updates outages and traffic and checks the rules, once every checkInterval.
func (s *Simulation) check() {
	s.recordOutage()
	s.updateTraffic()
	s.rules.check()
	s.scheduleAfter(checkInterval, s.check)
}
