package versions

import (
	"errors"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// admissionLevel is a command for the share of class 1 that table 0 admits.
func admissionLevel(amount float64) []balancer.AdmissionLevel {
	return []balancer.AdmissionLevel{{Table: 0, Classes: 1, Amount: amount}}
}

func TestARollbackIsNotLimited(t *testing.T) {
	chain := newTestChain(t)
	chain.phase = resuming // a hold ended shortly before
	chain.beginHold("k", tables.ID{}, PinnedTables{}, time.Minute)
	chain.Propose(2*time.Second, weights(weight(0, "a0", 10), weight(0, "a1", 190)), "rollback", allReady)
	expectWeight(t, chain, 0, "a0", 10)
}

// The end of a hold must not be a jump to what was decided meanwhile.
func TestAfterAHoldVersionsGoBySmallSteps(t *testing.T) {
	chain := newTestChain(t)
	chain.Propose(time.Second, balancer.Commands{AdmissionLevels: admissionLevel(0.5)}, "overload", allReady)
	chain.beginHold("k", tables.ID{}, PinnedTables{}, time.Second)
	if _, ended := chain.EndExpiredHold(2*time.Second, allReady); !ended {
		t.Fatal("the hold does not end")
	}
	steps := 0
	for second := 3; second < 20 && weightOf(chain, 0, "a0") > 10.5; second++ {
		before := &proposal{current: chain.State(), view: allReady}
		commands := weights(weight(0, "a0", 10), weight(0, "a1", 190))
		commands.AdmissionLevels = admissionLevel(1)
		chain.Propose(time.Duration(second)*time.Second, commands, "pin", allReady)
		moved := movedSince(before, chain, 0)
		admitted := chain.State().Table(0).AdmissionLevels[1].Amount - before.current.Table(0).AdmissionLevels[1].Amount
		if moved > 0.21 || admitted > 0.11 { // a tenth of all requests, of which half come to this table
			t.Fatalf("%.2f moved and %.2f more admitted at once", moved, admitted)
		}
		steps++
	}
	// A version that needs no limit ends the small steps.
	chain.Propose(30*time.Second, weights(weight(0, "a0", 10), weight(0, "a1", 190)), "health", allReady)
	commands := weights(weight(0, "a0", 190), weight(0, "a1", 10))
	commands.AdmissionLevels = admissionLevel(1)
	chain.Propose(31*time.Second, commands, "health", allReady)
	if steps < 3 {
		t.Errorf("%d steps", steps)
	}
	expectWeight(t, chain, 0, "a0", 190)
}

func TestARollbackTakesEffectOnceWithTheServersOfNow(t *testing.T) {
	chain := newTestChain(t)
	first := chain.Head().ID
	commands := weights(weight(0, "a0", 20), weight(1, "b0", 20))
	commands.Barrier = 2
	chain.Propose(2*time.Second, commands, "health", allReady)
	view := fleet{"b0": unavailable, "b1": warming(0.25)}
	completed, fresh, err := chain.RollBack(3*time.Second, first, "k1", 0, view)
	if err != nil || !fresh || completed.Key != "k1" {
		t.Fatal(completed, fresh, err)
	}
	pinned, held := chain.Pinned()
	if !held || pinned.Weights[0]["a0"] != 100 || pinned.Weights[1]["b0"] != 0 || pinned.Weights[1]["b1"] != 25 {
		t.Errorf("%v", pinned.Weights)
	}
	chain.Propose(4*time.Second, weights(weight(0, "a0", 100)), "pin", view)
	if head := chain.Head(); head.CommandKey != "k1" || head.ID.Number != 3 {
		t.Errorf("%+v", head)
	}
	if again, fresh, err := chain.RollBack(9*time.Second, first, "k1", 0, view); fresh || err != nil || again != completed {
		t.Errorf("%+v %v %v", again, fresh, err)
	}
	if _, _, err := chain.RollBack(9*time.Second, chain.Head().ID, "k1", 0, view); !errors.Is(err, ErrRefused) {
		t.Errorf("a key serves for two commands: %v", err)
	}
}

func TestOfTwoRollbacksTheLaterHolds(t *testing.T) {
	chain := newTestChain(t)
	first := chain.Head().ID
	chain.Propose(2*time.Second, weights(weight(0, "a0", 20)), "health", allReady)
	second := chain.Head().ID
	chain.RollBack(3*time.Second, first, "x", 0, allReady)
	chain.RollBack(3*time.Second, second, "y", 0, allReady)
	if hold, _ := chain.CurrentHold(allReady); hold.Key != "y" || hold.Target != second || len(chain.CompletedCommands()) != 2 {
		t.Errorf("%+v %v", hold, chain.CompletedCommands())
	}
	if _, fresh, err := chain.RollBack(4*time.Second, first, "x", 0, allReady); fresh || err != nil {
		t.Errorf("the first takes effect again: %v", err)
	}
}

func TestRefusedCommands(t *testing.T) {
	chain := newTestChain(t)
	first := chain.Head().ID
	rollBack := func(chain *Chain, target tables.ID, key string, duration time.Duration, view FleetView) error {
		_, _, err := chain.RollBack(0, target, key, duration, view)
		return err
	}
	renumbered := newTestChain(t)
	renumbered.SetLayout("3 blocks")
	for want, err := range map[string]error{
		"all 2 that it named then are gone": rollBack(chain, first, "k", 0, fleet{"a0": unavailable, "a1": {}}),
		"is not kept":                       rollBack(chain, tables.ID{Epoch: 1, Number: 1}, "k", 0, allReady),
		"a key of 1 to 64":                  rollBack(chain, first, "", 0, allReady),
		"characters is due":                 rollBack(chain, first, strings.Repeat("k", 65), 0, allReady),
		"a hold lasts from":                 rollBack(chain, first, "k", time.Millisecond, allReady),
		"to 24h0m0s":                        rollBack(chain, first, "k", 25*time.Hour, allReady),
		"laid out otherwise":                rollBack(renumbered, first, "k", 0, allReady),
		"no version was sent yet":           rollBack(New(DefaultSettings(1)), first, "k", 0, allReady),
	} {
		expectRefused(t, err, want)
	}
	_, _, err := chain.Resume(0, "k")
	expectRefused(t, err, "nothing is held")
	_, _, err = New(DefaultSettings(1)).Hold(0, "k", 0)
	expectRefused(t, err, "no version was sent yet")
	_, _, err = chain.Hold(0, "k", time.Millisecond)
	expectRefused(t, err, "a hold lasts from")
	if _, held := chain.Pinned(); held || len(chain.CompletedCommands()) != 0 {
		t.Error("a refused command took effect")
	}
}

func expectRefused(t *testing.T, err error, reason string) {
	t.Helper()
	if !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), reason) {
		t.Errorf("error %v, want a refusal with %q", err, reason)
	}
}

func TestAHoldEndsByTimeOrCommandOrWithoutServers(t *testing.T) {
	chain := newTestChain(t)
	expectEnd := func(now time.Duration, view FleetView, want string) {
		t.Helper()
		records, ended := chain.EndExpiredHold(now, view)
		if !ended || len(records) != 1 || records[0].String() != want {
			t.Errorf("ended %v with %v, want %s", ended, records, want)
		}
	}
	chain.Hold(0, "h1", time.Minute)
	if _, ended := chain.EndExpiredHold(59*time.Second, allReady); ended {
		t.Error("ended early")
	}
	expectEnd(time.Minute, allReady, "event=hold_ended key=h1 reason=expired held_seconds=60")
	chain.Hold(0, "h2", time.Minute)
	mostGone := fleet{"a0": unavailable, "a1": unavailable, "b0": unavailable}
	expectEnd(time.Second, mostGone, "event=hold_ended key=h2 reason=servers_unavailable remaining_fraction=0.25 limit=0.50")
	chain.Hold(0, "h3", time.Minute)
	if _, fresh, err := chain.Resume(0, "r"); !fresh || err != nil {
		t.Error(err)
	}
	if _, held := chain.Pinned(); held {
		t.Error("still held")
	}
}
