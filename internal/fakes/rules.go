package fakes

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rules judges what happened at a relay by the five rules. Each has its worst value against its bound, when that was
// and at whom; what breaks a rule stays broken.
type RuleChecker struct {
	mu    sync.Mutex
	born  time.Time
	site  Site
	rules [5]RuleResult
	tries map[string]int // most tries that a group may have, by name
	told  map[string]time.Time
	wait  map[string]int       // withdrawals that are not applied yet, by server
	fresh map[string]time.Time // when servers started
	over  map[string]time.Time // since when a cold one gets too much
	sure  bool                 // there are warm servers that are ready
}

// Rule is one rule's verdict.
type RuleResult struct {
	Name       string        `json:"name"`
	Worst      float64       `json:"worst"`
	Bound      float64       `json:"bound"`
	Unit       string        `json:"unit"`
	At         time.Duration `json:"at_ns"`
	Subject    string        `json:"whom,omitempty"`
	Violations int           `json:"broken"`
	Checks     int           `json:"seen"` // how often there was something to judge
}

// OK tells whether the rule was kept.
func (r RuleResult) OK() bool { return r.Violations == 0 }

const (
	bareRule = iota
	twiceRule
	drainRule
	coldRule
	queueRule
)

// slack is what sockets may add to the times of rules, by the platform's pages.
const slack = 300 * time.Millisecond

// NewRules begins with nothing seen.
func NewRuleChecker(site Site) *RuleChecker {
	r := &RuleChecker{born: time.Now(), site: site, tries: map[string]int{}, told: map[string]time.Time{},
		wait: map[string]int{}, fresh: map[string]time.Time{}, over: map[string]time.Time{}, sure: true}
	r.rules = [5]RuleResult{
		{Name: "no proxy without a server", Bound: (site.EmptyTableLimit + slack).Seconds(), Unit: "s"},
		{Name: "no effect twice", Bound: 0, Unit: "effects"},
		{Name: "drains kept", Bound: (site.DrainGracePeriod + slack).Seconds(), Unit: "s"},
		{Name: "no cold server pushed over", Bound: site.OverloadFactor, Unit: "x its capacity"},
		{Name: "queue and messages short", Bound: 1, Unit: "of the limit"},
	}
	for _, g := range site.TrafficClasses {
		r.tries[g.Name] = 1 // once more, after proof that the first never ran
		if g.Idempotency == "idempotent" {
			r.tries[g.Name] = 3
		}
	}
	return r
}

// note takes one value of a rule.
func (r *RuleChecker) note(rule int, at time.Time, worst float64, whom string) {
	one := &r.rules[rule]
	one.Checks++
	if worst > one.Worst {
		one.Worst, one.At, one.Subject = worst, at.Sub(r.born), whom
	}
	if worst > one.Bound {
		one.Violations++
	}
}

// Verdict gives all rules as they stand.
func (r *RuleChecker) Results() []RuleResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rules[:])
}

// Sure says whether some server is listed ready and warm: only then must a proxy have one.
func (r *RuleChecker) RequireWarmServer(yes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sure = yes
}

// Told says that discovery told of a change: a drain, an end or a start.
func (r *RuleChecker) EndpointChanged(at time.Time, e Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case e.Lifecycle != "up":
		if _, before := r.told[e.ID]; !before {
			r.told[e.ID] = at
		}
		delete(r.fresh, e.ID)
	default:
		delete(r.told, e.ID)
		if e.Started > 0 {
			r.fresh[e.ID] = time.UnixMilli(e.Started)
		}
	}
}

func (r *RuleChecker) bare(at time.Time, proxy int, since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sure {
		r.note(bareRule, at, since.Seconds(), fmt.Sprint("proxy ", proxy))
	}
}

// repeated is an order that was carried out once more after a call without an answer.
func (r *RuleChecker) repeated(at time.Time, order string, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	effects := 0.0
	if changed {
		effects = 1
	}
	r.note(twiceRule, at, effects, order)
}

func (r *RuleChecker) admits(at time.Time, groups string, tries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, most := range r.tries {
		if groups == "*" || slices.Contains(splitPlus(groups), name) {
			r.note(twiceRule, at, float64(max(0, tries-most)), fmt.Sprintf("%d tries of %s", tries, name))
		}
	}
}

func splitPlus(text string) (names []string) {
	for len(text) > 0 {
		i := 0
		for i < len(text) && text[i] != '+' {
			i++
		}
		names = append(names, text[:i])
		text = text[min(i+1, len(text)):]
	}
	return names
}

// pulled is a withdrawal that was ordered, and how many proxies have to apply it.
func (r *RuleChecker) pulled(at time.Time, server string, away bool, holders int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wait[server] = holders; !away || holders == 0 {
		delete(r.wait, server)
		r.kept(at, server)
	}
}

// kept ends a drain that no proxy sends to any more.
func (r *RuleChecker) kept(at time.Time, server string) {
	if told, drains := r.told[server]; drains {
		r.note(drainRule, at, at.Sub(told).Seconds(), server)
		r.told[server] = at.Add(time.Hour) // judged
	}
}

// applied is a message that a proxy took over, or will never get.
func (r *RuleChecker) applied(at time.Time, _ int, pulls []string) {
	if len(pulls) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range pulls {
		if r.wait[s]--; r.wait[s] <= 0 {
			delete(r.wait, s)
			r.kept(at, s)
		}
	}
}

// Drains judges the drains that are still not kept, of servers that proxies hold.
func (r *RuleChecker) CheckDrains(at time.Time, holds func(server string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, told := range r.told {
		if since := at.Sub(told).Seconds(); since > r.rules[drainRule].Bound && holds(s) {
			r.note(drainRule, at, since, s)
		}
	}
}

// cold looks at what servers get that are not warm yet.
func (r *RuleChecker) cold(at time.Time, flows func(server string) float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, started := range r.fresh {
		age := at.Sub(started)
		if age >= r.site.WarmUpDuration {
			delete(r.fresh, s)
			delete(r.over, s)
			continue
		}
		can := r.site.ServerCapacity * (r.site.InitialCapacityShare + (1-r.site.InitialCapacityShare)*max(0, age.Seconds())/r.site.WarmUpDuration.Seconds())
		times := flows(s) / can
		if times <= r.site.OverloadFactor {
			delete(r.over, s)
			r.note(coldRule, at, times, s)
			continue
		}
		if since, before := r.over[s]; !before {
			r.over[s] = at
		} else if at.Sub(since) >= r.site.OverloadDuration {
			r.note(coldRule, at, times, s)
		}
	}
}

func (r *RuleChecker) waits(at time.Time, lines float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(queueRule, at, lines/r.site.ChannelQueueLines, fmt.Sprintf("%.0f lines wait", lines))
}

func (r *RuleChecker) messages(at time.Time, proxy, sent int) {
	if r.site.MaxMessages == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(queueRule, at, float64(sent)/float64(r.site.MaxMessages), fmt.Sprintf("%d messages to proxy %d", sent, proxy))
}
