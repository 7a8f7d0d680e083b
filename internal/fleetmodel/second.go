package fleetmodel

import (
	"time"

	"tamarindshore/balancer"
)

// PlaySecond plays second n of a run with the given total number of seconds. First, servers restart or become slow. Then
// each zone reports on each server and each proxy reports its usage, spread evenly over the second. Finally, proxies
// disconnect or reconnect.
func (f *Fleet) PlaySecond(n, seconds int) {
	requestRate := f.Scenario.RequestRate
	if f.Scenario.SurgeFactor > 0 && n > seconds/3 {
		requestRate *= f.Scenario.SurgeFactor
	}
	f.rollingRestart(n)
	if n == seconds/3 {
		f.slowDownServers()
	}
	f.updateTraffic(requestRate)
	start := f.now
	reports := f.Scenario.Servers*f.Scenario.Zones + f.Scenario.Proxies*len(ClassFractions)
	schedule := &reportSchedule{fleet: f, start: start, step: time.Second / time.Duration(reports+1)}
	for _, s := range f.servers {
		f.reportLoad(s, schedule)
	}
	for i := range f.proxies {
		f.reportUsage(i, requestRate, schedule)
	}
	f.churnProxies()
	f.playUntil(start + time.Second)
}

// slowDownServers makes the scenario's fraction of the servers slow.
func (f *Fleet) slowDownServers() {
	const stride = 7 // spreads the slow servers over the zones
	for i := range int(f.Scenario.SlowFraction * float64(f.Scenario.Servers)) {
		f.servers[i*stride%f.Scenario.Servers].slow = true
	}
}

// rollingRestart moves some servers to their next state in each second after second 2: ready servers drain, draining ones
// are removed, and removed ones restart as new processes. A restart that has begun continues at random.
func (f *Fleet) rollingRestart(n int) {
	limit := int(f.Scenario.DrainFraction * float64(f.Scenario.Servers))
	if limit == 0 || n <= 2 {
		return
	}
	for i := range max(1, limit/5) {
		s := f.servers[(n*7+i*13)%f.Scenario.Servers]
		f.setState(s, nextState(s.state))
	}
	for _, s := range f.servers {
		if s.state != balancer.Ready && f.rng.Float64() < 0.3 {
			f.setState(s, nextState(s.state))
		}
	}
}

// nextState returns the state that follows in a restart: ready, draining, removed, and ready again.
func nextState(state balancer.ServerState) balancer.ServerState {
	switch state {
	case balancer.Ready:
		return balancer.Draining
	case balancer.Draining:
		return balancer.Removed
	}
	return balancer.Ready
}

// churnProxies disconnects or reconnects randomly chosen proxies.
func (f *Fleet) churnProxies() {
	if f.Scenario.ChurnInterval <= 0 {
		return
	}
	for range int(time.Second / f.Scenario.ChurnInterval) {
		i := f.rng.IntN(len(f.proxies))
		if f.proxies[i].disconnected {
			f.connect(i)
		} else {
			f.disconnect(i)
		}
	}
}
