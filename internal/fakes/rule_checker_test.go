package fakes

import (
	"testing"
	"time"
)

// relay is a relay with 4 servers and 3 proxies that use table 0.
func relay(t *testing.T) *Relay {
	r, err := NewRelay("127.0.0.1:0", DefaultSite(4, 3))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for n := range 4 {
		r.RegisterServers(Endpoint{ID: ServerID(n)})
	}
	r.ConnectProxies(0, 1, 2)
	r.do(t, "share,0,"+ServerID(0)+",1", "share,0,"+ServerID(1)+",1", "bind,0,0,*", "bind,1,0,*", "bind,2,0,*", "mark,1,0")
	return r
}

func (r *Relay) do(t *testing.T, commands ...string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.executeAll(commands, false); n != len(commands) {
		t.Fatalf("%d of %d commands accepted", n, len(commands))
	}
}

// settle lets all messages reach the proxies.
func (r *Relay) settle() {
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

func violated(r *Relay) (names []string) {
	for _, rule := range r.Rules.Results() {
		if !rule.OK() {
			names = append(names, rule.Name)
		}
	}
	return names
}

// Each rule can be violated: a check that can't fail says nothing.
func TestEachViolationOfARuleIsSeen(t *testing.T) {
	for name, violate := range map[string]func(r *Relay){
		"no proxy without a server": func(r *Relay) {
			r.do(t, "withdraw,"+ServerID(0), "withdraw,"+ServerID(1))
			for _, p := range r.proxies {
				p.emptySince = p.emptySince.Add(-time.Minute)
			}
		},
		"no effect twice": func(r *Relay) {
			r.executeAll([]string{"share,0," + ServerID(2) + ",5"}, true)
			r.tables[0].weights[ServerID(2)] = 1 // as if the first had been undone by a later one
			r.do(t, "share,0,"+ServerID(2)+",5")
		},
		"drains kept": func(r *Relay) {
			r.Rules.EndpointChanged(time.Now().Add(-time.Minute), Endpoint{ID: ServerID(0), Lifecycle: "draining"})
			r.Rules.CheckDrains(time.Now(), func(s string) bool { return r.requestRate(s) > 0 })
		},
		"no cold server pushed over": func(r *Relay) {
			now := time.Now()
			r.Rules.EndpointChanged(now, Endpoint{ID: ServerID(0), Lifecycle: "up", Started: now.UnixMilli()})
			r.site.ServerCapacity = 1
			r.Rules.site.ServerCapacity = 1
			r.Rules.checkWarmingServers(now, r.requestRate)
			r.Rules.checkWarmingServers(now.Add(2500*time.Millisecond), r.requestRate)
		},
		"queue and messages short": func(r *Relay) {
			r.SetChannelSpeed(0)
			r.Rules.site.ChannelQueueLines = 10
			r.do(t, "share,0,"+ServerID(2)+",1", "share,0,"+ServerID(3)+",1", "mark,2,0")
		},
	} {
		r := relay(t)
		r.settle()
		if got := violated(r); len(got) > 0 {
			t.Fatalf("violated at rest: %v", got)
		}
		violate(r)
		r.CheckState()
		if got := violated(r); len(got) != 1 || got[0] != name {
			t.Errorf("%s: %v seen violated", name, got)
		}
	}
}

func TestAClassThatIsNotIdempotentIsGivenNoFurtherAttempts(t *testing.T) {
	r := relay(t)
	r.do(t, "admit,0,quote,1,3", "admit,0,book,1,1")
	if got := violated(r); len(got) > 0 {
		t.Errorf("%v", got)
	}
	r.do(t, "admit,0,book,1,2")
	if got := violated(r); len(got) != 1 || got[0] != "no effect twice" {
		t.Errorf("%v", got)
	}
}

func TestTheRelayStopsAtTheFirstCommandThatItCantUse(t *testing.T) {
	r := relay(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, bad := range []string{"bind,9,0,*", "share,0,nobody,1", "share,0," + ServerID(0) + ",-1", "sing", "withdraw,nobody", "admit,0,quote,1"} {
		if n := r.executeAll([]string{"share,0," + ServerID(2) + ",1", bad, "share,0," + ServerID(3) + ",1"}, false); n != 1 {
			t.Errorf("%s: %d accepted", bad, n)
		}
	}
}

// An assignment that is executed once more after a call without an answer is a repeat as long as the proxy is the
// same incarnation; one that has connected again has to be assigned anew.
func TestAnAssignmentIsARepeatForTheSameIncarnationOnly(t *testing.T) {
	const assignment = "bind,1,5,*"
	reassign := func(r *Relay) { // a true repeat with an effect: the table was changed in between
		r.mu.Lock()
		defer r.mu.Unlock()
		r.proxies[1].table = 0
	}
	reconnect := func(r *Relay) {
		r.DisconnectProxies(1)
		r.ConnectProxies(1)
	}
	for name, one := range map[string]struct {
		between func(r *Relay)
		kept    bool
		repeats int // commands that were judged as repeats
	}{
		"same incarnation, nothing changed":      {between: func(*Relay) {}, kept: true, repeats: 1},
		"same incarnation, on another table":     {between: reassign, kept: false, repeats: 1},
		"connected again":                        {between: reconnect, kept: true, repeats: 0},
		"connected again, then on another table": {between: func(r *Relay) { reconnect(r); reassign(r) }, kept: true, repeats: 0},
		"connected again, assigned without an answer": {between: func(r *Relay) {
			reconnect(r)
			r.mu.Lock()
			r.executeAll([]string{assignment}, true)
			r.mu.Unlock()
			reassign(r)
		}, kept: false, repeats: 1},
	} {
		r := relay(t)
		r.settle()
		r.mu.Lock()
		r.executeAll([]string{assignment}, true)
		r.mu.Unlock()
		one.between(r)
		r.do(t, assignment)
		result := r.Rules.Results()[repeatRule]
		if result.OK() != one.kept || result.Checks != one.repeats {
			t.Errorf("%s: %+v", name, result)
		}
	}
}
