package faultsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarindshore/balancer"
)

// Rule is the name of a rule that each run must keep.
type Rule string

// Rules, as verdicts and reports name them.
const (
	RuleServerAvailable  Rule = "no proxy without a server"
	RuleDrainsKept       Rule = "drains kept"
	RuleNoColdOverload   Rule = "no cold server pushed over"
	RuleNoRepeatedEffect Rule = "no effect twice"
	RuleShortQueue       Rule = "queue and messages short"
	RuleProgress         Rule = "progress"
	RuleBounded          Rule = "bounded"
)

// Violation is the first break of a rule in a run.
type Violation struct {
	Rule    Rule
	At      time.Duration // since the start of the run
	Subject string        // the proxy, server, command or queue that broke it
	Details string
}

// String is the verdict on a run: which rule was broken, when, by what and how.
func (v *Violation) String() string {
	return fmt.Sprintf("%s: broken at %.3fs by %s: %s", v.Rule, v.At.Seconds(), v.Subject, v.Details)
}

// condition is since when something holds, and how long outages had lasted in all by then.
type condition struct {
	since         time.Duration
	outagesBefore time.Duration
}

// rules judges a run. Outages do not count towards the time limits of rules.
type rules struct {
	simulation    *Simulation
	violation     *Violation // the first
	withoutServer map[balancer.ProxyID]condition
	overloaded    map[balancer.ServerID]condition
}

func newRules(s *Simulation) *rules {
	return &rules{
		simulation:    s,
		withoutServer: map[balancer.ProxyID]condition{},
		overloaded:    map[balancer.ServerID]condition{},
	}
}

// fail records a violation, unless there was one before.
func (r *rules) fail(rule Rule, subject, format string, values ...any) {
	if r.violation != nil {
		return
	}
	r.violation = &Violation{Rule: rule, At: r.simulation.now, Subject: subject, Details: fmt.Sprintf(format, values...)}
	r.simulation.record("BROKEN %v", r.violation)
}

// newCondition is a condition that begins now.
func (r *rules) newCondition() condition {
	return condition{since: r.simulation.now, outagesBefore: r.simulation.outages.total}
}

// duration is how long a condition has held, without outages.
func (r *rules) duration(c condition) time.Duration {
	return r.simulation.now - c.since - (r.simulation.outages.total - c.outagesBefore)
}

// conditionDuration is how long a condition has held for a subject, without outages. Where it was not known before, it begins
// now.
func conditionDuration[Subject comparable](r *rules, conditions map[Subject]condition, subject Subject) (lasted time.Duration, known bool) {
	since, known := conditions[subject]
	if !known {
		conditions[subject] = r.newCondition()
		return 0, false
	}
	return r.duration(since), true
}

// durationWithoutOutages is the time since start without outages.
func (r *rules) durationWithoutOutages(start time.Duration) time.Duration {
	return r.simulation.now - start - r.simulation.outages.since(start)
}

// check looks at the rules that hold at all times.
func (r *rules) check() {
	serverReady := r.hasWarmServer()
	for _, p := range r.simulation.proxies {
		r.checkServerAvailable(p, serverReady)
		if p.connected {
			r.checkDrains(p)
		}
	}
	for _, server := range r.simulation.servers {
		r.checkColdOverload(server)
	}
}

// hasWarmServer reports whether some server is on the manager's list as ready, and warm.
func (r *rules) hasWarmServer() bool {
	s := r.simulation
	for _, server := range s.servers {
		listed := s.manager.endpoints[server.id]
		if listed.state == balancer.Ready && s.now-listed.startedAt >= s.scenario.WarmUpDuration {
			return true
		}
	}
	return false
}

// checkServerAvailable checks that a connected proxy is not without a server for long while one is ready.
func (r *rules) checkServerAvailable(p *proxy, serverReady bool) {
	if !p.connected || p.hasServer() || !serverReady {
		delete(r.withoutServer, p.id)
		return
	}
	lasted, known := conditionDuration(r, r.withoutServer, p.id)
	if known && lasted > r.simulation.scenario.MaxTimeWithoutServer {
		r.fail(RuleServerAvailable, proxyName(p), "none to pick for %.2fs", lasted.Seconds())
	}
}

// tableReceived is called when a proxy has applied a message.
func (r *rules) tableReceived(p *proxy) {
	if p.hasServer() {
		delete(r.withoutServer, p.id)
	}
}

// checkDrains checks that a proxy sends nothing to a server for longer than the grace period after the manager
// learned that the server drains or is gone. Of several such servers the first by name is reported.
func (r *rules) checkDrains(p *proxy) {
	s := r.simulation
	grace := s.scenario.DrainGracePeriod
	var late balancer.ServerID
	for server, weight := range p.weights {
		listed := s.manager.endpoints[server]
		if listed.state == balancer.Ready || weight == 0 || p.withdrawn[server] {
			continue
		}
		since := max(listed.notifiedAt, p.connectedAt)
		if s.now-since > grace && r.durationWithoutOutages(since) > grace && (late == "" || server < late) {
			late = server
		}
	}
	if late != "" {
		since := max(s.manager.endpoints[late].notifiedAt, p.connectedAt)
		r.fail(RuleDrainsKept, proxyName(p), "sends to %s, told to drain or gone %.2fs ago", late, (s.now - since).Seconds())
	}
}

// checkColdOverload checks that a server that warms up does not get far more than it can serve. Requests by tables from
// before its start are nobody's fault.
func (r *rules) checkColdOverload(server *server) {
	s := r.simulation
	warm := s.now-server.startedAt >= s.scenario.WarmUpDuration
	listedBeforeStart := s.manager.endpoints[server.id].startedAt < server.startedAt
	if !server.running || warm || listedBeforeStart {
		delete(r.overloaded, server.id)
		return
	}
	rate := 0.0
	for _, x := range server.rateByZone {
		rate += x
	}
	capacity := s.capacity(server)
	if rate <= s.scenario.OverloadFactor*capacity {
		delete(r.overloaded, server.id)
		return
	}
	lasted, known := conditionDuration(r, r.overloaded, server.id)
	if known && lasted >= s.scenario.MaxOverloadTime {
		r.fail(RuleNoColdOverload, string(server.id), "gets %.1f of %.1f flows/s for %.1fs", rate, capacity, lasted.Seconds())
	}
}

// checkQueue checks the commands that wait in the channel against its capacity.
func (r *rules) checkQueue(queued float64) {
	if capacity := r.simulation.scenario.QueueCapacity; queued > capacity {
		r.fail(RuleShortQueue, "channel", "%.0f lines wait, %.0f at most", queued, capacity)
	}
}

// checkMessages checks how many messages a proxy was sent lately.
func (r *rules) checkMessages(p *proxy) {
	if limit := r.simulation.scenario.MaxMessages; limit > 0 && len(p.recentSends) > limit {
		r.fail(RuleShortQueue, proxyName(p), "%d messages in 10s, %d at most", len(p.recentSends), limit)
	}
}

// maxMessageTime is how long a message may take once there are no faults, its wait in the channel included.
const maxMessageTime = 5 * time.Second

// checkProgress judges the end of a run: nothing waits, and all connected proxies hold their tables of the relay.
func (r *rules) checkProgress() {
	s := r.simulation
	if s.manager.calling || len(s.manager.backlog) > 0 {
		r.fail(RuleProgress, "relay", "orders still wait %.0fs after the last fault", s.scenario.SettlePhase.Seconds())
	}
	for _, p := range s.proxies {
		if p.connected {
			r.checkTable(p)
		}
	}
	r.checkRelayTables()
}

// checkTable checks that a proxy has a table, and holds it as the relay does.
func (r *rules) checkTable(p *proxy) {
	s := r.simulation
	if !p.assigned {
		r.fail(RuleProgress, proxyName(p), "joined at %.1fs, and not bound", p.connectedAt.Seconds())
		return
	}
	if s.now-p.lastSent <= maxMessageTime {
		return
	}
	table := s.relay.tables[p.table]
	for _, server := range slices.Sorted(maps.Keys(table)) {
		if p.weights[server] != table[server] {
			r.fail(RuleProgress, proxyName(p), "holds %v for %s, and %v stands", p.weights[server], server, table[server])
		}
	}
}

// checkRelayTables checks that the relay holds the weights of the versioned tables.
func (r *rules) checkRelayTables() {
	state := r.simulation.manager.chain.State()
	for _, id := range state.TableIDs() {
		weights := state.Table(id).Weights
		held := r.simulation.relay.tables[balancer.TableID(id)]
		for _, server := range slices.Sorted(maps.Keys(weights)) {
			if got := held[balancer.ServerID(server)]; got != weights[server] {
				r.fail(RuleProgress, "relay", "table %d has %v for %s, and the chain %v", id, got, server, weights[server])
			}
		}
	}
}

func proxyName(p *proxy) string { return fmt.Sprint("proxy ", p.id) }
