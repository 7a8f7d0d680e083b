package fakes

import (
	"testing"
	"time"
)

// newTestRelay starts a relay with 4 servers, and 3 proxies on table 0.
func newTestRelay(t *testing.T) *Relay {
	r, err := NewRelay("127.0.0.1:0", DefaultSite(4, 3))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for n := range 4 {
		r.RegisterServers(Endpoint{ID: ServerID(n)})
	}
	r.ConnectProxies(0, 1, 2)
	r.mustExecute(t, "share,0,"+ServerID(0)+",1", "share,0,"+ServerID(1)+",1", "bind,0,0,*", "bind,1,0,*", "bind,2,0,*", "mark,1,0")
	return r
}

// mustExecute executes commands and fails the test unless all are accepted.
func (r *Relay) mustExecute(t *testing.T, commands ...string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.executeAll(commands, false); n != len(commands) {
		t.Fatalf("%d of %d commands accepted", n, len(commands))
	}
}

// awaitMessagesApplied waits until all 3 proxies are assigned and no message is queued.
func (r *Relay) awaitMessagesApplied() {
	for r.Counts().AssignedProxies < 3 {
		time.Sleep(time.Millisecond)
	}
	for {
		r.mu.Lock()
		n := len(r.queue)
		r.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// violatedRules returns the names of the rules that were violated.
func violatedRules(r *Relay) (names []string) {
	for _, rule := range r.Rules.Results() {
		if !rule.OK() {
			names = append(names, rule.Name)
		}
	}
	return names
}

// Each rule must detect its own violation, since a check that never fails proves nothing.
func TestEachRuleDetectsItsViolation(t *testing.T) {
	for name, violate := range map[string]func(r *Relay){
		"no proxy without a server": func(r *Relay) {
			r.mustExecute(t, "withdraw,"+ServerID(0), "withdraw,"+ServerID(1))
			for _, p := range r.proxies {
				p.emptySince = p.emptySince.Add(-time.Minute)
			}
		},
		"no effect twice": func(r *Relay) {
			r.executeAll([]string{"share,0," + ServerID(2) + ",5"}, true)
			r.tables[0].weights[ServerID(2)] = 1 // as if another command had changed the weight in between
			r.mustExecute(t, "share,0,"+ServerID(2)+",5")
		},
		"drains kept": func(r *Relay) {
			r.Rules.EndpointChanged(time.Now().Add(-time.Minute), Endpoint{ID: ServerID(0), Lifecycle: "draining"})
			r.Rules.CheckDrains(time.Now(), func(s string) bool { return r.requestRate(s) > 0 })
		},
		"no cold server pushed over": func(r *Relay) {
			now := time.Now()
			r.Rules.EndpointChanged(now, Endpoint{ID: ServerID(0), Lifecycle: "up", StartedAtMs: now.UnixMilli()})
			r.site.ServerCapacity = 1
			r.Rules.site.ServerCapacity = 1
			r.Rules.checkWarmingServers(now, r.requestRate)
			r.Rules.checkWarmingServers(now.Add(2500*time.Millisecond), r.requestRate)
		},
		"queue and messages short": func(r *Relay) {
			r.SetChannelSpeed(0)
			r.Rules.site.QueueCapacity = 10
			r.mustExecute(t, "share,0,"+ServerID(2)+",1", "share,0,"+ServerID(3)+",1", "mark,2,0")
		},
	} {
		r := newTestRelay(t)
		r.awaitMessagesApplied()
		if got := violatedRules(r); len(got) > 0 {
			t.Fatalf("%s: rules %q violated before the test step", name, got)
		}
		violate(r)
		r.CheckState()
		if got := violatedRules(r); len(got) != 1 || got[0] != name {
			t.Errorf("violated rules %q, want only %q", got, name)
		}
	}
}

func TestClassThatIsNotIdempotentGetsNoRetries(t *testing.T) {
	r := newTestRelay(t)
	r.mustExecute(t, "admit,0,quote,1,3", "admit,0,book,1,1")
	if got := violatedRules(r); len(got) > 0 {
		t.Errorf("violated rules %q, want none", got)
	}
	r.mustExecute(t, "admit,0,book,1,2")
	if got := violatedRules(r); len(got) != 1 || got[0] != "no effect twice" {
		t.Errorf("violated rules %q, want only %q", got, "no effect twice")
	}
}

func TestRelayStopsAtFirstInvalidCommand(t *testing.T) {
	r := newTestRelay(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, invalid := range []string{"bind,9,0,*", "share,0,nobody,1", "share,0," + ServerID(0) + ",-1", "sing",
		"withdraw,nobody", "admit,0,quote,1"} {
		if n := r.executeAll([]string{"share,0," + ServerID(2) + ",1", invalid, "share,0," + ServerID(3) + ",1"}, false); n != 1 {
			t.Errorf("%d commands accepted before and after %q, want 1", n, invalid)
		}
	}
}

// An assignment that is executed again after an unanswered call is a repeat only if the proxy is the same incarnation. A
// proxy that has reconnected has to be assigned again.
func TestAssignmentIsRepeatOnlyForSameIncarnation(t *testing.T) {
	const assignment = "bind,1,5,*"
	reassign := func(r *Relay) { // makes the repeat change state, as the proxy is on another table by then
		r.mu.Lock()
		defer r.mu.Unlock()
		r.proxies[1].table = 0
	}
	reconnect := func(r *Relay) {
		r.DisconnectProxies(1)
		r.ConnectProxies(1)
	}
	for name, test := range map[string]struct {
		between     func(r *Relay) // runs between the two executions of the assignment
		wantOK      bool
		wantRepeats int // number of commands that were treated as repeats
	}{
		"same incarnation, nothing changed":        {between: func(*Relay) {}, wantOK: true, wantRepeats: 1},
		"same incarnation, on another table":       {between: reassign, wantOK: false, wantRepeats: 1},
		"proxy reconnected":                        {between: reconnect, wantOK: true, wantRepeats: 0},
		"proxy reconnected, then on another table": {between: func(r *Relay) { reconnect(r); reassign(r) }, wantOK: true, wantRepeats: 0},
		"proxy reconnected, then assigned by an unanswered call": {between: func(r *Relay) {
			reconnect(r)
			r.mu.Lock()
			r.executeAll([]string{assignment}, true)
			r.mu.Unlock()
			reassign(r)
		}, wantOK: false, wantRepeats: 1},
	} {
		r := newTestRelay(t)
		r.awaitMessagesApplied()
		r.mu.Lock()
		r.executeAll([]string{assignment}, true)
		r.mu.Unlock()
		test.between(r)
		r.mustExecute(t, assignment)
		result := r.Rules.Results()[repeatRule]
		if result.OK() != test.wantOK || result.Checks != test.wantRepeats {
			t.Errorf("%s: result %+v, want OK %v after %d checks", name, result, test.wantOK, test.wantRepeats)
		}
	}
}
