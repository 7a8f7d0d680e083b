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

func heldBy(v *Version) tables.Held { return tables.Held{ID: v.ID, Digest: v.Digest} }

func TestAPeerIsSentADeltaFromWhatItHolds(t *testing.T) {
	c := chain(t)
	p := NewPeer(UsualTrying(), heldBy(c.Head()), 1)
	if d, wake := p.Next(0, c.View()); d != nil || wake != 0 {
		t.Error("sent what it holds")
	}
	c.Propose(time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 50)}}, "health", all)
	c.Propose(time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a1", 60)}}, "health", all)
	d, _ := p.Next(time.Second, c.View())
	if d == nil || d.Whole() || len(d.Ops) != 2 || d.ID != c.Head().ID {
		t.Fatalf("%+v", d)
	}
	if d, wake := p.Next(time.Second, c.View()); d != nil || wake != 3*time.Second {
		t.Error("two under way")
	}
	p.Acked(heldBy(c.Head()))
	if d, _ := p.Next(time.Second, c.View()); d != nil {
		t.Error("sent again")
	}
}

func TestAPeerThatDoesNotAnswerIsTriedEverMoreSlowly(t *testing.T) {
	c, tries := chain(t), 0
	p := NewPeer(UsualTrying(), tables.Held{}, 1)
	for now := time.Duration(0); now < 10*time.Minute; now += 50 * time.Millisecond {
		if d, _ := p.Next(now, c.View()); d != nil {
			if tries++; tries > 1 && !d.Whole() {
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
	p := NewPeer(UsualTrying(), tables.Held{}, 1)
	p.Next(0, c.View())
	p.Refused(0, tables.OlderEpoch, tables.Held{ID: tables.ID{Epoch: 9, Number: 1}})
	if d, _ := p.Next(time.Hour, c.View()); d != nil || !p.Over() {
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
	holders []*tables.Holder
	peers   []*Peer
	late    [][]byte
	seen    map[string]map[tables.Outcome]int
	effects []map[tables.ID]int
}

func (r *relays) answer(now time.Duration, i int, o tables.Outcome) {
	switch o {
	case tables.Applied:
		r.effects[i][r.holders[i].Held().ID]++
		r.peers[i].Acked(r.holders[i].Held())
	default:
		r.peers[i].Refused(now, o, r.holders[i].Held())
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
	d, _ := r.peers[i].Next(now, r.c.View())
	h := r.holders[i]
	if due, _ := h.Ask(now); due {
		r.peers[i].AskedWhole(h.Held())
	}
	if d == nil {
		return false
	}
	b, err := d.Encode(r.keys)
	if err != nil {
		t.Fatal(err)
	}
	before := h.Held()
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
		lie.Ops = append(lie.Ops[:len(lie.Ops):len(lie.Ops)], tables.Op{Kind: tables.SetLine, Table: 3, Server: "liar", Weight: 1})
		b, _ = lie.Encode(r.keys)
	case "late":
		if len(r.late[i]) > 0 { // an old one comes first
			o, _ := h.Receive(now, r.late[i])
			r.count(what, o)
			if o == tables.Applied {
				r.effects[i][h.Held().ID]++
			}
		}
		r.late[i] = b
	case "holder restarts": // between receipt and acknowledgement: what it holds stays, the answer is lost
		if o, _ := h.Receive(now, b); o == tables.Applied {
			r.effects[i][h.Held().ID]++
		}
		r.peers[i] = NewPeer(UsualTrying(), h.Held(), uint64(i))
		return true
	case "holder forgets":
		r.holders[i] = tables.NewHolder(r.keys, tables.Patience{First: 100 * time.Millisecond, Most: time.Second}, uint64(i))
		r.peers[i], r.effects[i] = NewPeer(UsualTrying(), r.holders[i].Held(), uint64(i)), map[tables.ID]int{}
		return true
	}
	o, _ := h.Receive(now, b)
	r.count(what, o)
	if bad := what == "flipped" || what == "cut" || what == "other key" || what == "lies"; bad && (o == tables.Applied || h.Held() != before) {
		t.Fatalf("%s: %v, %v is held after %v", what, o, h.Held(), before)
	}
	if what == "twice" {
		if o == tables.Applied {
			r.effects[i][h.Held().ID]++
		}
		if again, _ := h.Receive(now, b); again == tables.Applied {
			t.Fatal("applied twice")
		}
		r.peers[i].Acked(h.Held())
		return true
	}
	if what == "answer lost" || what == "older epoch" { // the latter is another writer's, and so is its answer
		if o == tables.Applied {
			r.effects[i][h.Held().ID]++
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
		r.holders = append(r.holders, tables.NewHolder(r.keys, tables.Patience{First: 100 * time.Millisecond, Most: time.Second}, uint64(i)))
		r.peers = append(r.peers, NewPeer(UsualTrying(), tables.Held{}, uint64(i)))
		r.late, r.effects = append(r.late, nil), append(r.effects, map[tables.ID]int{})
	}
	good := map[tables.Digest]bool{tables.Empty().Digest(): true, c.Head().Digest: true}
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
			for id, lines := range pin.Tables {
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
			if !good[r.holders[i].Held().Digest] || r.holders[i].State().Digest() != r.holders[i].Held().Digest {
				t.Fatalf("holder %d runs %v, which never was", i, r.holders[i].Held())
			}
		}
	}
	for end := now + 2*time.Minute; now < end; now += 20 * time.Millisecond {
		for i := range r.holders {
			r.send(t, now, i, "none")
		}
	}
	for i, h := range r.holders {
		if h.Held() != heldBy(c.Head()) {
			t.Errorf("holder %d runs %v, not %v", i, h.Held().ID, c.Head().ID)
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
	for _, must := range []tables.Outcome{tables.Applied, tables.Again, tables.Spoilt, tables.Unauthentic, tables.OlderEpoch, tables.WrongDigest} {
		n := 0
		for _, of := range r.seen {
			n += of[must]
		}
		if n == 0 {
			t.Errorf("%v never came about", must)
		}
	}
}
