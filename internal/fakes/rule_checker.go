package fakes

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// RuleResult is the result of one rule: its worst value so far, the bound, and when and where the worst value occurred.
type RuleResult struct {
	Name       string        `json:"name"`
	Worst      float64       `json:"worst"`
	Bound      float64       `json:"bound"`
	Unit       string        `json:"unit"`
	At         time.Duration `json:"at_ns"`          // time of the worst value, since the checker was created
	Subject    string        `json:"whom,omitempty"` // what the worst value refers to, such as a proxy or a server
	Violations int           `json:"broken"`
	Checks     int           `json:"seen"` // how often the rule was checked
}

// OK reports whether the rule was never violated.
func (r RuleResult) OK() bool { return r.Violations == 0 }

// rule is the index of a rule in the results.
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
	// timingTolerance is the delay that sockets may add to the time limits, according to the platform's documentation.
	timingTolerance = 300 * time.Millisecond
	// drainRecheckDelay is how long a drain is exempt from further checks after its duration has been checked.
	drainRecheckDelay = time.Hour
	// Highest retry policies that a class may have. By default, a request may be sent a second time only after proof
	// that it was not executed. A request of an idempotent class may be sent up to three times, whatever the failure.
	maxRetryPolicyByDefault    = 1
	maxRetryPolicyIfIdempotent = 3
)

// RuleChecker checks the platform's five rules at a relay. A rule that has been violated once stays violated. Its methods
// are safe for concurrent use.
type RuleChecker struct {
	mu        sync.Mutex
	createdAt time.Time
	site      Site
	results   [ruleCount]RuleResult

	maxRetryPolicies   map[string]int       // highest retry policy that is allowed, by class name
	drainPublishedAt   map[string]time.Time // when discovery published the drain or removal, by server
	pendingWithdrawals map[string]int       // number of messages with the withdrawal that are not applied yet, by server
	serverStartedAt    map[string]time.Time // start times of servers that may be warming up
	overloadedSince    map[string]time.Time // start of the current overload, by warming server
	warmServerRequired bool
}

// NewRuleChecker returns a checker for the relay of a site that has checked nothing yet.
func NewRuleChecker(site Site) *RuleChecker {
	c := &RuleChecker{
		createdAt: time.Now(),
		site:      site,
		results: [ruleCount]RuleResult{
			emptyTableRule: {Name: "no proxy without a server", Bound: (site.EmptyTableLimit + timingTolerance).Seconds(), Unit: "s"},
			repeatRule:     {Name: "no effect twice", Bound: 0, Unit: "effects"},
			drainRule:      {Name: "drains kept", Bound: (site.DrainGracePeriod + timingTolerance).Seconds(), Unit: "s"},
			warmUpRule:     {Name: "no cold server pushed over", Bound: site.OverloadFactor, Unit: "x its capacity"},
			queueRule:      {Name: "queue and messages short", Bound: 1, Unit: "of the limit"},
		},
		maxRetryPolicies:   map[string]int{},
		drainPublishedAt:   map[string]time.Time{},
		pendingWithdrawals: map[string]int{},
		serverStartedAt:    map[string]time.Time{},
		overloadedSince:    map[string]time.Time{},
		warmServerRequired: true,
	}
	for _, class := range site.TrafficClasses {
		c.maxRetryPolicies[class.Name] = maxRetryPolicyByDefault
		if class.Idempotency == idempotent {
			c.maxRetryPolicies[class.Name] = maxRetryPolicyIfIdempotent
		}
	}
	return c
}

// record adds one value to the result of a rule. The caller holds the lock.
func (c *RuleChecker) record(rule rule, at time.Time, value float64, subject string) {
	result := &c.results[rule]
	result.Checks++
	if value > result.Worst {
		result.Worst = value
		result.At = at.Sub(c.createdAt)
		result.Subject = subject
	}
	if value > result.Bound {
		result.Violations++
	}
}

// Results returns the current results of all rules.
func (c *RuleChecker) Results() []RuleResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.results[:])
}

// RequireWarmServer switches the rule that each proxy has a usable server on or off. Switch it off while the endpoint list
// has no warm server that is ready, because the platform's rule does not apply then.
func (c *RuleChecker) RequireWarmServer(required bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmServerRequired = required
}

// EndpointChanged reports that discovery published a drain, a removal or a start.
func (c *RuleChecker) EndpointChanged(at time.Time, endpoint Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if endpoint.Lifecycle != lifecycleUp {
		if _, known := c.drainPublishedAt[endpoint.ID]; !known {
			c.drainPublishedAt[endpoint.ID] = at
		}
		delete(c.serverStartedAt, endpoint.ID)
		return
	}
	delete(c.drainPublishedAt, endpoint.ID)
	if endpoint.StartedAtMs > 0 {
		c.serverStartedAt[endpoint.ID] = time.UnixMilli(endpoint.StartedAtMs)
	}
}

// checkEmptyPeriod checks how long a proxy has had no usable server.
func (c *RuleChecker) checkEmptyPeriod(at time.Time, proxy int, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.warmServerRequired {
		c.record(emptyTableRule, at, elapsed.Seconds(), fmt.Sprint("proxy ", proxy))
	}
}

// commandRepeated checks that a command did not change state when it was executed again after an unanswered call.
func (c *RuleChecker) commandRepeated(at time.Time, command string, changedState bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	effects := 0.0
	if changedState {
		effects = 1
	}
	c.record(repeatRule, at, effects, command)
}

// checkRetryPolicy checks the retry policy of some classes.
func (c *RuleChecker) checkRetryPolicy(at time.Time, classes string, retryPolicy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := splitClasses(classes)
	for class, limit := range c.maxRetryPolicies {
		if classes == anyClass || slices.Contains(names, class) {
			excess := float64(max(0, retryPolicy-limit))
			c.record(repeatRule, at, excess, fmt.Sprintf("retry policy %d for class %s", retryPolicy, class))
		}
	}
}

// serverWithdrawn reports a withdrawal and the number of messages that carry it to proxies.
func (c *RuleChecker) serverWithdrawn(at time.Time, server string, messages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if messages > 0 {
		c.pendingWithdrawals[server] = messages
		return
	}
	c.endWithdrawal(at, server)
}

// serverRestored reports that a withdrawal was revoked.
func (c *RuleChecker) serverRestored(at time.Time, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWithdrawal(at, server)
}

// withdrawalsApplied reports that a message with withdrawals was applied, or never will be because its proxy has
// disconnected.
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

// endWithdrawal checks how long a server's drain took. It is called when no message with the server's withdrawal is
// pending any more, or when the withdrawal is revoked. The caller holds the lock.
func (c *RuleChecker) endWithdrawal(at time.Time, server string) {
	delete(c.pendingWithdrawals, server)
	publishedAt, draining := c.drainPublishedAt[server]
	if !draining {
		return
	}
	c.record(drainRule, at, at.Sub(publishedAt).Seconds(), server)
	c.drainPublishedAt[server] = at.Add(drainRecheckDelay)
}

// CheckDrains records a violation for each drain that exceeds its limit while proxies still use the server.
func (c *RuleChecker) CheckDrains(at time.Time, inUse func(server string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, publishedAt := range c.drainPublishedAt {
		elapsed := at.Sub(publishedAt).Seconds()
		if elapsed > c.results[drainRule].Bound && inUse(server) {
			c.record(drainRule, at, elapsed, server)
		}
	}
}

// checkWarmingServers checks the load of the servers that are still warming up.
func (c *RuleChecker) checkWarmingServers(at time.Time, requestRate func(server string) float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, startedAt := range c.serverStartedAt {
		age := at.Sub(startedAt)
		if age >= c.site.WarmUpDuration {
			delete(c.serverStartedAt, server)
			delete(c.overloadedSince, server)
			continue
		}
		c.checkWarmingServer(at, server, requestRate(server)/c.site.capacityAtAge(age))
	}
}

// checkWarmingServer checks the load of one server, as a multiple of its current capacity. An overload is a violation
// once it has lasted for the site's OverloadDuration. The caller holds the lock.
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

// checkQueue checks the total size, in commands, of the messages that are queued in the channel.
func (c *RuleChecker) checkQueue(at time.Time, size float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(queueRule, at, size/c.site.QueueCapacity, fmt.Sprintf("%.0f lines queued", size))
}

// checkMessageCount checks the number of messages to a proxy within the site's window.
func (c *RuleChecker) checkMessageCount(at time.Time, proxy, messages int) {
	if c.site.MaxMessages == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	share := float64(messages) / float64(c.site.MaxMessages)
	c.record(queueRule, at, share, fmt.Sprintf("%d messages to proxy %d", messages, proxy))
}
