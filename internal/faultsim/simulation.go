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

// Streams of random numbers that one seed feeds, each for a purpose of its own.
const (
	simulationStream = 0xc4a9ce
	scriptStream     = 0x5eed
	targetStream     = 1
	reconnectStream  = 2
)

const (
	checkInterval = 100 * time.Millisecond
	maxEvents     = 5_000_000 // of one run: more of them are taken for an endless loop

	// longAgo is when servers started and were listed that are there from the beginning.
	longAgo = -time.Hour
)

// Simulation is one run: a fleet with its manager, discovery and relay on a virtual clock. It is not safe for concurrent
// use.
type Simulation struct {
	clock
	scenario Scenario
	seed     uint64
	rng      *rand.Rand
	events   int
	digest   hash.Hash
	trace    func(line string) // nil: nobody reads it

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

// Run plays a script against a new manager and returns the first violation of a rule, nil where all were kept. The
// trace, unless it is nil, is called with each line of what happens. The same scenario and script give the same run.
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

// newSimulation is a run at its start: all servers are warm and listed, no manager runs.
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

// addServer adds a warm server that is listed ready.
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

// Digest is that of all lines of the trace so far, in hexadecimal.
func (s *Simulation) Digest() string {
	const digestBytes = 16
	return hex.EncodeToString(s.digest.Sum(nil)[:digestBytes])
}

// Steps is how many events were played.
func (s *Simulation) Steps() int { return s.events }

// record adds a line to the trace.
func (s *Simulation) record(format string, values ...any) {
	line := fmt.Sprintf("%9.3f ", s.now.Seconds()) + fmt.Sprintf(format, values...)
	s.digest.Write(append([]byte(line), '\n'))
	if s.trace != nil {
		s.trace(line)
	}
}

// check looks at all rules, ten times a second.
func (s *Simulation) check() {
	s.recordOutage()
	s.updateTraffic()
	s.rules.check()
	s.scheduleAfter(checkInterval, s.check)
}
