package fleetmodel

import (
	"time"

	"tamarindshore/balancer"
)

// PlaySecond plays second n of a run of so many seconds: what happens to the fleet, then the reports of each zone on
// each server and of each proxy, spread over the second.
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
	spread := &reportSchedule{fleet: f, start: start, step: time.Second / time.Duration(reports+1)}
	for _, s := range f.servers {
		f.reportLoad(s, spread)
	}
	for i := range f.proxies {
		f.reportUsage(i, requestRate, spread)
	}
	f.churnProxies()
	f.playUntil(start + time.Second)
}

// slowDownServers makes the scenario's part of the servers slow.
func (f *Fleet) slowDownServers() {
	const stride = 7 // spreads them over the zones
	for i := range int(f.Scenario.SlowFraction * float64(f.Scenario.Servers)) {
		f.servers[i*stride%f.Scenario.Servers].slow = true
	}
}

// rollingRestart drains one server after another from the third second on; a drained one goes, and comes back as a
// fresh process.
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

// nextState follows a server's life: ready, draining, removed, and ready again.
func nextState(state balancer.ServerState) balancer.ServerState {
	switch state {
	case balancer.Ready:
		return balancer.Draining
	case balancer.Draining:
		return balancer.Removed
	}
	return balancer.Ready
}

// churnProxies lets proxies leave, or connect again, by chance.
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
