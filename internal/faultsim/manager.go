package faultsim

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/versions"
)

// managerEpoch is the wall-clock time at which a run begins. Version identifiers are derived from it.
var managerEpoch = time.Unix(1_790_000_000, 0)

const (
	managerSeedStep    = 7919 // difference between the seeds of consecutive incarnations
	maxUnmergedBacklog = 8    // more waiting batches of commands than this are merged into one
	healthCheckTimeout = 600 * time.Millisecond
	unknownServerLoad  = -1
)

var (
	healthCheckLatency = DurationRange{time.Millisecond, 20 * time.Millisecond}
	reconnectDelay     = DurationRange{50 * time.Millisecond, 1500 * time.Millisecond}
)

// manager holds the running balancer and the rest of the state of its process. A restart replaces everything but the
// endpoint list.
type manager struct {
	balancer     *balancer.Manager
	chain        *versions.Chain
	incarnation  int
	startedAt    time.Duration
	clock        time.Duration // time of the last input, since the manager's start
	stalledUntil time.Duration
	nextTimer    time.Duration // 0: no timer is set
	endpoints    map[balancer.ServerID]listedServer
	backlog      []balancer.Commands // batches waiting to be sent to the relay
	calling      bool                // a call to the relay is in progress
}

// listedServer is a server's entry of the endpoint list as the manager last received it.
type listedServer struct {
	state      balancer.ServerState
	notifiedAt time.Duration // when the manager learned that the server became ready, or stopped being ready
	startedAt  time.Duration
}

// startManager starts a new manager with the last endpoint list, in place of the running one if there is one. Each proxy
// is disconnected and reconnects after a random delay.
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

// resetManager replaces the manager by a new incarnation, and keeps the endpoint list.
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

// skipIfRestarted wraps an action so that it does nothing if the current manager has been replaced by then.
func (s *Simulation) skipIfRestarted(action func()) func() {
	incarnation := s.manager.incarnation
	return func() {
		if s.manager.incarnation == incarnation {
			action()
		}
	}
}

// whenNotStalled runs an action now, or at the end of the manager's stall. A restart before then drops the action.
func (s *Simulation) whenNotStalled(action func()) {
	if s.now >= s.manager.stalledUntil {
		action()
		return
	}
	s.schedule(s.manager.stalledUntil, s.skipIfRestarted(func() { s.whenNotStalled(action) }))
}

// deliver passes an input to the manager and carries out the resulting commands. Inputs wait while the manager is stalled.
func (s *Simulation) deliver(input func(now time.Duration) balancer.Commands) {
	if s.now < s.manager.stalledUntil {
		s.whenNotStalled(func() { s.deliver(input) })
		return
	}
	s.advanceManagerClock()
	s.handleCommands(input(s.manager.clock))
}

// advanceManagerClock advances the manager's clock to the current time, and by at least one nanosecond, so that no two
// inputs have the same time.
func (s *Simulation) advanceManagerClock() {
	s.manager.clock = max(s.manager.clock+1, s.now-s.manager.startedAt)
}

// handleCommands carries out the result of an input: log records, health checks, the manager's timer, and commands for the
// relay.
func (s *Simulation) handleCommands(batch balancer.Commands) {
	for _, logRecord := range batch.LogRecords {
		s.record("note %v", logRecord)
	}
	for _, id := range batch.HealthCheck {
		s.startHealthCheck(id)
	}
	if batch.NextTimer > 0 {
		s.setTimer(s.manager.startedAt + batch.NextTimer)
	}
	if !commands.IsEmpty(batch) {
		s.propose(batch)
	}
}

// startHealthCheck checks a server's health. The manager receives the result after the latency or the timeout of the check.
func (s *Simulation) startHealthCheck(id balancer.ServerID) {
	server := s.serverByID[id]
	result := balancer.HealthCheckPassed
	latency := healthCheckLatency.draw(s.rng)
	switch {
	case server.unresponsive:
		result = balancer.HealthCheckTimedOut
		latency = healthCheckTimeout
	case !server.running:
		result = balancer.HealthCheckUnreachable
	}
	s.scheduleAfter(latency, s.skipIfRestarted(func() {
		s.deliver(func(now time.Duration) balancer.Commands {
			return s.manager.balancer.HandleHealthCheck(now, id, result, latency, unknownServerLoad)
		})
	}))
}

// setTimer sets the manager's timer, unless an earlier one is already set.
func (s *Simulation) setTimer(due time.Duration) {
	if s.manager.nextTimer > s.now && s.manager.nextTimer <= due {
		return
	}
	s.manager.nextTimer = due
	s.schedule(due, s.skipIfRestarted(func() {
		if s.manager.nextTimer == due {
			s.manager.nextTimer = 0
			s.deliver(s.manager.balancer.HandleTimer)
		}
	}))
}

// propose submits commands to the versioned tables, and adds the commands that they accept to the relay's backlog.
func (s *Simulation) propose(batch balancer.Commands) {
	m := &s.manager
	result := m.chain.Propose(m.clock, batch, "", fleetView{m.balancer})
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
	if len(m.backlog) > maxUnmergedBacklog {
		m.backlog = []balancer.Commands{commands.Merge(m.backlog...)}
	}
	s.callNext()
}

// applyPin passes the tables pinned by the operator to the balancer. Without a pin it passes no tables, which ends an
// earlier pin.
func (s *Simulation) applyPin() {
	pin, pinned := s.manager.chain.Pinned()
	if !pinned {
		pin = versions.PinnedTables{}
	}
	s.deliver(func(now time.Duration) balancer.Commands {
		return s.manager.balancer.HandlePin(now, pin.Weights, pin.AdmissionLevels)
	})
}

// fleetView gives the versioned tables access to the balancer's view of the fleet.
type fleetView struct{ balancer *balancer.Manager }

// ServerStatus implements versions.FleetView.
func (v fleetView) ServerStatus(id balancer.ServerID) versions.ServerStatus {
	known, available, warmFraction := v.balancer.ServerStatus(id)
	return versions.ServerStatus{Known: known, Available: available, LastResort: v.balancer.IsLastResort(id), WarmFraction: warmFraction}
}

// RequestRate implements versions.FleetView.
func (v fleetView) RequestRate(id balancer.TableID) float64 { return v.balancer.RequestRate(id) }

// ReadyServers implements versions.FleetView.
func (v fleetView) ReadyServers() (all, warm int) { return v.balancer.ReadyServers() }
