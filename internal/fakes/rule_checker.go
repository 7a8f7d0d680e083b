package fakes

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// RuleResult is what came of one rule: its worst value against its bound, when that was and at what.
type RuleResult struct {
	Name       string        `json:"name"`
	Worst      float64       `json:"worst"`
	Bound      float64       `json:"bound"`
	Unit       string        `json:"unit"`
	At         time.Duration `json:"at_ns"` // since the checker began
	Subject    string        `json:"whom,omitempty"`
	Violations int           `json:"broken"`
	Checks     int           `json:"seen"` // how often there was something to judge
}

// OK tells whether the rule was kept.
func (r RuleResult) OK() bool { return r.Violations == 0 }

// rule is the index of a rule among the results.
type rule int

const (
	emptyTableRule rule = iota
	repeatRule
	drainRule
	warmUpRule
	queueRule
	ruleCount
)

const (
	// slack is what sockets may add to the times of the rules, by the platform's pages.
	slack = 300 * time.Millisecond
	// judgedFor is how long a drain that was judged is not judged again.
	judgedFor = time.Hour
	// Most attempts of a request: a second one after proof that the first was not executed, or two after any failure.
	attemptsUnlessExecuted = 1
	attemptsIfIdempotent   = 3
)

// RuleChecker judges what happens at a relay by the platform's five rules. A rule that is violated once stays so. All
// its methods may be called at any time.
type RuleChecker struct {
	mu      sync.Mutex
	began   time.Time
	site    Site
	results [ruleCount]RuleResult

	maxAttempts        map[string]int       // by class
	drainKnownAt       map[string]time.Time // by server that drains or was removed
	pendingWithdrawals map[string]int       // messages that are not applied yet, by server
	startedAt          map[string]time.Time // by server that may be warming up
	overloadedSince    map[string]time.Time // by warming server that gets too much
	warmServerRequired bool
}

// NewRuleChecker begins with nothing judged.
func NewRuleChecker(site Site) *RuleChecker {
	c := &RuleChecker{
		began: time.Now(),
		site:  site,
		results: [ruleCount]RuleResult{
			emptyTableRule: {Name: "no proxy without a server", Bound: (site.EmptyTableLimit + slack).Seconds(), Unit: "s"},
			repeatRule:     {Name: "no effect twice", Bound: 0, Unit: "effects"},
			drainRule:      {Name: "drains kept", Bound: (site.DrainGracePeriod + slack).Seconds(), Unit: "s"},
			warmUpRule:     {Name: "no cold server pushed over", Bound: site.OverloadFactor, Unit: "x its capacity"},
			queueRule:      {Name: "queue and messages short", Bound: 1, Unit: "of the limit"},
		},
		maxAttempts:        map[string]int{},
		drainKnownAt:       map[string]time.Time{},
		pendingWithdrawals: map[string]int{},
		startedAt:          map[string]time.Time{},
		overloadedSince:    map[string]time.Time{},
		warmServerRequired: true,
	}
	for _, class := range site.TrafficClasses {
		c.maxAttempts[class.Name] = attemptsUnlessExecuted
		if class.Idempotency == idempotent {
			c.maxAttempts[class.Name] = attemptsIfIdempotent
		}
	}
	return c
}

// record takes one value of a rule. The caller holds the lock.
func (c *RuleChecker) record(rule rule, at time.Time, value float64, subject string) {
	result := &c.results[rule]
	result.Checks++
	if value > result.Worst {
		result.Worst = value
		result.At = at.Sub(c.began)
		result.Subject = subject
	}
	if value > result.Bound {
		result.Violations++
	}
}

// Results returns all rules as they stand.
func (c *RuleChecker) Results() []RuleResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.results[:])
}

// RequireWarmServer says whether a warm server is listed as ready: only then must a proxy have a server to pick.
func (c *RuleChecker) RequireWarmServer(required bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmServerRequired = required
}

// EndpointChanged says that discovery published a change: a drain, a removal or a start.
func (c *RuleChecker) EndpointChanged(at time.Time, endpoint Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if endpoint.Lifecycle != lifecycleUp {
		if _, known := c.drainKnownAt[endpoint.ID]; !known {
			c.drainKnownAt[endpoint.ID] = at
		}
		delete(c.startedAt, endpoint.ID)
		return
	}
	delete(c.drainKnownAt, endpoint.ID)
	if endpoint.Started > 0 {
		c.startedAt[endpoint.ID] = time.UnixMilli(endpoint.Started)
	}
}

// checkEmptyTime judges how long a proxy has had no server to pick.
func (c *RuleChecker) checkEmptyTime(at time.Time, proxy int, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.warmServerRequired {
		c.record(emptyTableRule, at, elapsed.Seconds(), fmt.Sprint("proxy ", proxy))
	}
}

// commandRepeated judges a command that was executed once more after a call without an answer.
func (c *RuleChecker) commandRepeated(at time.Time, command string, changedState bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	effects := 0.0
	if changedState {
		effects = 1
	}
	c.record(repeatRule, at, effects, command)
}

// checkAttempts judges how many attempts the requests of some classes may have.
func (c *RuleChecker) checkAttempts(at time.Time, classes string, attempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := splitClasses(classes)
	for class, most := range c.maxAttempts {
		if classes == anyClass || slices.Contains(names, class) {
			excess := float64(max(0, attempts-most))
			c.record(repeatRule, at, excess, fmt.Sprintf("%d tries of %s", attempts, class))
		}
	}
}

// serverWithdrawn says that a withdrawal was ordered, and how many messages carry it to proxies.
func (c *RuleChecker) serverWithdrawn(at time.Time, server string, messages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if messages > 0 {
		c.pendingWithdrawals[server] = messages
		return
	}
	c.endWithdrawal(at, server)
}

// serverRestored says that a withdrawal was lifted.
func (c *RuleChecker) serverRestored(at time.Time, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWithdrawal(at, server)
}

// withdrawalsApplied says that a message was applied, or will never be: the proxy left.
func (c *RuleChecker) withdrawalsApplied(at time.Time, servers []string) {
	if len(servers) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range servers {
		c.pendingWithdrawals[server]--
		if c.pendingWithdrawals[server] <= 0 {
			c.endWithdrawal(at, server)
		}
	}
}

// endWithdrawal judges the drain of a server that no proxy sends to any more. The caller holds the lock.
func (c *RuleChecker) endWithdrawal(at time.Time, server string) {
	delete(c.pendingWithdrawals, server)
	knownAt, draining := c.drainKnownAt[server]
	if !draining {
		return
	}
	c.record(drainRule, at, at.Sub(knownAt).Seconds(), server)
	c.drainKnownAt[server] = at.Add(judgedFor)
}

// CheckDrains judges the drains that are not complete, of servers that proxies still use.
func (c *RuleChecker) CheckDrains(at time.Time, inUse func(server string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, knownAt := range c.drainKnownAt {
		elapsed := at.Sub(knownAt).Seconds()
		if elapsed > c.results[drainRule].Bound && inUse(server) {
			c.record(drainRule, at, elapsed, server)
		}
	}
}

// checkWarmingServers judges what servers get that are not warm yet.
func (c *RuleChecker) checkWarmingServers(at time.Time, requestRate func(server string) float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, startedAt := range c.startedAt {
		age := at.Sub(startedAt)
		if age >= c.site.WarmUpDuration {
			delete(c.startedAt, server)
			delete(c.overloadedSince, server)
			continue
		}
		c.checkWarmingServer(at, server, requestRate(server)/c.site.capacityAtAge(age))
	}
}

// checkWarmingServer judges one server by what it gets as a multiple of its capacity: too much is a violation once it
// has lasted. The caller holds the lock.
func (c *RuleChecker) checkWarmingServer(at time.Time, server string, load float64) {
	if load <= c.site.OverloadFactor {
		delete(c.overloadedSince, server)
		c.record(warmUpRule, at, load, server)
		return
	}
	since, overloaded := c.overloadedSince[server]
	switch {
	case !overloaded:
		c.overloadedSince[server] = at
	case at.Sub(since) >= c.site.OverloadDuration:
		c.record(warmUpRule, at, load, server)
	}
}

// checkQueue judges how many lines wait in the channel.
func (c *RuleChecker) checkQueue(at time.Time, lines float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(queueRule, at, lines/c.site.ChannelQueueLines, fmt.Sprintf("%.0f lines wait", lines))
}

// checkMessageCount judges how many messages a proxy was sent within the site's window.
func (c *RuleChecker) checkMessageCount(at time.Time, proxy, messages int) {
	if c.site.MaxMessages == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	part := float64(messages) / float64(c.site.MaxMessages)
	c.record(queueRule, at, part, fmt.Sprintf("%d messages to proxy %d", messages, proxy))
}
