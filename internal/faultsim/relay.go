package faultsim

import (
	"fmt"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
)

const (
	callLatency          = 3 * time.Millisecond
	callTimeout          = 60 * time.Millisecond
	lostResponseFraction = 0.6 // fraction of calls that get no response while responses are lost
	executedFraction     = 0.5 // fraction of calls without a response that were executed nevertheless
)

// callBackoff is the pause before a call to an unreachable relay is retried, or before the rest of a split call is sent.
var callBackoff = DurationRange{50 * time.Millisecond, 200 * time.Millisecond}

// relay holds the state of the relay between the manager and the proxies.
type relay struct {
	tables    map[balancer.TableID]map[balancer.ServerID]float64
	shed      map[balancer.TableID]shedFractions
	withdrawn map[balancer.ServerID]bool
	// unacknowledged holds descriptions of the commands of the last call if the call was executed without a response.
	// The manager may send these commands again; the repetition must not change anything.
	unacknowledged map[string]bool
}

// newRelay returns a relay without tables.
func newRelay() relay {
	return relay{
		tables:         map[balancer.TableID]map[balancer.ServerID]float64{},
		shed:           map[balancer.TableID]shedFractions{},
		withdrawn:      map[balancer.ServerID]bool{},
		unacknowledged: map[string]bool{},
	}
}

// reset discards the state that an earlier manager set.
func (r *relay) reset() {
	clear(r.tables)
	clear(r.shed)
	clear(r.withdrawn)
	clear(r.unacknowledged)
}

// setWeight sets a server's weight in a table; 0 removes the server.
func (r *relay) setWeight(w balancer.EndpointWeight) {
	table := r.tables[w.Table]
	if table == nil {
		table = map[balancer.ServerID]float64{}
		r.tables[w.Table] = table
	}
	setWeight(table, w.Server, w.Weight)
}

// setWeight sets a server's weight in the weights of one table; 0 removes the server.
func setWeight(weights map[balancer.ServerID]float64, server balancer.ServerID, weight float64) {
	if weight == 0 {
		delete(weights, server)
		return
	}
	weights[server] = weight
}

// callNext sends the next batch of the backlog to the relay, unless a call is in progress.
func (s *Simulation) callNext() {
	m := &s.manager
	if m.calling || len(m.backlog) == 0 {
		return
	}
	next := m.backlog[0]
	m.backlog = m.backlog[1:]
	s.call(next, balancer.Commands{})
}

// call sends a batch of commands to the relay. The rest did not fit into the batch and is sent after it.
func (s *Simulation) call(batch, rest balancer.Commands) {
	s.manager.calling = true
	backoff := callBackoff.draw(s.rng)
	retryAfter := func(delay time.Duration, executed bool) {
		s.scheduleAfter(delay, s.skipIfRestarted(func() { s.resend(batch, rest, executed) }))
	}
	switch {
	case s.faults.relayUnreachable > 0:
		retryAfter(backoff, false)
	case s.faults.responsesLost > 0 && s.rng.Float64() < lostResponseFraction:
		if s.rng.Float64() < executedFraction {
			s.execute(batch, true)
		}
		retryAfter(callTimeout, true)
	default:
		s.execute(batch, false)
		s.scheduleAfter(callLatency, s.skipIfRestarted(func() { s.finishCall(batch.Barrier, rest, backoff) }))
	}
}

// finishCall handles the relay's response: it sends the rest of a split call, or the next batch of the backlog.
func (s *Simulation) finishCall(barrier balancer.BarrierID, rest balancer.Commands, backoff time.Duration) {
	m := &s.manager
	m.balancer.HandleCommandsSent(m.clock, barrier)
	m.chain.HandleBarrierAck(m.clock, barrier)
	if rest.Count() > 0 {
		s.scheduleAfter(backoff, s.skipIfRestarted(func() { s.resend(balancer.Commands{}, rest, false) }))
		return
	}
	m.calling = false
	s.callNext()
}

// resend asks the balancer which commands may be sent now. The candidates are the commands of a failed call, those that
// did not fit into it, and the backlog. executed means that the relay may have executed the failed call.
func (s *Simulation) resend(failed, rest balancer.Commands, executed bool) {
	s.whenNotStalled(func() {
		m := &s.manager
		waiting := append([]balancer.Commands{commands.Merge(failed, rest)}, m.backlog...)
		all := commands.Merge(waiting...)
		m.backlog = nil
		all.Assign = slices.DeleteFunc(slices.Clone(all.Assign), func(a balancer.TableAssignment) bool {
			return !s.proxies[a.Proxy].connected
		})
		s.advanceManagerClock()
		count, barrier := m.balancer.Resend(m.clock, failed.Barrier, executed, all)
		s.call(commands.KeepFirst(all, count, barrier), commands.SkipFirst(all, count))
	})
}

// message holds the changes that one call sends to one proxy.
type message struct {
	changes []func(*proxy)
	size    float64 // in commands
}

// execution is the state of the relay while it executes one call.
type execution struct {
	simulation     *Simulation
	unacknowledged map[string]bool // commands of the previous call if it got no response
	responseLost   bool            // this call gets no response
	messages       map[*proxy]message
}

// execute makes the relay execute a call: it changes its tables and sends a message to each affected proxy.
func (s *Simulation) execute(batch balancer.Commands, responseLost bool) {
	e := &execution{
		simulation:     s,
		unacknowledged: s.relay.unacknowledged,
		responseLost:   responseLost,
		messages:       map[*proxy]message{},
	}
	s.relay.unacknowledged = map[string]bool{}
	for _, server := range batch.Withdraw {
		e.setWithdrawn(server, true)
	}
	for _, weight := range batch.Weights {
		e.setWeight(weight)
	}
	for _, level := range batch.AdmissionLevels {
		e.setAdmissionLevel(level)
	}
	for _, server := range batch.Restore {
		e.setWithdrawn(server, false)
	}
	for _, assignment := range batch.Assign {
		e.assign(assignment)
	}
	e.send(batch.Barrier)
	s.rules.checkQueue(s.channel.queuedCommands)
}

// begin records a command. A command repeated after a call without a response must not change anything.
func (e *execution) begin(command string, changes bool) {
	s := e.simulation
	if e.unacknowledged[command] && changes {
		s.rules.fail(RuleNoRepeatedEffect, command, "carried out again after a call without an answer, and it changed something")
	}
	if e.responseLost {
		s.relay.unacknowledged[command] = true
	}
	s.record("order %s", command)
}

// addChange adds a change to the message for a proxy; size is in commands.
func (e *execution) addChange(p *proxy, size float64, change func(*proxy)) {
	m := e.messages[p]
	m.changes = append(m.changes, change)
	m.size += size
	e.messages[p] = m
}

// setWithdrawn withdraws a server from all tables, or restores it. The change goes to all assigned proxies. Its size is
// one command for proxies whose table has the server, and 0 for the others.
func (e *execution) setWithdrawn(server balancer.ServerID, withdrawn bool) {
	relay := &e.simulation.relay
	e.begin(fmt.Sprintf("pull %s %t", server, withdrawn), relay.withdrawn[server] != withdrawn)
	relay.withdrawn[server] = withdrawn
	change := func(p *proxy) {
		if withdrawn {
			p.withdrawn[server] = true
		} else {
			delete(p.withdrawn, server)
		}
	}
	for _, p := range e.simulation.proxies {
		if !p.connected || !p.assigned {
			continue
		}
		size := 0.0
		if relay.tables[p.table][server] > 0 {
			size = 1
		}
		e.addChange(p, size, change)
	}
}

// setWeight sets a server's weight in a table, and sends the change to the proxies of the table.
func (e *execution) setWeight(w balancer.EndpointWeight) {
	relay := &e.simulation.relay
	e.begin(fmt.Sprintf("line %d %s %v", w.Table, w.Server, w.Weight), relay.tables[w.Table][w.Server] != w.Weight)
	relay.setWeight(w)
	e.addChangeOfTable(w.Table, func(p *proxy) { setWeight(p.weights, w.Server, w.Weight) })
}

// setAdmissionLevel sends an admission limit to the proxies of its table, and checks its retry policy.
func (e *execution) setAdmissionLevel(level balancer.AdmissionLevel) {
	const nonIdempotentClass = 1 << 1 // bit of the second traffic class of Scenario.Settings
	description := fmt.Sprintf("{%d %d %v %d}", level.Table, level.Classes, level.Amount, level.Retry)
	e.begin("level "+description, false)
	if level.Classes&nonIdempotentClass != 0 && level.Retry > balancer.RetryIfNotExecuted {
		e.simulation.rules.fail(RuleNoRepeatedEffect, description, "further tries for a group that must not run twice")
	}
	shed := e.simulation.relay.shed
	shed[level.Table] = shed[level.Table].with(level)
	e.addChangeOfTable(level.Table, func(p *proxy) { p.shed = p.shed.with(level) })
}

// addChangeOfTable adds a change with the size of one command to the messages for all proxies of a table.
func (e *execution) addChangeOfTable(table balancer.TableID, change func(*proxy)) {
	for _, p := range e.simulation.proxies {
		if p.connected && p.assigned && p.table == table {
			e.addChange(p, 1, change)
		}
	}
}

// assign assigns a table to a proxy and sends it the complete table.
func (e *execution) assign(a balancer.TableAssignment) {
	s := e.simulation
	p := s.proxies[a.Proxy]
	if !p.connected {
		return
	}
	e.begin(fmt.Sprintf("bind {%d %d %d}", a.Proxy, a.Table, a.Classes), false)
	p.assigned = true
	p.table = a.Table
	weights := map[balancer.ServerID]float64{}
	size := 1
	for server, weight := range s.relay.tables[a.Table] {
		weights[server] = weight
		size++
		if s.relay.withdrawn[server] {
			size++
		}
	}
	withdrawn := map[balancer.ServerID]bool{}
	for server, isWithdrawn := range s.relay.withdrawn {
		if isWithdrawn {
			withdrawn[server] = true
		}
	}
	shed := s.relay.shed[a.Table]
	e.addChange(p, float64(size), func(p *proxy) {
		p.weights = weights
		p.shed = shed
		p.withdrawn = withdrawn
	})
}

// send queues the messages in the channel. Messages of size 0 carry no barrier.
func (e *execution) send(barrier balancer.BarrierID) {
	for _, p := range e.simulation.proxies {
		m, concerned := e.messages[p]
		switch {
		case !concerned:
		case m.size > 0:
			e.simulation.send(p, m.changes, m.size+messageOverhead, barrier)
		default:
			e.simulation.send(p, m.changes, 0, 0)
		}
	}
}
