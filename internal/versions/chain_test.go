package versions

import (
	"slices"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

func TestPossibleBasesIncludeUnacknowledgedVersions(t *testing.T) {
	chain := newTestChain(t)
	chain.HandleBarrierAck(time.Second, 1)
	for barrier := range 2 {
		commands := weights(weight(0, "a0", float64(20+barrier)))
		commands.Barrier = balancer.BarrierID(2 + barrier)
		chain.Propose(time.Duration(2+barrier)*time.Second, commands, "health", allReady)
	}
	id := func(number uint64) tables.ID { return tables.ID{Epoch: 7, Number: number} }
	if got := chain.PossibleBases(); !slices.Equal(got, []tables.ID{id(3), id(2), id(1)}) {
		t.Errorf("before the acknowledgement: possible bases %v, want 7.3, 7.2 and 7.1", got)
	}
	chain.HandleBarrierAck(4*time.Second, 3)
	if got := chain.PossibleBases(); !slices.Equal(got, []tables.ID{id(3)}) {
		t.Errorf("after the acknowledgement: possible bases %v, want 7.3", got)
	}
}

func TestKeptVersionsAreBounded(t *testing.T) {
	chain := newTestChain(t)
	chain.settings.MaxVersions = 50
	chain.settings.MaxVersionBytes = 1 << 14
	for i := range 500 {
		chain.Propose(time.Duration(i)*time.Second, weights(weight(i%2, "a0", float64(100+i))), "health", allReady)
	}
	if n := len(chain.Versions()); n > 50 || n < 10 || chain.size > 1<<14 {
		t.Errorf("%d versions of %d bytes kept, want 10 to 50 of at most %d bytes", n, chain.size, 1<<14)
	}
	sum := 0
	for _, version := range chain.Versions() {
		sum += version.size
	}
	if sum != chain.size || chain.Head().ID.Number != 500 {
		t.Errorf("size of versions is %d, recorded as %d; head %v, want 7.500", sum, chain.size, chain.Head().ID)
	}
}

func TestRecoveredVersionsAreKeptButNotCurrent(t *testing.T) {
	earlier := newTestChain(t)
	earlier.Propose(2*time.Second, weights(weight(0, "a0", 20)), "health", allReady)
	completed, _, err := earlier.Hold(2*time.Second, "k", 0)
	if err != nil {
		t.Fatal(err)
	}
	chain := New(DefaultSettings(8))
	chain.Recover(earlier.Versions(), earlier.CompletedCommands())
	if chain.Head() != nil || chain.State().Digest() != tables.EmptyState().Digest() {
		t.Errorf("head %v, state %v, want no head and the empty state", chain.Head(), chain.State().Digest())
	}
	if _, err := chain.FindVersion(tables.ID{Epoch: 7, Number: 2}); err != nil {
		t.Error(err)
	}
	if again, executed, err := chain.Hold(3*time.Second, "k", 0); executed || err != nil || again != completed {
		t.Errorf("repeated key: %+v, executed %v, error %v, want the recovered command", again, executed, err)
	}
}

func TestVerifyDetectsCorruptVersions(t *testing.T) {
	chain := newTestChain(t)
	chain.Propose(2*time.Second, weights(weight(0, "a0", 20)), "health", allReady)
	lines, err := chain.Verify()
	if err != nil || len(lines) != 2 || !strings.HasSuffix(lines[0], "): the state matches its digest; the previous version is not kept") ||
		lines[1] != "the digests of all 2 versions match" {
		t.Errorf("intact versions: lines %q, error %v, want 2 lines and no error", lines, err)
	}
	intact := *chain.versions[1]
	chain.versions[1].Ops = nil
	if _, err := chain.Verify(); err == nil || !strings.Contains(err.Error(), "version 7.2 does not follow from version 7.1") {
		t.Errorf("version without operations: error %v, want one about versions 7.1 and 7.2", err)
	}
	*chain.versions[1] = intact
	chain.versions[1].Digest = tables.Digest{}
	if _, err := chain.Verify(); err == nil || !strings.Contains(err.Error(), "version 7.2: its state has digest") {
		t.Errorf("version with a wrong digest: error %v, want one about the digest of version 7.2", err)
	}
}
