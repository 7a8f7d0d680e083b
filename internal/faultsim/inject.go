package faultsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarindshore/balancer"
)

// activeFaults counts the faults in progress, by kind. They are counters because faults of one kind may overlap.
type activeFaults struct {
	reportsLost      int
	relayUnreachable int
	responsesLost    int
	duplicateReports int
	partitionedZones []int
	extraListDelay   time.Duration
}

const (
	slowServerFactor      = 5.0 // factor on the service time
	slowChannelFactor     = 3.0 // divides the channel's speed
	serverErrorFraction   = 0.7
	drainDuration         = 5 * time.Second // from the announcement to the end of the server process
	restartAfterDrain     = time.Second
	maxStall              = 2 * time.Second
	extraListDelay        = 4 * time.Second
	reconnectPerFraction  = 2 // the fraction of proxies that reconnect, as a multiple of Fault.Fraction
	minReconnectMillis    = 200
	reconnectSpreadMillis = 1500
)

// injectors holds the function that begins a fault and schedules its end, by kind.
var injectors = [...]func(*Simulation, Fault){
	Crash:               (*Simulation).injectCrash,
	Unresponsive:        (*Simulation).injectUnresponsive,
	SlowServers:         (*Simulation).injectSlowServers,
	ServerErrors:        (*Simulation).injectServerErrors,
	Drain:               (*Simulation).injectDrain,
	ZoneOutage:          (*Simulation).injectZoneOutage,
	ZonePartition:       (*Simulation).injectZonePartition,
	ReportsLost:         func(s *Simulation, f Fault) { s.countDuring(f, &s.faults.reportsLost) },
	RelayUnreachable:    func(s *Simulation, f Fault) { s.countDuring(f, &s.faults.relayUnreachable) },
	ResponsesLost:       func(s *Simulation, f Fault) { s.countDuring(f, &s.faults.responsesLost) },
	SlowChannel:         (*Simulation).injectSlowChannel,
	ManagerRestart:      func(s *Simulation, _ Fault) { s.startManager() },
	ManagerStall:        (*Simulation).injectManagerStall,
	ProxyReconnect:      (*Simulation).injectProxyReconnect,
	WrongEndpointList:   (*Simulation).injectWrongEndpointList,
	DuplicateReports:    func(s *Simulation, f Fault) { s.countDuring(f, &s.faults.duplicateReports) },
	DelayedEndpointList: (*Simulation).injectDelayedEndpointList,
	Rollback:            (*Simulation).injectRollback,
}

// inject begins a fault.
func (s *Simulation) inject(f Fault) {
	s.record("fault %s for %v part %.2f", f.Kind, f.Duration, f.Fraction)
	injectors[f.Kind](s, f)
}

// countDuring increments a counter of active faults for the duration of a fault.
func (s *Simulation) countDuring(f Fault, active *int) {
	*active++
	s.scheduleAfter(f.Duration, func() { *active-- })
}

// forTargets calls begin for each target server of a fault now, and end after the fault's duration.
func (s *Simulation) forTargets(f Fault, begin, end func(*server)) {
	for _, server := range s.targets(f) {
		begin(server)
		s.scheduleAfter(f.Duration, func() { end(server) })
	}
}

// targets draws the servers that a fault affects, at least one, from the fault's own seed.
func (s *Simulation) targets(f Fault) []*server {
	rng := rand.New(rand.NewPCG(f.TargetSeed, targetStream))
	order := rng.Perm(len(s.servers))
	count := max(1, int(f.Fraction*float64(len(order))))
	var targets []*server
	for _, i := range order[:count] {
		targets = append(targets, s.servers[i])
	}
	return targets
}

// targetZone returns the zone that a zone fault affects.
func (s *Simulation) targetZone(f Fault) int { return int(f.TargetSeed) % s.scenario.Zones }

func (s *Simulation) injectCrash(f Fault) { s.forTargets(f, s.stopServer, s.startServer) }

func (s *Simulation) injectUnresponsive(f Fault) {
	s.forTargets(f,
		func(server *server) { server.unresponsive = true },
		func(server *server) { server.unresponsive = false })
}

func (s *Simulation) injectSlowServers(f Fault) {
	s.forTargets(f,
		func(server *server) { server.slowdown *= slowServerFactor },
		func(server *server) { server.slowdown /= slowServerFactor })
}

func (s *Simulation) injectServerErrors(f Fault) {
	s.forTargets(f,
		func(server *server) { server.errorFraction = serverErrorFraction },
		func(server *server) { server.errorFraction = 0 })
}

// injectDrain drains servers as in a rolling restart: each is announced as draining, stopped, and started again.
func (s *Simulation) injectDrain(f Fault) {
	begin := func(server *server) {
		s.announce(server, balancer.Draining)
		s.scheduleAfter(drainDuration, func() { s.stopServer(server) })
	}
	end := func(server *server) {
		s.scheduleAfter(drainDuration+restartAfterDrain, func() { s.startServer(server) })
	}
	s.forTargets(f, begin, end)
}

// injectZoneOutage stops all servers of a zone, and starts them again at the end of the fault.
func (s *Simulation) injectZoneOutage(f Fault) {
	zone := s.targetZone(f)
	for _, server := range s.servers {
		if server.zone == zone {
			s.stopServer(server)
			s.scheduleAfter(f.Duration, func() { s.startServer(server) })
		}
	}
}

func (s *Simulation) injectZonePartition(f Fault) {
	s.countDuring(f, &s.faults.partitionedZones[s.targetZone(f)])
}

func (s *Simulation) injectSlowChannel(f Fault) {
	s.advanceChannel(s.channel.speed / slowChannelFactor)
	s.scheduleAfter(f.Duration, func() { s.advanceChannel(s.channel.speed * slowChannelFactor) })
}

// injectManagerStall suspends the manager for a time, like a stopped process.
func (s *Simulation) injectManagerStall(f Fault) {
	end := s.now + min(f.Duration, maxStall)
	s.manager.stalledUntil = max(s.manager.stalledUntil, end)
}

// injectProxyReconnect disconnects proxies; each reconnects after its own random delay.
func (s *Simulation) injectProxyReconnect(f Fault) {
	rng := rand.New(rand.NewPCG(f.TargetSeed, reconnectStream))
	for _, p := range s.proxies {
		if rng.Float64() >= f.Fraction*reconnectPerFraction {
			continue
		}
		s.disconnect(p, true)
		delay := time.Duration(minReconnectMillis+rng.IntN(reconnectSpreadMillis)) * time.Millisecond
		s.scheduleAfter(delay, func() { s.connect(p) })
	}
}

// injectWrongEndpointList announces running servers as removed, and as ready again at the end of the fault.
func (s *Simulation) injectWrongEndpointList(f Fault) {
	s.forTargets(f,
		func(server *server) { s.announce(server, balancer.Removed) },
		func(server *server) {
			if server.running {
				s.announce(server, balancer.Ready)
			}
		})
}

func (s *Simulation) injectDelayedEndpointList(f Fault) {
	s.faults.extraListDelay += extraListDelay
	s.scheduleAfter(f.Duration, func() { s.faults.extraListDelay -= extraListDelay })
}

// injectRollback rolls the tables back to an older version, as an operator would, and holds them there for a second longer
// than the fault's duration.
func (s *Simulation) injectRollback(f Fault) {
	m := &s.manager
	kept := m.chain.Versions()
	if len(kept) == 0 || s.now < m.stalledUntil {
		return
	}
	target := kept[len(kept)/2].ID
	key := fmt.Sprint(f.TargetSeed)
	_, _, err := m.chain.RollBack(m.clock, target, key, f.Duration+time.Second, fleetView{m.balancer})
	s.record("rollback %v", err)
	s.applyPin()
}
