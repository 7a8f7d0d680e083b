package faultsim

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/versions"
)

// managerEpoch is the wall-clock time at which a run begins, for the identifiers of versions.
var managerEpoch = time.Unix(1_790_000_000, 0)

const (
	managerSeedStep    = 7919 // between the seeds of two incarnations
	mergeBacklogFrom   = 8    // commands that wait are merged once there are more of them
	healthCheckTimeout = 600 * time.Millisecond
	unknownServerLoad  = -1
)

var (
	healthCheckLatency = DurationRange{time.Millisecond, 20 * time.Millisecond}
	reconnectDelay     = DurationRange{50 * time.Millisecond, 1500 * time.Millisecond}
)

// manager is the running manager and what surrounds it in its process. A restart replaces all but the endpoint list.
type manager struct {
	balancer     *balancer.Manager
	chain        *versions.Chain
	incarnation  int
	startedAt    time.Duration
	clock        time.Duration // of the last input, since the manager's start
	stalledUntil time.Duration
	nextTimer    time.Duration // 0: none is set
	endpoints    map[balancer.ServerID]listedServer
	backlog      []balancer.Commands // that wait for the relay
	calling      bool                // a call to the relay is in progress
}

// listedServer is a server's last entry of the endpoint list, as the manager got it.
type listedServer struct {
	state      balancer.ServerState
	notifiedAt time.Duration // when the manager was notified that the server is ready, or that it is not
	startedAt  time.Duration
}

// startManager starts a manager, in place of one that runs, with the endpoint list as it was last. The proxies reconnect
// to it one after another.
func (s *Simulation) startManager() {
	s.resetManager()
	s.relay.reset()
	s.channel.reset(s.now)
	var endpoints []balancer.Endpoint
	for _, server := range s.servers {
		endpoints = append(endpoints, s.endpoint(server, s.manager.endpoints[server.id]))
	}
	s.record("manager %d starts", s.manager.incarnation)
	s.deliver(func(now time.Duration) balancer.Commands {
		return s.manager.balancer.HandleEndpointList(now, true, endpoints)
	})
	for _, proxy := range s.proxies {
		s.disconnect(proxy, false)
		s.scheduleAfter(reconnectDelay.draw(s.rng), func() { s.connect(proxy) })
	}
}

// resetManager replaces the manager by a new incarnation, which knows the endpoint list.
func (s *Simulation) resetManager() {
	incarnation := s.manager.incarnation + 1
	settings := versions.DefaultSettings(uint64(incarnation))
	settings.StartedAt = managerEpoch.Add(s.now)
	s.manager = manager{
		balancer:    balancer.New(s.seed+uint64(incarnation)*managerSeedStep, s.scenario.Settings()),
		chain:       versions.New(settings),
		incarnation: incarnation,
		startedAt:   s.now,
		endpoints:   s.manager.endpoints,
	}
}

// unlessRestarted wraps an action so that it does nothing once the manager of now has been replaced.
func (s *Simulation) unlessRestarted(action func()) func() {
	incarnation := s.manager.incarnation
	return func() {
		if s.manager.incarnation == incarnation {
			action()
		}
	}
}

// whenNotStalled runs an action now, or at the end of the manager's stall. A restart meanwhile drops it.
func (s *Simulation) whenNotStalled(action func()) {
	if s.now >= s.manager.stalledUntil {
		action()
		return
	}
	s.schedule(s.manager.stalledUntil, s.unlessRestarted(func() { s.whenNotStalled(action) }))
}

// deliver gives the manager one input, and carries out what it answers.
func (s *Simulation) deliver(input func(now time.Duration) balancer.Commands) {
	if s.now < s.manager.stalledUntil {
		s.whenNotStalled(func() { s.deliver(input) })
		return
	}
	s.advanceManagerClock()
	s.handleCommands(input(s.manager.clock))
}

// advanceManagerClock moves the manager's clock on to now; it never shows a time twice.
func (s *Simulation) advanceManagerClock() {
	s.manager.clock = max(s.manager.clock+1, s.now-s.manager.startedAt)
}

// handleCommands carries out what the manager wants: health checks, its timer, and commands to proxies.
func (s *Simulation) handleCommands(wanted balancer.Commands) {
	for _, logRecord := range wanted.LogRecords {
		s.record("note %v", logRecord)
	}
	for _, id := range wanted.HealthCheck {
		s.startHealthCheck(id)
	}
	if wanted.NextTimer > 0 {
		s.setTimer(s.manager.startedAt + wanted.NextTimer)
	}
	if !commands.IsEmpty(wanted) {
		s.propose(wanted)
	}
}

// startHealthCheck checks a server; the manager gets the result after the check's latency, or its timeout.
func (s *Simulation) startHealthCheck(id balancer.ServerID) {
	server := s.serverByID[id]
	result := balancer.HealthCheckPassed
	took := healthCheckLatency.draw(s.rng)
	switch {
	case server.unresponsive:
		result = balancer.HealthCheckTimedOut
		took = healthCheckTimeout
	case !server.running:
		result = balancer.HealthCheckUnreachable
	}
	s.scheduleAfter(took, s.unlessRestarted(func() {
		s.deliver(func(now time.Duration) balancer.Commands {
			return s.manager.balancer.HandleHealthCheck(now, id, result, took, unknownServerLoad)
		})
	}))
}

// setTimer sets the manager's timer, unless it goes off earlier anyway.
func (s *Simulation) setTimer(due time.Duration) {
	if s.manager.nextTimer > s.now && s.manager.nextTimer <= due {
		return
	}
	s.manager.nextTimer = due
	s.schedule(due, s.unlessRestarted(func() {
		if s.manager.nextTimer == due {
			s.manager.nextTimer = 0
			s.deliver(s.manager.balancer.HandleTimer)
		}
	}))
}

// propose puts commands through the checks of the versioned tables, and what these let pass into the relay's backlog.
func (s *Simulation) propose(wanted balancer.Commands) {
	m := &s.manager
	result := m.chain.Propose(m.clock, wanted, "", fleetView{m.balancer})
	for _, logRecord := range result.LogRecords {
		s.record("version %v", logRecord)
	}
	if result.Modified {
		current := m.chain.CurrentTables()
		state := m.chain.State()
		isWithdrawn := func(server balancer.ServerID) bool { return state.IsWithdrawn(string(server)) }
		m.balancer.HandleTablesReset(m.clock, current.Weights, current.AdmissionLevels, isWithdrawn)
	}
	if commands.IsEmpty(result.Commands) {
		return
	}
	m.backlog = append(m.backlog, result.Commands)
	if len(m.backlog) > mergeBacklogFrom {
		m.backlog = []balancer.Commands{commands.Merge(m.backlog...)}
	}
	s.callNext()
}

// applyPin delivers the tables that the operator pinned, or none.
func (s *Simulation) applyPin() {
	pin, pinned := s.manager.chain.Pinned()
	if !pinned {
		pin = versions.PinnedTables{}
	}
	s.deliver(func(now time.Duration) balancer.Commands {
		return s.manager.balancer.HandlePin(now, pin.Weights, pin.AdmissionLevels)
	})
}

// fleetView shows the versioned tables what the manager knows of its fleet.
type fleetView struct{ balancer *balancer.Manager }

// ServerStatus implements versions.FleetView.
func (v fleetView) ServerStatus(id balancer.ServerID) versions.ServerStatus {
	known, available, warmFraction := v.balancer.ServerStatus(id)
	return versions.ServerStatus{Known: known, Available: available, WarmFraction: warmFraction}
}

// RequestRate implements versions.FleetView.
func (v fleetView) RequestRate(id balancer.TableID) float64 { return v.balancer.RequestRate(id) }

// ReadyServers implements versions.FleetView.
func (v fleetView) ReadyServers() (all, warm int) { return v.balancer.ReadyServers() }
