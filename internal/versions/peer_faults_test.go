package versions

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// deliveryFault is a fault injected between the chain and a replica.
type deliveryFault string

const (
	noFault          deliveryFault = "none"
	deltaLost        deliveryFault = "delta lost"
	answerLost       deliveryFault = "answer lost"
	duplicated       deliveryFault = "duplicated"
	reordered        deliveryFault = "reordered"
	bitFlipped       deliveryFault = "bit flipped"
	truncated        deliveryFault = "truncated"
	unknownKey       deliveryFault = "unknown key"
	olderEpoch       deliveryFault = "older epoch"
	wrongOps         deliveryFault = "wrong operations"
	replicaRestarted deliveryFault = "replica restarted"
	replicaStateLost deliveryFault = "replica lost state"
)

var deliveryFaults = []deliveryFault{noFault, deltaLost, answerLost, duplicated, reordered, bitFlipped, truncated, unknownKey,
	olderEpoch, wrongOps, replicaRestarted, replicaStateLost}

// mustBeRejected reports whether a replica must not apply a delta delivered with this fault.
func (f deliveryFault) mustBeRejected() bool {
	return f == bitFlipped || f == truncated || f == unknownKey || f == wrongOps
}

// answerIsLost reports whether the peer gets no answer. A delta of an older epoch comes from another manager, which also
// gets the answer.
func (f deliveryFault) answerIsLost() bool { return f == answerLost || f == olderEpoch }

// testReplica is a replica that receives deltas through a faulty network.
type testReplica struct {
	seed    uint64
	replica *tables.Replica
	peer    *Peer
	delayed []byte            // delta that a reordering fault delivers later
	applied map[tables.ID]int // number of times that each version was applied
}

// faultyNetwork delivers the versions of a chain to replicas, with faults.
type faultyNetwork struct {
	chain     *Chain
	rng       *rand.Rand
	keys      tables.Keys
	otherKeys tables.Keys
	replicas  []*testReplica
	outcomes  map[deliveryFault]map[tables.Outcome]int
}

func newReplica(keys tables.Keys, seed uint64) *tables.Replica {
	settings := tables.RetrySettings{InitialInterval: 100 * time.Millisecond, MaxInterval: time.Second}
	return tables.NewReplica(keys, settings, seed)
}

func newFaultyNetwork(t *testing.T, replicas int) *faultyNetwork {
	t.Helper()
	n := &faultyNetwork{
		chain:     newTestChain(t),
		rng:       rand.New(rand.NewPCG(1, 2)),
		keys:      testKeys(t, 1),
		otherKeys: testKeys(t, 99),
		outcomes:  map[deliveryFault]map[tables.Outcome]int{},
	}
	for _, fault := range deliveryFaults {
		n.outcomes[fault] = map[tables.Outcome]int{}
	}
	for i := range replicas {
		n.replicas = append(n.replicas, &testReplica{
			seed:    uint64(i),
			replica: newReplica(n.keys, uint64(i)),
			peer:    NewPeer(DefaultRetrySettings(), tables.VersionRef{}, uint64(i)),
			applied: map[tables.ID]int{},
		})
	}
	return n
}

// receive passes an encoded delta to the replica and counts the applied versions.
func (r *testReplica) receive(now time.Duration, encoded []byte) tables.Outcome {
	outcome, _ := r.replica.Receive(now, encoded)
	if outcome == tables.Applied {
		r.applied[r.replica.Version().ID]++
	}
	return outcome
}

// answer reports the outcome of a delta to the peer.
func (r *testReplica) answer(now time.Duration, outcome tables.Outcome) {
	if outcome == tables.Applied {
		r.peer.HandleAck(r.replica.Version())
	} else {
		r.peer.HandleRejection(now, outcome, r.replica.Version())
	}
}

func encode(t *testing.T, delta tables.Delta, keys tables.Keys) []byte {
	t.Helper()
	encoded, err := delta.Encode(keys)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// encodeWith encodes a delta with the damage that a fault causes.
func (n *faultyNetwork) encodeWith(t *testing.T, fault deliveryFault, delta tables.Delta) []byte {
	t.Helper()
	encoded := encode(t, delta, n.keys)
	switch fault {
	case bitFlipped:
		encoded[n.rng.IntN(len(encoded))] ^= 1 << n.rng.IntN(8)
	case truncated:
		encoded = encoded[:n.rng.IntN(len(encoded))]
	case unknownKey:
		encoded = encode(t, delta, n.otherKeys)
	case olderEpoch:
		delta.ID.Epoch = 0
		encoded = encode(t, delta, n.keys)
	case wrongOps:
		wrong := tables.Op{Kind: tables.SetWeight, Table: 3, Server: "wrong", Weight: 1}
		delta.Ops = append(delta.Ops[:len(delta.Ops):len(delta.Ops)], wrong)
		encoded = encode(t, delta, n.keys)
	}
	return encoded
}

// deliver delivers one delta to a replica with a fault. It returns false if the peer had none to send.
func (n *faultyNetwork) deliver(t *testing.T, now time.Duration, r *testReplica, fault deliveryFault) bool {
	t.Helper()
	delta, _ := r.peer.NextDelta(now, n.chain.View())
	if r.replica.SnapshotRequestDue(now) {
		r.peer.HandleSnapshotRequest(r.replica.Version())
	}
	if delta == nil {
		return false
	}
	encoded := n.encodeWith(t, fault, *delta)
	before := r.replica.Version()
	switch fault {
	case deltaLost:
		return true
	case reordered:
		if len(r.delayed) > 0 { // the older delta arrives first
			n.outcomes[fault][r.receive(now, r.delayed)]++
		}
		r.delayed = encoded
	case replicaRestarted: // the replica restarts after receiving the delta: it keeps its version, but the answer is lost
		r.receive(now, encoded)
		r.peer = NewPeer(DefaultRetrySettings(), r.replica.Version(), r.seed)
		return true
	case replicaStateLost:
		r.replica = newReplica(n.keys, r.seed)
		r.peer = NewPeer(DefaultRetrySettings(), r.replica.Version(), r.seed)
		r.applied = map[tables.ID]int{}
		return true
	}
	outcome := r.receive(now, encoded)
	n.outcomes[fault][outcome]++
	if fault.mustBeRejected() && (outcome == tables.Applied || r.replica.Version() != before) {
		t.Fatalf("%s: outcome %v, version changed from %v to %v, want a rejection", fault, outcome, before, r.replica.Version())
	}
	if fault == duplicated {
		if again, _ := r.replica.Receive(now, encoded); again == tables.Applied {
			t.Fatal("the replica applied a duplicated delta twice")
		}
		r.peer.HandleAck(r.replica.Version())
	} else if !fault.answerIsLost() {
		r.answer(now, outcome)
	}
	return true
}

// proposeChange creates a new version at some steps, and rarely a rollback while deltas are in flight.
func (n *faultyNetwork) proposeChange(t *testing.T, now time.Duration, step int) {
	t.Helper()
	if step%3 == 0 {
		server := fmt.Sprintf("%c%d", 'a'+step%2, step%4/2)
		n.chain.Propose(now, weights(weight(step%2, server, 50+float64(n.rng.IntN(100)))), "health", allReady)
	}
	if step%997 != 996 {
		return
	}
	kept := n.chain.Versions()
	target := kept[len(kept)/2].ID
	if _, executed, err := n.chain.RollBack(now, target, fmt.Sprint("k", step), time.Hour, allReady); err != nil || !executed {
		t.Fatal(executed, err)
	}
	pinned, _ := n.chain.Pinned()
	var commands balancer.Commands
	for table, pinnedWeights := range pinned.Weights {
		for server, pinnedWeight := range pinnedWeights {
			commands.Weights = append(commands.Weights, weight(int(table), string(server), pinnedWeight))
		}
	}
	n.chain.Propose(now, commands, "rollback", allReady)
}

// deliveryStep is the simulated time between two deliveries to the same replica.
const deliveryStep = 20 * time.Millisecond

// Under faults, each replica must always run a state that was current at some time, and must not apply a version twice.
// Once the faults end, all replicas must run the newest version, even if a rollback created it.
func TestTenThousandFaultsWithFiftyReplicas(t *testing.T) {
	n := newFaultyNetwork(t, 50)
	wasCurrent := map[tables.Digest]bool{tables.EmptyState().Digest(): true, n.chain.Head().Digest: true}
	now := time.Duration(0)
	delivered := 0
	for step := 0; delivered < 10_000 && step < 100_000; step++ {
		now += deliveryStep
		n.proposeChange(t, now, step)
		wasCurrent[n.chain.Head().Digest] = true
		for i, r := range n.replicas {
			if n.deliver(t, now, r, deliveryFaults[n.rng.IntN(len(deliveryFaults))]) {
				delivered++
			}
			version := r.replica.Version()
			if !wasCurrent[version.Digest] || r.replica.State().Digest() != version.Digest {
				t.Fatalf("replica %d runs version %v, which was never current", i, version)
			}
		}
	}
	for end := now + 2*time.Minute; now < end; now += deliveryStep {
		for _, r := range n.replicas {
			n.deliver(t, now, r, noFault)
		}
	}
	n.expectAllRunTheNewest(t)
	n.expectOutcomes(t, tables.Applied, tables.AlreadyApplied, tables.Malformed, tables.Unauthenticated, tables.OlderEpoch, tables.WrongDigest)
}

func (n *faultyNetwork) expectAllRunTheNewest(t *testing.T) {
	t.Helper()
	for i, r := range n.replicas {
		if r.replica.Version() != versionRef(n.chain.Head()) {
			t.Errorf("replica %d runs version %v, want %v", i, r.replica.Version().ID, n.chain.Head().ID)
		}
		for id, times := range r.applied {
			if times > 1 {
				t.Errorf("replica %d applied version %v %d times", i, id, times)
			}
		}
	}
}

// expectOutcomes checks that the faults led to each of these outcomes at least once.
func (n *faultyNetwork) expectOutcomes(t *testing.T, outcomes ...tables.Outcome) {
	t.Helper()
	total := map[tables.Outcome]int{}
	for _, fault := range deliveryFaults {
		t.Logf("%-18s %v", fault, n.outcomes[fault])
		for outcome, times := range n.outcomes[fault] {
			total[outcome] += times
		}
	}
	for _, outcome := range outcomes {
		if total[outcome] == 0 {
			t.Errorf("no delta had the outcome %v", outcome)
		}
	}
}
