package versions

import (
	"testing"
	"time"

	"tamarindshore/client/tables"
)

func testKeys(t testing.TB, last byte) tables.Keys {
	t.Helper()
	key, err := tables.NewKey(append(make([]byte, 31), last))
	if err != nil {
		t.Fatal(err)
	}
	return tables.Keys{key}
}

func TestAPeerIsSentADeltaFromItsVersion(t *testing.T) {
	chain := newTestChain(t)
	peer := NewPeer(DefaultRetrySettings(), refOf(chain.Head()), 1)
	if delta, wake := peer.NextDelta(0, chain.View()); delta != nil || wake != 0 {
		t.Error("sent what it runs")
	}
	chain.Propose(time.Second, weights(weight(0, "a0", 50)), "health", allReady)
	chain.Propose(time.Second, weights(weight(0, "a1", 60)), "health", allReady)
	delta, _ := peer.NextDelta(time.Second, chain.View())
	if delta == nil || delta.IsSnapshot() || len(delta.Ops) != 2 || delta.ID != chain.Head().ID {
		t.Fatalf("%+v", delta)
	}
	if delta, wake := peer.NextDelta(time.Second, chain.View()); delta != nil || wake != 3*time.Second {
		t.Error("two are in flight")
	}
	peer.HandleAck(refOf(chain.Head()))
	if delta, _ := peer.NextDelta(time.Second, chain.View()); delta != nil {
		t.Error("sent again")
	}
}

func TestAPeerThatDoesNotAnswerIsTriedEverMoreSlowly(t *testing.T) {
	chain := newTestChain(t)
	peer := NewPeer(DefaultRetrySettings(), tables.VersionRef{}, 1)
	attempts := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 50 * time.Millisecond {
		delta, _ := peer.NextDelta(now, chain.View())
		if delta == nil {
			continue
		}
		if attempts++; attempts > 1 && !delta.IsSnapshot() {
			t.Fatal("a delta again")
		}
	}
	if attempts < 15 || attempts > 50 {
		t.Errorf("%d attempts in ten minutes", attempts)
	}
	if failures, _ := peer.FailedAttempts(); failures < attempts-1 || failures > attempts {
		t.Errorf("%d failures of %d attempts", failures, attempts)
	}
}

func TestAPeerOfAnotherManagerIsSentNothing(t *testing.T) {
	chain := newTestChain(t)
	peer := NewPeer(DefaultRetrySettings(), tables.VersionRef{}, 1)
	peer.NextDelta(0, chain.View())
	later := tables.VersionRef{ID: tables.ID{Epoch: 9, Number: 1}}
	peer.HandleRejection(0, tables.OlderEpoch, later)
	if delta, _ := peer.NextDelta(time.Hour, chain.View()); delta != nil || !peer.Superseded() || peer.Version() != later {
		t.Errorf("sent %+v, superseded %v, version %v", delta, peer.Superseded(), peer.Version())
	}
}

// The attempts for a seed stay where they were: the sequence is that of the release before.
func TestTheJitterOfASeedStaysTheSame(t *testing.T) {
	rng := newJitter(7)
	for _, want := range []float64{0.9104513683222774, 0.06796886211480158} {
		if got := rng.next(); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
}
