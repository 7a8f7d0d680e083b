package faultsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarindshore/balancer"
)

// Rule is the name of a rule that every run must keep.
type Rule string

// Names of the rules. Verdicts and testdata/runs.txt contain them, as well as the texts passed to rules.fail.
const (
	RuleServerAvailable  Rule = "no proxy without a server"
	RuleDrainsKept       Rule = "drains kept"
	RuleNoColdOverload   Rule = "no cold server pushed over"
	RuleNoRepeatedEffect Rule = "no effect twice"
	RuleShortQueue       Rule = "queue and messages short"
	RuleProgress         Rule = "progress"
	RuleBounded          Rule = "bounded"
)

// Violation describes the first violation of a rule in a run.
type Violation struct {
	Rule    Rule
	At      time.Duration // since the start of the run
	Subject string        // the proxy, server, command or queue that violated the rule
	Details string
}

// String returns the verdict on a run: the violated rule, the time, the subject and the details.
func (v *Violation) String() string {
	return fmt.Sprintf("%s: broken at %.3fs by %s: %s", v.Rule, v.At.Seconds(), v.Subject, v.Details)
}

// condition records when a state that must not last too long began, and the total duration of outages until then.
type condition struct {
	since         time.Duration
	outagesBefore time.Duration
}

// rules checks the rules during a run. Outages do not count towards their time limits.
type rules struct {
	simulation    *Simulation
	violation     *Violation // the first violation of the run; nil: none yet
	withoutServer map[balancer.ProxyID]condition
	overloaded    map[balancer.ServerID]condition
}

// newRules returns the rules of a run at its start.
func newRules(s *Simulation) *rules {
	return &rules{
		simulation:    s,
		withoutServer: map[balancer.ProxyID]condition{},
		overloaded:    map[balancer.ServerID]condition{},
	}
}

// fail records a violation, unless one was recorded before.
func (r *rules) fail(rule Rule, subject, format string, values ...any) {
	if r.violation != nil {
		return
	}
	r.violation = &Violation{Rule: rule, At: r.simulation.now, Subject: subject, Details: fmt.Sprintf(format, values...)}
	r.simulation.record("BROKEN %v", r.violation)
}

// newCondition returns a condition that begins now.
func (r *rules) newCondition() condition {
	return condition{since: r.simulation.now, outagesBefore: r.simulation.outages.total}
}

// duration returns how long a condition has lasted, without outages.
func (r *rules) duration(c condition) time.Duration {
	return r.simulation.now - c.since - (r.simulation.outages.total - c.outagesBefore)
}

// conditionDuration returns how long a condition has lasted for a subject, without outages. If the condition was not known
// before, it begins now.
func conditionDuration[Subject comparable](r *rules, conditions map[Subject]condition, subject Subject) (lasted time.Duration, known bool) {
	since, known := conditions[subject]
	if !known {
		conditions[subject] = r.newCondition()
		return 0, false
	}
	return r.duration(since), true
}

// durationWithoutOutages returns the time since start, without outages.
func (r *rules) durationWithoutOutages(start time.Duration) time.Duration {
	return r.simulation.now - start - r.simulation.outages.since(start)
}

// check checks the rules that must hold at all times.
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

// hasWarmServer reports whether the manager's endpoint list has a server that is ready and warm.
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

// checkServerAvailable checks that a connected proxy is not without a server for too long while a warm server is ready.
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

// tableReceived updates the conditions of a proxy that has applied a message.
func (r *rules) tableReceived(p *proxy) {
	if p.hasServer() {
		delete(r.withoutServer, p.id)
	}
}

// checkDrains checks that a proxy stops sending requests to a server within the grace period after the manager learned
// that the server is draining or removed. If several servers violate the rule, the first by identifier is reported.
func (r *rules) checkDrains(p *proxy) {
	s := r.simulation
	grace := s.scenario.DrainGracePeriod
	var lateServer balancer.ServerID
	for server, weight := range p.weights {
		listed := s.manager.endpoints[server]
		if listed.state == balancer.Ready || weight == 0 || p.withdrawn[server] {
			continue
		}
		since := max(listed.notifiedAt, p.connectedAt)
		if s.now-since > grace && r.durationWithoutOutages(since) > grace && (lateServer == "" || server < lateServer) {
			lateServer = server
		}
	}
	if lateServer != "" {
		since := max(s.manager.endpoints[lateServer].notifiedAt, p.connectedAt)
		r.fail(RuleDrainsKept, proxyName(p), "sends to %s, told to drain or gone %.2fs ago", lateServer, (s.now - since).Seconds())
	}
}

// checkColdOverload checks that a warming server does not get far more requests than it can serve. The rule does not apply
// until the endpoint list shows the server's new process: until then proxies use tables from before its start, and the
// manager cannot know better.
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

// checkQueue checks the number of queued commands against the channel's queue capacity.
func (r *rules) checkQueue(queued float64) {
	if capacity := r.simulation.scenario.QueueCapacity; queued > capacity {
		r.fail(RuleShortQueue, "channel", "%.0f lines wait, %.0f at most", queued, capacity)
	}
}

// checkMessages checks the number of messages sent to a proxy within messageWindow.
func (r *rules) checkMessages(p *proxy) {
	if limit := r.simulation.scenario.MaxMessages; limit > 0 && len(p.recentSends) > limit {
		r.fail(RuleShortQueue, proxyName(p), "%d messages in 10s, %d at most", len(p.recentSends), limit)
	}
}

// maxMessageTime is how long a message may take to arrive after it was queued. At the end of a run, the tables of proxies
// with a more recent message are not compared, because that message may still be on its way.
const maxMessageTime = 5 * time.Second

// checkProgress checks the end of a run: no command is waiting, and each connected proxy holds its table as the relay
// does.
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

// checkTable checks that a proxy is assigned to a table, and that it has the relay's weight for each server of the table.
func (r *rules) checkTable(p *proxy) {
	s := r.simulation
	if !p.assigned {
		r.fail(RuleProgress, proxyName(p), "joined at %.1fs, and not bound", p.connectedAt.Seconds())
		return
	}
	if s.now-p.lastQueued <= maxMessageTime {
		return
	}
	table := s.relay.tables[p.table]
	for _, server := range slices.Sorted(maps.Keys(table)) {
		if p.weights[server] != table[server] {
			r.fail(RuleProgress, proxyName(p), "holds %v for %s, and %v stands", p.weights[server], server, table[server])
		}
	}
}

// checkRelayTables checks that the relay has the weight of each server in the versioned tables.
func (r *rules) checkRelayTables() {
	state := r.simulation.manager.chain.State()
	for _, id := range state.TableIDs() {
		weights := state.Table(id).Weights
		relayWeights := r.simulation.relay.tables[balancer.TableID(id)]
		for _, server := range slices.Sorted(maps.Keys(weights)) {
			if got := relayWeights[balancer.ServerID(server)]; got != weights[server] {
				r.fail(RuleProgress, "relay", "table %d has %v for %s, and the chain %v", id, got, server, weights[server])
			}
		}
	}
}

func proxyName(p *proxy) string { return fmt.Sprint("proxy ", p.id) }
