package sharding

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

// keeper has lanes with so many connections each, at rest; those of lane 0 take `busy` cores each.
func keeper(lanes, conns int, busy float64) *Assigner {
	k := NewAssigner(DefaultSettings(lanes))
	id := ConnID(0)
	for i, l := range k.lanes {
		for range conns {
			id++
			c := &conn{id: id, owner: Owner{ShardID(i), 1}, work: []float64{0, 0, 0}}
			if i == 0 {
				c.work = []float64{busy, busy, busy}
			}
			k.conns[id] = c
			l.add(c)
		}
	}
	return k
}

func (k *Assigner) spreadOut(now time.Duration) Actions {
	cores := map[ConnID]float64{}
	for id, c := range k.conns {
		cores[id] = c.load()
	}
	return k.HandleLoad(now, cores)
}

func TestAConnectionMovesInFourSteps(t *testing.T) {
	k := keeper(2, 2, 0.3)
	a := k.spreadOut(time.Second)
	if len(a.Drain) != 1 || a.Drain[0].Owner != (Owner{0, 1}) || len(a.Assign) != 0 {
		t.Fatalf("%+v", a)
	}
	id := a.Drain[0].Conn
	if a = k.HandleConnDrained(time.Second, id, 1); len(a.Assign) != 1 || a.Assign[0].Owner != (Owner{1, 2}) || len(a.Release) != 0 {
		t.Fatalf("%+v", a)
	}
	if a = k.HandleConnAcquired(time.Second, id, 2); len(a.Release) != 1 || a.Release[0].Owner != (Owner{0, 1}) {
		t.Fatalf("%+v", a)
	}
	if a = k.HandleConnAcquired(time.Second, id, 2); len(a.Release) != 0 {
		t.Errorf("let go twice: %+v", a)
	}
}

func TestAMoveThatIsNotHeldIsCalledOffAndNobodyIsLeftWithoutAnOwner(t *testing.T) {
	k := keeper(2, 2, 0.3)
	id := k.spreadOut(time.Second).Drain[0].Conn
	k.HandleWorkerCheck(time.Second+k.t.DrainTimeout, []time.Duration{-1, -1})
	if c := k.conns[id]; c.step != settled {
		t.Fatalf("%+v", c)
	}
	if a := k.HandleConnDrained(2*time.Second, id, 1); len(a.Assign) != 1 || a.Assign[0].Owner != (Owner{0, 2}) {
		t.Errorf("one that stopped late is served by nobody: %+v", a)
	}
}

func TestALostLaneGivesItsConnectionsUnderTheNextEpoch(t *testing.T) {
	k := keeper(3, 2, 0.1)
	a := k.HandleWorkerFailed(time.Second, 0, 1)
	if !slices.Equal(a.RestartWorkers, []ShardID{0}) || len(a.Assign) != 2 {
		t.Fatalf("%+v", a)
	}
	for _, p := range a.Assign {
		if p.Owner.Shard == 0 || p.Owner.Epoch != 2 {
			t.Errorf("%+v", p)
		}
	}
	if a := k.HandleConnDrained(time.Second, 1, 1); len(a.Assign) > 0 {
		t.Errorf("what the lost owner says is taken: %+v", a)
	}
}

func TestOnlyALaneThatStandsStillByTwoLooksInTimeIsLost(t *testing.T) {
	k, at := keeper(2, 1, 0.1), []time.Duration{time.Second, -1}
	every := k.t.CheckInterval
	k.HandleWorkerCheck(0, at)
	if a := k.HandleWorkerCheck(2*time.Second, at); len(a.RestartWorkers) > 0 {
		t.Error("lost by a look that was late itself: the whole process stood still")
	}
	k.HandleWorkerCheck(2*time.Second+every, at)
	if a := k.HandleWorkerCheck(2*time.Second+2*every, at); !slices.Equal(a.RestartWorkers, []ShardID{0}) {
		t.Errorf("%+v", a)
	}
	if a := k.HandleWorkerCheck(2*time.Second+3*every, []time.Duration{0, -1}); len(a.RestartWorkers) > 0 {
		t.Errorf("%+v", a)
	}
}

func TestALaneThatFailsOftenRestsButNeverTheLast(t *testing.T) {
	k := keeper(2, 1, 0.1)
	for i := range 3 {
		k.HandleWorkerFailed(time.Duration(i)*time.Second, 0, 99)
		k.HandleWorkerFailed(time.Duration(i)*time.Second, 1, 99)
	}
	resting := 0
	for _, l := range k.lanes {
		if l.rests > 0 {
			resting++
		}
	}
	if resting != 1 {
		t.Fatalf("%d of 2 rest", resting)
	}
	k.HandleWorkerCheck(time.Hour, []time.Duration{-1, -1})
	if k.lanes[0].rests != 0 || k.lanes[1].rests != 0 {
		t.Error("rests for ever")
	}
}

func TestAConnectionThatBringsLanesDownIsClosed(t *testing.T) {
	k := keeper(3, 1, 0.1)
	if a := k.HandleWorkerFailed(0, 0, 1); len(a.Close) > 0 {
		t.Error("closed at once")
	}
	if a := k.HandleWorkerFailed(0, 1, 1); !slices.Equal(a.Close, []ConnID{1}) {
		t.Errorf("%+v", a)
	}
}

func TestWorkIsSpreadWithoutSwinging(t *testing.T) {
	k, moves := keeper(4, 6, 0.15), []time.Duration{}
	for s := 1; s <= 120; s++ {
		now := time.Duration(s) * time.Second
		cores := map[ConnID]float64{}
		for id := range k.conns {
			if (int(id)+s/3)%5 == 0 { // load that wanders every three seconds
				cores[id] = 0.3
			}
		}
		a := k.HandleLoad(now, cores)
		for _, p := range a.Drain {
			moves = append(moves, now)
			k.HandleConnDrained(now, p.Conn, p.Owner.Epoch)
			k.HandleConnAcquired(now, p.Conn, p.Owner.Epoch+1)
		}
	}
	for i, at := range moves {
		if j := i + k.t.MaxMoves; j < len(moves) && moves[j]-at < k.t.MoveWindow {
			t.Fatalf("more than %d moves within %v", k.t.MaxMoves, k.t.MoveWindow)
		}
	}
	if len(moves) == 0 {
		t.Error("nothing is spread")
	}
}

func TestOneHeavyConnectionStays(t *testing.T) {
	k := keeper(2, 1, 0.9)
	if a := k.spreadOut(time.Second); len(a.Drain) > 0 {
		t.Errorf("%+v", a)
	}
}

func TestFoldKeepsCountsAndRates(t *testing.T) {
	m := NewMailbox(4)
	u := balancer.UsageReport{Proxy: 1, Class: 2, Requests: 3, Dropped: 1, Interval: time.Second}
	r := balancer.LoadReport{Server: "s", Zone: "a", Attempts: 10, Failed: 5, Latency: time.Second, Interval: time.Second, InFlight: 7}
	late := balancer.LoadReport{Server: "s", Zone: "a", Attempts: 5, Latency: 2 * time.Second, Interval: time.Second, InFlight: -1}
	m.Put([]any{u, r, u, late})
	if !m.HasRoom() || m.Len() != 2 || m.Merged != 2 {
		t.Fatalf("%d wait after %d folds", m.Len(), m.Merged)
	}
	m.Put([]any{u})
	got := m.Take(9, nil)
	if sum := got[0].(balancer.UsageReport); sum.Requests != 9 || sum.Dropped != 3 || sum.Interval != 3*time.Second {
		t.Errorf("%+v", sum)
	}
	if sum := got[1].(balancer.LoadReport); sum.Attempts != 15 || sum.Failed != 5 || sum.Latency != 1500*time.Millisecond || sum.InFlight != 7 {
		t.Errorf("%+v", sum)
	}
	for i := range 4 {
		m.Put([]any{balancer.UsageReport{Proxy: balancer.ProxyID(i)}})
	}
	if m.HasRoom() || m.Len() != 4 {
		t.Errorf("%d wait: as many as exist, and no room for more", m.Len())
	}
}

// world carries out what a keeper decides, as the connections and workers of a manager do: a worker takes the oldest
// piece of a connection that it owns, and what it brings counts only under the epoch in force.
type world struct {
	t      *rapid.T
	k      *Assigner
	now    time.Duration
	owner  map[ConnID]Owner
	hold   map[ConnID]bool
	said   map[ConnID]int // pieces that came
	next   map[ConnID]int // the first that no owner has brought
	hand   []piece        // by lane
	stands []bool         // by lane: its worker does not go on
	stale  []piece        // of workers that were given up, still to be brought
	moves  []time.Duration
}

type piece struct {
	conn  ConnID
	epoch Epoch
	n     int
}

func (w *world) do(a Actions) {
	for _, p := range a.Drain {
		w.moves = append(w.moves, w.now)
		if w.owner[p.Conn] != p.Owner {
			w.t.Fatalf("held by %+v, owned by %+v", p.Owner, w.owner[p.Conn])
		}
		w.hold[p.Conn] = true
	}
	for _, p := range a.Assign {
		if p.Owner.Epoch != w.owner[p.Conn].Epoch+1 {
			w.t.Fatalf("epoch %d after %d", p.Owner.Epoch, w.owner[p.Conn].Epoch)
		}
		w.owner[p.Conn] = p.Owner
		delete(w.hold, p.Conn)
	}
	for _, id := range a.Close {
		w.shut(id)
	}
	for _, l := range a.RestartWorkers {
		if w.hand[l].conn != 0 {
			w.stale = append(w.stale, w.hand[l])
		}
		w.hand[l], w.stands[l] = piece{}, false
	}
}

func (w *world) shut(id ConnID) {
	for _, m := range []map[ConnID]int{w.said, w.next} {
		delete(m, id)
	}
	delete(w.owner, id)
	delete(w.hold, id)
	w.do(w.k.HandleConnClosed(w.now, id))
}

// bring ends a piece of work; it counts once, and in order.
func (w *world) bring(p piece) {
	if o, open := w.owner[p.conn]; !open || o.Epoch != p.epoch {
		return
	}
	if p.n != w.next[p.conn] {
		w.t.Fatalf("connection %d brings piece %d, not %d", p.conn, p.n, w.next[p.conn])
	}
	w.next[p.conn]++
}

// work lets a lane end what it has in hand and take the next piece, or hold a connection that it should.
func (w *world) work(l ShardID) {
	if w.stands[l] {
		return
	}
	w.bring(w.hand[l])
	w.hand[l] = piece{}
	for _, id := range w.conns() {
		o := w.owner[id]
		if o.Shard != l {
			continue
		}
		if w.hold[id] {
			w.do(w.k.HandleConnDrained(w.now, id, o.Epoch))
			return
		}
		w.do(w.k.HandleConnAcquired(w.now, id, o.Epoch))
		if w.next[id] < w.said[id] {
			w.hand[l] = piece{id, o.Epoch, w.next[id]}
			return
		}
	}
}

func (w *world) conns() (all []ConnID) {
	for id := range w.owner {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

func (w *world) look() {
	var at []time.Duration
	for l := range w.hand {
		at = append(at, either(w.stands[l], time.Second, -1))
	}
	w.do(w.k.HandleWorkerCheck(w.now, at))
}

func either(first bool, a, b time.Duration) time.Duration {
	if first {
		return a
	}
	return b
}

// Over 100,000 steps in all: nothing is brought twice, out of order, or by two; none waits for ever.
func TestKeeperUnderAllThatHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "lanes")
		w := &world{t: t, k: NewAssigner(DefaultSettings(n)), owner: map[ConnID]Owner{}, hold: map[ConnID]bool{},
			said: map[ConnID]int{}, next: map[ConnID]int{}, hand: make([]piece, n), stands: make([]bool, n)}
		opened := ConnID(0)
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1100, 1100).Draw(t, "steps") {
			w.now += time.Duration(step%7) * 7 * time.Millisecond
			l, conns := ShardID(step>>4)%ShardID(n), w.conns()
			pick := func() ConnID { return conns[(step>>4)%len(conns)] }
			switch what := step % 16; {
			case what < 2 && len(conns) < 12:
				opened++
				w.do(w.k.HandleConnOpened(w.now, opened))
			case what == 2 && len(conns) > 0 && step>>4%3 == 0:
				w.shut(pick())
			case what < 7 && len(conns) > 0:
				w.said[pick()]++
			case what < 11:
				w.work(l)
			case what == 11:
				w.stands[l] = w.hand[l].conn != 0
			case what == 12 && len(w.stale) > 0: // a worker that was given up goes on, late
				w.bring(w.stale[0])
				w.stale = w.stale[1:]
			case what == 13 && w.hand[l].conn != 0 && step>>4%5 == 0:
				by := w.hand[l].conn
				w.hand[l] = piece{}
				w.do(w.k.HandleWorkerFailed(w.now, l, by))
			case what == 14:
				cores := map[ConnID]float64{}
				for i, id := range conns {
					cores[id] = float64((step>>i)&7) / 10
				}
				w.do(w.k.HandleLoad(w.now, cores))
			default:
				w.look()
			}
			for id, o := range w.owner {
				if got, _ := w.k.Owner(id); got != o {
					t.Fatalf("connection %d is owned by %+v, and the keeper says %+v", id, o, got)
				}
			}
		}
		for range 200 { // quiet: all that was said is brought
			w.now += w.k.t.CheckInterval
			w.look()
			for l := range w.hand {
				w.work(ShardID(l))
			}
		}
		for id, said := range w.said {
			if w.next[id] != said {
				t.Fatalf("connection %d: %d of %d pieces brought", id, w.next[id], said)
			}
		}
		for i, at := range w.moves {
			if j := i + w.k.t.MaxMoves; j < len(w.moves) && w.moves[j]-at < w.k.t.MoveWindow {
				t.Fatalf("more than %d moves within %v", w.k.t.MaxMoves, w.k.t.MoveWindow)
			}
		}
		for _, c := range w.k.conns {
			if c.step != settled {
				t.Fatalf("connection %d is left in step %d", c.id, c.step)
			}
		}
	})
}
