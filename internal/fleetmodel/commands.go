package fleetmodel

import (
	"time"

	"tamarindshore/balancer"
)

const (
	minAckDelay              = 100 * time.Millisecond // minimum time from a command to a proxy's acknowledgement
	ackDelaySpread           = 200 * time.Millisecond
	minHealthCheckLatency    = 2 * time.Millisecond
	healthCheckLatencySpread = 10 * time.Millisecond
	maxAcksPerBarrier        = 4 // more acknowledgements of a barrier tell the manager nothing new
	unknownLoad              = -1
	firstClassMask           = 1 // mask that contains only the first traffic class
)

// deliver passes an input to the manager and carries out the resulting commands.
func (f *Fleet) deliver(input input) {
	began := time.Now()
	commands := input(f.now)
	f.ManagerTime += time.Since(began)
	f.InputCount++
	f.OnCommands(f.now, commands)
	f.apply(commands)
	if commands.Barrier > 0 {
		f.acknowledge(commands)
	}
	for _, id := range commands.HealthCheck {
		f.checkHealth(id)
	}
	if commands.NextTimer > 0 {
		f.setTimer(commands.NextTimer)
	}
}

// apply changes the tables and assignments as the relay would.
func (f *Fleet) apply(commands balancer.Commands) {
	for _, id := range commands.Withdraw {
		f.serverByID[id].withdrawn = true
	}
	for _, w := range commands.Weights {
		f.setWeight(w)
	}
	for _, level := range commands.AdmissionLevels {
		if f.admission[level.Table] == nil {
			f.admission[level.Table] = map[uint]float64{}
		}
		f.admission[level.Table][level.Classes] = level.Amount
	}
	for _, id := range commands.Restore {
		f.serverByID[id].withdrawn = false
	}
	for _, a := range commands.Assign {
		p := f.proxies[a.Proxy]
		p.assigned = true
		p.table = a.Table
	}
}

// setWeight sets a server's weight in a table; 0 removes the server.
func (f *Fleet) setWeight(w balancer.EndpointWeight) {
	table := f.weights[w.Table]
	if table == nil {
		table = map[balancer.ServerID]float64{}
		f.weights[w.Table] = table
	}
	if w.Weight == 0 {
		delete(table, w.Server)
		return
	}
	table[w.Server] = w.Weight
}

// acknowledge schedules acknowledgements of the commands' barrier by some of the proxies that received it.
func (f *Fleet) acknowledge(commands balancer.Commands) {
	f.Manager.HandleCommandsSent(f.now, commands.Barrier)
	for _, id := range f.recipients(commands) {
		f.scheduleAfter(minAckDelay+f.drawDuration(ackDelaySpread), func(now time.Duration) balancer.Commands {
			return f.Manager.HandleBarrierAck(now, id, commands.Barrier)
		})
	}
}

// recipients returns up to maxAcksPerBarrier of the proxies that the commands went to.
func (f *Fleet) recipients(commands balancer.Commands) []balancer.ProxyID {
	var recipients []balancer.ProxyID
	for _, a := range commands.Assign {
		recipients = append(recipients, a.Proxy)
		if len(recipients) == maxAcksPerBarrier {
			return recipients
		}
	}
	if len(commands.Weights) == 0 {
		return recipients
	}
	table := commands.Weights[0].Table
	for i, p := range f.proxies {
		if len(recipients) == maxAcksPerBarrier {
			break
		}
		if p.assigned && !p.disconnected && p.table == table {
			recipients = append(recipients, balancer.ProxyID(i))
		}
	}
	return recipients
}

// checkHealth schedules the result of a health check. Checks of removed servers time out.
func (f *Fleet) checkHealth(id balancer.ServerID) {
	result := balancer.HealthCheckPassed
	latency := minHealthCheckLatency + f.drawDuration(healthCheckLatencySpread)
	if f.serverByID[id].state == balancer.Removed {
		result = balancer.HealthCheckTimedOut
	}
	f.scheduleAfter(latency, func(now time.Duration) balancer.Commands {
		return f.Manager.HandleHealthCheck(now, id, result, latency, unknownLoad)
	})
}

// drawDuration draws a duration from 0 up to the limit, which is excluded.
func (f *Fleet) drawDuration(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(limit))
}
