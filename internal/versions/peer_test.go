package versions

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

func secret(t testing.TB, b byte) tables.Key {
	k, err := tables.NewKey(append(make([]byte, 31), b))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func heldBy(v *Version) tables.VersionRef { return tables.VersionRef{ID: v.ID, Digest: v.Digest} }

func TestAPeerIsSentADeltaFromWhatItHolds(t *testing.T) {
	c := chain(t)
	p := NewPeer(DefaultRetrySettings(), heldBy(c.Head()), 1)
	if d, wake := p.NextDelta(0, c.View()); d != nil || wake != 0 {
		t.Error("sent what it holds")
	}
	c.Propose(time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 50)}}, "health", all)
	c.Propose(time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a1", 60)}}, "health", all)
	d, _ := p.NextDelta(time.Second, c.View())
	if d == nil || d.IsSnapshot() || len(d.Ops) != 2 || d.ID != c.Head().ID {
		t.Fatalf("%+v", d)
	}
	if d, wake := p.NextDelta(time.Second, c.View()); d != nil || wake != 3*time.Second {
		t.Error("two under way")
	}
	p.HandleAck(heldBy(c.Head()))
	if d, _ := p.NextDelta(time.Second, c.View()); d != nil {
		t.Error("sent again")
	}
}

func TestAPeerThatDoesNotAnswerIsTriedEverMoreSlowly(t *testing.T) {
	c, tries := chain(t), 0
	p := NewPeer(DefaultRetrySettings(), tables.VersionRef{}, 1)
	for now := time.Duration(0); now < 10*time.Minute; now += 50 * time.Millisecond {
		if d, _ := p.NextDelta(now, c.View()); d != nil {
			if tries++; tries > 1 && !d.IsSnapshot() {
				t.Fatal("a delta again")
			}
		}
	}
	if tries < 15 || tries > 50 {
		t.Errorf("%d tries in ten minutes", tries)
	}
}

func TestAPeerOfAnotherWriterIsSentNothing(t *testing.T) {
	c := chain(t)
	p := NewPeer(DefaultRetrySettings(), tables.VersionRef{}, 1)
	p.NextDelta(0, c.View())
	p.HandleRejection(0, tables.OlderEpoch, tables.VersionRef{ID: tables.ID{Epoch: 9, Number: 1}})
	if d, _ := p.NextDelta(time.Hour, c.View()); d != nil || !p.Superseded() {
		t.Error("sent all the same")
	}
}

// mishap is what befalls a message between chain and holder.
var mishaps = []string{"none", "lost", "answer lost", "twice", "late", "flipped", "cut", "other key", "older epoch", "lies", "holder restarts", "holder forgets"}

// relays are holders that a chain feeds through mishaps; each keeps count of the versions that took effect.
type relays struct {
	c       *Chain
	chance  *rand.Rand
	keys    tables.Keys
	holders []*tables.Replica
	peers   []*Peer
	late    [][]byte
	seen    map[string]map[tables.Outcome]int
	effects []map[tables.ID]int
}

func (r *relays) answer(now time.Duration, i int, o tables.Outcome) {
	switch o {
	case tables.Applied:
		r.effects[i][r.holders[i].Version().ID]++
		r.peers[i].HandleAck(r.holders[i].Version())
	default:
		r.peers[i].HandleRejection(now, o, r.holders[i].Version())
	}
}

func (r *relays) count(what string, o tables.Outcome) {
	if r.seen[what] == nil {
		r.seen[what] = map[tables.Outcome]int{}
	}
	r.seen[what][o]++
}

// send carries one delta through a mishap; false where nothing was due.
func (r *relays) send(t *testing.T, now time.Duration, i int, what string) bool {
	d, _ := r.peers[i].NextDelta(now, r.c.View())
	h := r.holders[i]
	if due, _ := h.Ask(now); due {
		r.peers[i].HandleSnapshotRequest(h.Version())
	}
	if d == nil {
		return false
	}
	b, err := d.Encode(r.keys)
	if err != nil {
		t.Fatal(err)
	}
	before := h.Version()
	switch what {
	case "lost":
		return true
	case "flipped":
		b[r.chance.IntN(len(b))] ^= 1 << r.chance.IntN(8)
	case "cut":
		b = b[:r.chance.IntN(len(b))]
	case "other key":
		b, _ = d.Encode(tables.Keys{secret(t, 99)})
	case "older epoch":
		old := *d
		old.ID.Epoch = 0
		b, _ = old.Encode(r.keys)
	case "lies":
		lie := *d
		lie.Ops = append(lie.Ops[:len(lie.Ops):len(lie.Ops)], tables.Op{Kind: tables.SetWeight, Table: 3, Server: "liar", Weight: 1})
		b, _ = lie.Encode(r.keys)
	case "late":
		if len(r.late[i]) > 0 { // an old one comes first
			o, _ := h.Receive(now, r.late[i])
			r.count(what, o)
			if o == tables.Applied {
				r.effects[i][h.Version().ID]++
			}
		}
		r.late[i] = b
	case "holder restarts": // between receipt and acknowledgement: what it holds stays, the answer is lost
		if o, _ := h.Receive(now, b); o == tables.Applied {
			r.effects[i][h.Version().ID]++
		}
		r.peers[i] = NewPeer(DefaultRetrySettings(), h.Version(), uint64(i))
		return true
	case "holder forgets":
		r.holders[i] = tables.NewReplica(r.keys, tables.RetrySettings{InitialInterval: 100 * time.Millisecond, MaxInterval: time.Second}, uint64(i))
		r.peers[i], r.effects[i] = NewPeer(DefaultRetrySettings(), r.holders[i].Version(), uint64(i)), map[tables.ID]int{}
		return true
	}
	o, _ := h.Receive(now, b)
	r.count(what, o)
	if bad := what == "flipped" || what == "cut" || what == "other key" || what == "lies"; bad && (o == tables.Applied || h.Version() != before) {
		t.Fatalf("%s: %v, %v is held after %v", what, o, h.Version(), before)
	}
	if what == "twice" {
		if o == tables.Applied {
			r.effects[i][h.Version().ID]++
		}
		if again, _ := h.Receive(now, b); again == tables.Applied {
			t.Fatal("applied twice")
		}
		r.peers[i].HandleAck(h.Version())
		return true
	}
	if what == "answer lost" || what == "older epoch" { // the latter is another writer's, and so is its answer
		if o == tables.Applied {
			r.effects[i][h.Version().ID]++
		}
		return true
	}
	r.answer(now, i, o)
	return true
}

// 10,000 mishaps over 50 holders: each always runs a state that was once right, none applies a version twice, and
// once mishaps end all run the newest, also where that is a way back.
func TestTenThousandMishapsOverFiftyHolders(t *testing.T) {
	c := chain(t)
	r := &relays{c: c, chance: rand.New(rand.NewPCG(1, 2)), keys: tables.Keys{secret(t, 1)}, seen: map[string]map[tables.Outcome]int{}}
	for i := range 50 {
		r.holders = append(r.holders, tables.NewReplica(r.keys, tables.RetrySettings{InitialInterval: 100 * time.Millisecond, MaxInterval: time.Second}, uint64(i)))
		r.peers = append(r.peers, NewPeer(DefaultRetrySettings(), tables.VersionRef{}, uint64(i)))
		r.late, r.effects = append(r.late, nil), append(r.effects, map[tables.ID]int{})
	}
	good := map[tables.Digest]bool{tables.EmptyState().Digest(): true, c.Head().Digest: true}
	befell, now := 0, time.Duration(0)
	for step := 0; befell < 10_000 && step < 100_000; step++ {
		if now += 20 * time.Millisecond; step%3 == 0 {
			c.Propose(now, balancer.Commands{Weights: []balancer.EndpointWeight{line(step%2, fmt.Sprintf("%c%d", 'a'+step%2, step%4/2), 50+float64(r.chance.IntN(100)))}}, "health", all)
		}
		if step%997 == 996 { // a way back in the middle of a push
			if _, fresh, err := c.RollBack(now, c.Versions()[len(c.Versions())/2].ID, fmt.Sprint("k", step), time.Hour, all); err != nil || !fresh {
				t.Fatal(err)
			}
			pin, _ := c.Pinned()
			var o balancer.Commands
			for id, lines := range pin.Weights {
				for s, w := range lines {
					o.Weights = append(o.Weights, line(int(id), string(s), w))
				}
			}
			c.Propose(now, o, "rollback", all)
		}
		good[c.Head().Digest] = true
		for i := range r.holders {
			if r.send(t, now, i, mishaps[r.chance.IntN(len(mishaps))]) {
				befell++
			}
			if !good[r.holders[i].Version().Digest] || r.holders[i].State().Digest() != r.holders[i].Version().Digest {
				t.Fatalf("holder %d runs %v, which never was", i, r.holders[i].Version())
			}
		}
	}
	for end := now + 2*time.Minute; now < end; now += 20 * time.Millisecond {
		for i := range r.holders {
			r.send(t, now, i, "none")
		}
	}
	for i, h := range r.holders {
		if h.Version() != heldBy(c.Head()) {
			t.Errorf("holder %d runs %v, not %v", i, h.Version().ID, c.Head().ID)
		}
		for id, n := range r.effects[i] {
			if n > 1 {
				t.Errorf("holder %d: version %v took effect %d times", i, id, n)
			}
		}
	}
	for _, what := range mishaps {
		t.Logf("%-16s %v", what, r.seen[what])
	}
	for _, must := range []tables.Outcome{tables.Applied, tables.AlreadyApplied, tables.Malformed, tables.Unauthenticated, tables.OlderEpoch, tables.WrongDigest} {
		n := 0
		for _, of := range r.seen {
			n += of[must]
		}
		if n == 0 {
			t.Errorf("%v never came about", must)
		}
	}
}
