package versions

import (
	"errors"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// admissionLevel returns the command that sets the fraction of class 1 requests admitted by table 0.
func admissionLevel(amount float64) []balancer.AdmissionLevel {
	return []balancer.AdmissionLevel{{Table: 0, Classes: 1, Amount: amount}}
}

func TestRollbackIsNotLimited(t *testing.T) {
	chain := newTestChain(t)
	chain.phase = resuming // a hold ended shortly before
	chain.beginHold("k", tables.ID{}, PinnedTables{}, time.Minute)
	chain.Propose(2*time.Second, weights(weight(0, "a0", 10), weight(0, "a1", 190)), "rollback", allReady)
	expectWeight(t, chain, 0, "a0", 10)
}

// When a hold ends, the decisions made during the hold must not be applied in one step.
func TestVersionsAfterAHoldMoveInSmallSteps(t *testing.T) {
	chain := newTestChain(t)
	chain.Propose(time.Second, balancer.Commands{AdmissionLevels: admissionLevel(0.5)}, "overload", allReady)
	chain.beginHold("k", tables.ID{}, PinnedTables{}, time.Second)
	if _, ended := chain.EndExpiredHold(2*time.Second, allReady); !ended {
		t.Fatal("the expired hold did not end")
	}
	steps := 0
	for second := 3; second < 20 && weightOf(chain, 0, "a0") > 10.5; second++ {
		before := &proposal{current: chain.State(), view: allReady}
		commands := weights(weight(0, "a0", 10), weight(0, "a1", 190))
		commands.AdmissionLevels = admissionLevel(1)
		chain.Propose(time.Duration(second)*time.Second, commands, "pin", allReady)
		moved := movedSince(before, chain, 0)
		admitted := chain.State().Table(0).AdmissionLevels[1].Amount - before.current.Table(0).AdmissionLevels[1].Amount
		if moved > 0.21 || admitted > 0.11 { // the limit of 0.1 of all requests is 0.2 of this table's, which gets half of them
			t.Fatalf("in one version %.2f of the table moved and the admission level rose by %.2f", moved, admitted)
		}
		steps++
	}
	// A version that needs no limit ends the small steps, so the next one may move more.
	chain.Propose(30*time.Second, weights(weight(0, "a0", 10), weight(0, "a1", 190)), "health", allReady)
	commands := weights(weight(0, "a0", 190), weight(0, "a1", 10))
	commands.AdmissionLevels = admissionLevel(1)
	chain.Propose(31*time.Second, commands, "health", allReady)
	if steps < 3 {
		t.Errorf("%d steps, want at least 3", steps)
	}
	expectWeight(t, chain, 0, "a0", 190)
}

func TestRollbackRunsOncePerKeyWithAvailableServers(t *testing.T) {
	chain := newTestChain(t)
	first := chain.Head().ID
	commands := weights(weight(0, "a0", 20), weight(1, "b0", 20))
	commands.Barrier = 2
	chain.Propose(2*time.Second, commands, "health", allReady)
	view := fakeFleet{"b0": unavailable, "b1": warming(0.25)}
	completed, executed, err := chain.RollBack(3*time.Second, first, "k1", 0, view)
	if err != nil || !executed || completed.Key != "k1" {
		t.Fatal(completed, executed, err)
	}
	pin, pinned := chain.Pinned()
	if !pinned || pin.Weights[0]["a0"] != 100 || pin.Weights[1]["b0"] != 0 || pin.Weights[1]["b1"] != 25 {
		t.Errorf("pinned %v, weights %v", pinned, pin.Weights)
	}
	chain.Propose(4*time.Second, weights(weight(0, "a0", 100)), "pin", view)
	if head := chain.Head(); head.CommandKey != "k1" || head.ID.Number != 3 {
		t.Errorf("head %+v, want version 7.3 with key k1", head)
	}
	if again, executed, err := chain.RollBack(9*time.Second, first, "k1", 0, view); executed || err != nil || again != completed {
		t.Errorf("repeated key: %+v, executed %v, error %v, want the first result", again, executed, err)
	}
	if _, _, err := chain.RollBack(9*time.Second, chain.Head().ID, "k1", 0, view); !errors.Is(err, ErrRefused) {
		t.Errorf("key k1 with another target: error %v, want ErrRefused", err)
	}
}

func TestLaterRollbackReplacesEarlierOne(t *testing.T) {
	chain := newTestChain(t)
	first := chain.Head().ID
	chain.Propose(2*time.Second, weights(weight(0, "a0", 20)), "health", allReady)
	second := chain.Head().ID
	chain.RollBack(3*time.Second, first, "x", 0, allReady)
	chain.RollBack(3*time.Second, second, "y", 0, allReady)
	if hold, _ := chain.CurrentHold(allReady); hold.Key != "y" || hold.Target != second || len(chain.CompletedCommands()) != 2 {
		t.Errorf("hold %+v after %v, want key y and target %v", hold, chain.CompletedCommands(), second)
	}
	if _, executed, err := chain.RollBack(4*time.Second, first, "x", 0, allReady); executed || err != nil {
		t.Errorf("repeated key x: executed %v, error %v, want neither", executed, err)
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
		"all 2 servers that it had in the target version are gone": rollBack(chain, first, "k", 0, fakeFleet{"a0": unavailable, "a1": {}}),
		"is not kept":              rollBack(chain, tables.ID{Epoch: 1, Number: 1}, "k", 0, allReady),
		"key must have 1 to 64":    rollBack(chain, first, "", 0, allReady),
		"must have 1 to 64 bytes":  rollBack(chain, first, strings.Repeat("k", 65), 0, allReady),
		"a hold must last from 1s": rollBack(chain, first, "k", time.Millisecond, allReady),
		"to 24h0m0s, not 25h0m0s":  rollBack(chain, first, "k", 25*time.Hour, allReady),
		`has the table layout "", the current layout is "3 blocks"`: rollBack(renumbered, first, "k", 0, allReady),
		"no version was sent yet":                                   rollBack(New(DefaultSettings(1)), first, "k", 0, allReady),
	} {
		expectErrRefused(t, err, want)
	}
	_, _, err := chain.Resume(0, "k")
	expectErrRefused(t, err, "no hold is in force")
	_, _, err = New(DefaultSettings(1)).Hold(0, "k", 0)
	expectErrRefused(t, err, "no version was sent yet")
	_, _, err = chain.Hold(0, "k", time.Millisecond)
	expectErrRefused(t, err, "a hold must last from 1s")
	if _, pinned := chain.Pinned(); pinned || len(chain.CompletedCommands()) != 0 {
		t.Error("a refused command took effect")
	}
}

func expectErrRefused(t *testing.T, err error, reason string) {
	t.Helper()
	if !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), reason) {
		t.Errorf("error %v, want ErrRefused with %q", err, reason)
	}
}

func TestHoldEndsByTimeCommandOrLossOfServers(t *testing.T) {
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
		t.Error("hold h1 ended before it expired")
	}
	expectEnd(time.Minute, allReady, "event=hold_ended key=h1 reason=expired held_seconds=60")
	chain.Hold(0, "h2", time.Minute)
	mostGone := fakeFleet{"a0": unavailable, "a1": unavailable, "b0": unavailable}
	expectEnd(time.Second, mostGone, "event=hold_ended key=h2 reason=servers_unavailable remaining_fraction=0.25 limit=0.50")
	chain.Hold(0, "h3", time.Minute)
	if _, executed, err := chain.Resume(0, "r"); !executed || err != nil {
		t.Errorf("resume: executed %v, error %v", executed, err)
	}
	if _, pinned := chain.Pinned(); pinned {
		t.Error("the tables are still held after resume")
	}
}
