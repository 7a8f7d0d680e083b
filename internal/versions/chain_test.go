package versions

import (
	"slices"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

func TestWithoutAnAckEitherVersionMayBeInForce(t *testing.T) {
	chain := newTestChain(t)
	chain.HandleBarrierAck(time.Second, 1)
	for barrier := range 2 {
		commands := weights(weight(0, "a0", float64(20+barrier)))
		commands.Barrier = balancer.BarrierID(2 + barrier)
		chain.Propose(time.Duration(2+barrier)*time.Second, commands, "health", allReady)
	}
	id := func(number uint64) tables.ID { return tables.ID{Epoch: 7, Number: number} }
	if got := chain.PossibleBases(); !slices.Equal(got, []tables.ID{id(3), id(2), id(1)}) {
		t.Errorf("%v", got)
	}
	chain.HandleBarrierAck(4*time.Second, 3)
	if got := chain.PossibleBases(); !slices.Equal(got, []tables.ID{id(3)}) {
		t.Errorf("%v", got)
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
		t.Errorf("%d versions in %d bytes", n, chain.size)
	}
	sum := 0
	for _, version := range chain.Versions() {
		sum += version.size
	}
	if sum != chain.size || chain.Head().ID.Number != 500 {
		t.Errorf("%d counted as %d, head %v", sum, chain.size, chain.Head().ID)
	}
}

func TestRecoveredVersionsAreKeptAndNotCurrent(t *testing.T) {
	earlier := newTestChain(t)
	earlier.Propose(2*time.Second, weights(weight(0, "a0", 20)), "health", allReady)
	completed, _, err := earlier.Hold(2*time.Second, "k", 0)
	if err != nil {
		t.Fatal(err)
	}
	chain := New(DefaultSettings(8))
	chain.Recover(earlier.Versions(), earlier.CompletedCommands())
	if chain.Head() != nil || chain.State().Digest() != tables.EmptyState().Digest() {
		t.Errorf("head %v, state %v", chain.Head(), chain.State().Digest())
	}
	if _, err := chain.FindVersion(tables.ID{Epoch: 7, Number: 2}); err != nil {
		t.Error(err)
	}
	if again, fresh, err := chain.Hold(3*time.Second, "k", 0); fresh || err != nil || again != completed {
		t.Errorf("%+v %v %v", again, fresh, err)
	}
}

func TestVerifyFollowsTheKeptVersions(t *testing.T) {
	chain := newTestChain(t)
	chain.Propose(2*time.Second, weights(weight(0, "a0", 20)), "health", allReady)
	lines, err := chain.Verify()
	if err != nil || len(lines) != 2 || !strings.HasSuffix(lines[0], "holds; what it came from is not kept") || lines[1] != "2 versions hold" {
		t.Errorf("%q, error %v", lines, err)
	}
	intact := *chain.versions[1]
	chain.versions[1].Ops = nil
	if _, err := chain.Verify(); err == nil || !strings.Contains(err.Error(), "version 7.2 does not follow") {
		t.Errorf("error %v", err)
	}
	*chain.versions[1] = intact
	chain.versions[1].Digest = tables.Digest{}
	if _, err := chain.Verify(); err == nil || !strings.Contains(err.Error(), "version 7.2: its state is") {
		t.Errorf("error %v", err)
	}
}
