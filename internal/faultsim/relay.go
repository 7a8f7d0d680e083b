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
	lostResponseFraction = 0.6 // of the calls while responses are lost
	executedFraction     = 0.5 // of the calls without a response: these were carried out
)

// callBackoff is the pause before a call is repeated, or before the rest of a split call goes out.
var callBackoff = DurationRange{50 * time.Millisecond, 200 * time.Millisecond}

// relay is the state of the relay between the manager and the proxies.
type relay struct {
	tables    map[balancer.TableID]map[balancer.ServerID]float64
	withdrawn map[balancer.ServerID]bool
	// unacknowledged holds the commands of the last call, by description, where it was carried out without a response:
	// these may come once more, and must then change nothing.
	unacknowledged map[string]bool
}

func newRelay() relay {
	return relay{
		tables:         map[balancer.TableID]map[balancer.ServerID]float64{},
		withdrawn:      map[balancer.ServerID]bool{},
		unacknowledged: map[string]bool{},
	}
}

// reset forgets all that an earlier manager commanded.
func (r *relay) reset() {
	clear(r.tables)
	clear(r.withdrawn)
	clear(r.unacknowledged)
}

// setWeight changes a server's weight in a table; 0 removes it.
func (r *relay) setWeight(w balancer.EndpointWeight) {
	table := r.tables[w.Table]
	if table == nil {
		table = map[balancer.ServerID]float64{}
		r.tables[w.Table] = table
	}
	setWeight(table, w.Server, w.Weight)
}

func setWeight(weights map[balancer.ServerID]float64, server balancer.ServerID, weight float64) {
	if weight == 0 {
		delete(weights, server)
		return
	}
	weights[server] = weight
}

// callNext begins the next call to the relay; they go one after another.
func (s *Simulation) callNext() {
	m := &s.manager
	if m.calling || len(m.backlog) == 0 {
		return
	}
	next := m.backlog[0]
	m.backlog = m.backlog[1:]
	s.call(next, balancer.Commands{})
}

// call sends commands to the relay. The rest waits for a call of its own, since it did not fit into this one.
func (s *Simulation) call(batch, rest balancer.Commands) {
	s.manager.calling = true
	backoff := callBackoff.draw(s.rng)
	retryAfter := func(delay time.Duration, executed bool) {
		s.scheduleAfter(delay, s.unlessRestarted(func() { s.resend(batch, rest, executed) }))
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
		s.scheduleAfter(callLatency, s.unlessRestarted(func() { s.finishCall(batch.Barrier, rest, backoff) }))
	}
}

// finishCall takes the relay's response.
func (s *Simulation) finishCall(barrier balancer.BarrierID, rest balancer.Commands, backoff time.Duration) {
	m := &s.manager
	m.balancer.HandleCommandsSent(m.clock, barrier)
	m.chain.HandleBarrierAck(m.clock, barrier)
	if rest.Count() > 0 {
		s.scheduleAfter(backoff, s.unlessRestarted(func() { s.resend(balancer.Commands{}, rest, false) }))
		return
	}
	m.calling = false
	s.callNext()
}

// resend asks the manager which commands may go out now: those of a call that failed, those that did not fit into it,
// and all that came meanwhile. Executed says that the relay may have carried out the failed call.
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

// message is what one call sends to one proxy.
type message struct {
	changes []func(*proxy)
	size    float64 // in commands, as the channel counts them
}

// execution is the relay's work on one call.
type execution struct {
	simulation *Simulation
	previous   map[string]bool // commands of the call before that got no response
	unanswered bool            // this call gets none either
	messages   map[*proxy]message
}

// execute lets the relay carry out a call: it changes its tables and sends each proxy concerned a message.
func (s *Simulation) execute(batch balancer.Commands, unanswered bool) {
	e := &execution{
		simulation: s,
		previous:   s.relay.unacknowledged,
		unanswered: unanswered,
		messages:   map[*proxy]message{},
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
	s.rules.checkQueue(s.channel.queued)
}

// begin records a command. One that is repeated after a call without a response must not change anything.
func (e *execution) begin(command string, changes bool) {
	s := e.simulation
	if e.previous[command] && changes {
		s.rules.fail(RuleNoRepeatedEffect, command, "carried out again after a call without an answer, and it changed something")
	}
	if e.unanswered {
		s.relay.unacknowledged[command] = true
	}
	s.record("order %s", command)
}

// addChange adds a change of a size in commands to the message to a proxy.
func (e *execution) addChange(p *proxy, size float64, change func(*proxy)) {
	m := e.messages[p]
	m.changes = append(m.changes, change)
	m.size += size
	e.messages[p] = m
}

// setWithdrawn withdraws a server from all tables, or restores it. All assigned proxies get it; it costs a command for
// those whose table has the server.
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

func (e *execution) setWeight(w balancer.EndpointWeight) {
	relay := &e.simulation.relay
	e.begin(fmt.Sprintf("line %d %s %v", w.Table, w.Server, w.Weight), relay.tables[w.Table][w.Server] != w.Weight)
	relay.setWeight(w)
	e.addChangeOfTable(w.Table, func(p *proxy) { setWeight(p.weights, w.Server, w.Weight) })
}

func (e *execution) setAdmissionLevel(level balancer.AdmissionLevel) {
	const nonIdempotentClass = 1 << 1 // the second class of Scenario.Settings, in a mask of classes
	description := fmt.Sprintf("{%d %d %v %d}", level.Table, level.Classes, level.Amount, level.Retry)
	e.begin("level "+description, false)
	if level.Classes&nonIdempotentClass != 0 && level.Retry > balancer.RetryIfNotExecuted {
		e.simulation.rules.fail(RuleNoRepeatedEffect, description, "further tries for a group that must not run twice")
	}
	e.addChangeOfTable(level.Table, func(*proxy) {}) // requests are not simulated one by one: nothing is shed
}

// addChangeOfTable adds a change of one command to the messages to all proxies of a table.
func (e *execution) addChangeOfTable(table balancer.TableID, change func(*proxy)) {
	for _, p := range e.simulation.proxies {
		if p.connected && p.assigned && p.table == table {
			e.addChange(p, 1, change)
		}
	}
}

// assign gives a proxy a table, which the message holds complete.
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
	e.addChange(p, float64(size), func(p *proxy) {
		p.weights = weights
		p.withdrawn = withdrawn
	})
}

// send puts the messages into the channel. Those that cost nothing carry no barrier.
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
