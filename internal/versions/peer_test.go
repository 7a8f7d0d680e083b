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

func TestPeerSendsDeltaFromReplicaVersion(t *testing.T) {
	chain := newTestChain(t)
	peer := NewPeer(DefaultRetrySettings(), versionRef(chain.Head()), 1)
	if delta, wake := peer.NextDelta(0, chain.View()); delta != nil || wake != 0 {
		t.Errorf("sent %+v, wake %v, although the replica runs the newest version", delta, wake)
	}
	chain.Propose(time.Second, weights(weight(0, "a0", 50)), "health", allReady)
	chain.Propose(time.Second, weights(weight(0, "a1", 60)), "health", allReady)
	delta, _ := peer.NextDelta(time.Second, chain.View())
	if delta == nil || delta.IsSnapshot() || len(delta.Ops) != 2 || delta.ID != chain.Head().ID {
		t.Fatalf("sent %+v, want a delta of 2 operations to the newest version", delta)
	}
	if delta, wake := peer.NextDelta(time.Second, chain.View()); delta != nil || wake != 3*time.Second {
		t.Errorf("sent %+v, wake %v, while another delta is in flight", delta, wake)
	}
	peer.HandleAck(versionRef(chain.Head()))
	if delta, _ := peer.NextDelta(time.Second, chain.View()); delta != nil {
		t.Errorf("sent %+v after the acknowledgement", delta)
	}
}

func TestPeerBacksOffFromSilentReplica(t *testing.T) {
	chain := newTestChain(t)
	peer := NewPeer(DefaultRetrySettings(), tables.VersionRef{}, 1)
	attempts := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 50 * time.Millisecond {
		delta, _ := peer.NextDelta(now, chain.View())
		if delta == nil {
			continue
		}
		if attempts++; attempts > 1 && !delta.IsSnapshot() {
			t.Fatal("a retry was not a snapshot")
		}
	}
	if attempts < 15 || attempts > 50 {
		t.Errorf("%d attempts in ten minutes, want 15 to 50", attempts)
	}
	if failures, _ := peer.FailedAttempts(); failures < attempts-1 || failures > attempts {
		t.Errorf("%d failures recorded for %d attempts", failures, attempts)
	}
}

func TestSupersededPeerSendsNothing(t *testing.T) {
	chain := newTestChain(t)
	peer := NewPeer(DefaultRetrySettings(), tables.VersionRef{}, 1)
	peer.NextDelta(0, chain.View())
	newer := tables.VersionRef{ID: tables.ID{Epoch: 9, Number: 1}}
	peer.HandleRejection(0, tables.OlderEpoch, newer)
	if delta, _ := peer.NextDelta(time.Hour, chain.View()); delta != nil || !peer.Superseded() || peer.Version() != newer {
		t.Errorf("sent %+v, superseded %v, version %v", delta, peer.Superseded(), peer.Version())
	}
}

// The retry times for a seed must not change: the expected sequence is that of the previous release.
func TestJitterSequenceOfASeedIsStable(t *testing.T) {
	rng := newJitter(7)
	for _, want := range []float64{0.9104513683222774, 0.06796886211480158} {
		if got := rng.next(); got != want {
			t.Errorf("next number is %v, want %v", got, want)
		}
	}
}
