package sharding

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation carries out what an assigner decides, as the connections and workers of a manager do: a worker takes the
// oldest message of a connection that it owns, and what it delivers counts only under the epoch in force.
type simulation struct {
	t         *rapid.T
	assigner  *Assigner
	now       time.Duration
	lastConn  ConnID
	owners    map[ConnID]Owner
	draining  map[ConnID]bool
	sent      map[ConnID]int // messages that came
	delivered map[ConnID]int // of them, in their order
	underWay  []message      // by shard
	stalled   []bool         // by shard: its worker does not go on
	late      []message      // of workers that were given up, still to be delivered
	moves     []time.Duration
}

// message is one that a worker has in hand.
type message struct {
	conn   ConnID // 0: none
	epoch  Epoch
	number int
}

const maxConns = 12

func newSimulation(t *rapid.T, shards int) *simulation {
	return &simulation{
		t:         t,
		assigner:  NewAssigner(DefaultSettings(shards)),
		owners:    map[ConnID]Owner{},
		draining:  map[ConnID]bool{},
		sent:      map[ConnID]int{},
		delivered: map[ConnID]int{},
		underWay:  make([]message, shards),
		stalled:   make([]bool, shards),
	}
}

// apply carries out actions.
func (s *simulation) apply(actions Actions) {
	for _, drained := range actions.Drain {
		s.moves = append(s.moves, s.now)
		if s.owners[drained.Conn] != drained.Owner {
			s.t.Fatalf("drained by %+v, owned by %+v", drained.Owner, s.owners[drained.Conn])
		}
		s.draining[drained.Conn] = true
	}
	for _, assigned := range actions.Assign {
		if before := s.owners[assigned.Conn].Epoch; assigned.Owner.Epoch != before+1 {
			s.t.Fatalf("epoch %d after %d", assigned.Owner.Epoch, before)
		}
		s.owners[assigned.Conn] = assigned.Owner
		delete(s.draining, assigned.Conn)
	}
	for _, id := range actions.Close {
		s.closeConn(id)
	}
	for _, shard := range actions.RestartWorkers {
		if s.underWay[shard].conn != 0 {
			s.late = append(s.late, s.underWay[shard])
		}
		s.underWay[shard] = message{}
		s.stalled[shard] = false
	}
}

func (s *simulation) openConn() {
	s.lastConn++
	s.apply(s.assigner.HandleConnOpened(s.now, s.lastConn))
}

func (s *simulation) closeConn(id ConnID) {
	delete(s.sent, id)
	delete(s.delivered, id)
	delete(s.owners, id)
	delete(s.draining, id)
	s.apply(s.assigner.HandleConnClosed(s.now, id))
}

// deliver ends the work on a message; it counts once, and in order.
func (s *simulation) deliver(one message) {
	if owner, open := s.owners[one.conn]; !open || owner.Epoch != one.epoch {
		return
	}
	if one.number != s.delivered[one.conn] {
		s.t.Fatalf("connection %d delivers message %d, not %d", one.conn, one.number, s.delivered[one.conn])
	}
	s.delivered[one.conn]++
}

// work lets a shard end what it has in hand and take the next message, or drain a connection that it should.
func (s *simulation) work(shard ShardID) {
	if s.stalled[shard] {
		return
	}
	s.deliver(s.underWay[shard])
	s.underWay[shard] = message{}
	for _, id := range s.openConns() {
		owner := s.owners[id]
		if owner.Shard != shard {
			continue
		}
		if s.draining[id] {
			s.apply(s.assigner.HandleConnDrained(s.now, id, owner.Epoch))
			return
		}
		s.apply(s.assigner.HandleConnAcquired(s.now, id, owner.Epoch))
		if s.delivered[id] < s.sent[id] {
			s.underWay[shard] = message{id, owner.Epoch, s.delivered[id]}
			return
		}
	}
}

// fail ends a shard's worker by a fault over what it has in hand.
func (s *simulation) fail(shard ShardID) {
	by := s.underWay[shard].conn
	s.underWay[shard] = message{}
	s.apply(s.assigner.HandleWorkerFailed(s.now, shard, by))
}

// deliverLate lets a worker that was given up go on.
func (s *simulation) deliverLate() {
	s.deliver(s.late[0])
	s.late = s.late[1:]
}

// tellLoad ends a window, with loads by the bits of a drawn number.
func (s *simulation) tellLoad(drawn int) {
	cores := map[ConnID]float64{}
	for i, id := range s.openConns() {
		cores[id] = float64((drawn>>i)&7) / 10
	}
	s.apply(s.assigner.HandleLoad(s.now, cores))
}

func (s *simulation) checkWorkers() {
	var taskTimes []time.Duration
	for _, stalled := range s.stalled {
		taskTime := time.Duration(-1)
		if stalled {
			taskTime = time.Second
		}
		taskTimes = append(taskTimes, taskTime)
	}
	s.apply(s.assigner.HandleWorkerCheck(s.now, taskTimes))
}

func (s *simulation) openConns() (all []ConnID) {
	for id := range s.owners {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// step plays one drawn event.
func (s *simulation) step(drawn int) {
	s.now += time.Duration(drawn%7) * 7 * time.Millisecond
	rest := drawn >> 4
	shard := ShardID(rest % len(s.stalled))
	conns := s.openConns()
	pick := func() ConnID { return conns[rest%len(conns)] }
	switch event := drawn % 16; {
	case event < 2 && len(conns) < maxConns:
		s.openConn()
	case event == 2 && len(conns) > 0 && rest%3 == 0:
		s.closeConn(pick())
	case event < 7 && len(conns) > 0:
		s.sent[pick()]++
	case event < 11:
		s.work(shard)
	case event == 11:
		s.stalled[shard] = s.underWay[shard].conn != 0
	case event == 12 && len(s.late) > 0:
		s.deliverLate()
	case event == 13 && s.underWay[shard].conn != 0 && rest%5 == 0:
		s.fail(shard)
	case event == 14:
		s.tellLoad(drawn)
	default:
		s.checkWorkers()
	}
	s.checkOwners()
}

// settle plays a while without events, so that all that was sent is delivered.
func (s *simulation) settle() {
	for range 200 {
		s.now += s.assigner.settings.CheckInterval
		s.checkWorkers()
		for shard := range s.underWay {
			s.work(ShardID(shard))
		}
	}
}

func (s *simulation) checkOwners() {
	for id, owner := range s.owners {
		if got, _ := s.assigner.Owner(id); got != owner {
			s.t.Fatalf("connection %d is owned by %+v, and the assigner says %+v", id, owner, got)
		}
	}
}

func (s *simulation) checkAllIsDelivered() {
	for id, sent := range s.sent {
		if s.delivered[id] != sent {
			s.t.Fatalf("connection %d: %d of %d messages delivered", id, s.delivered[id], sent)
		}
	}
	for _, c := range s.assigner.conns {
		if c.ownership != owned {
			s.t.Fatalf("connection %d is left in step %d", c.id, c.ownership)
		}
	}
}

func (s *simulation) checkMovesAreBounded() {
	settings := s.assigner.settings
	for i, at := range s.moves {
		if j := i + settings.MaxMoves; j < len(s.moves) && s.moves[j]-at < settings.MoveWindow {
			s.t.Fatalf("more than %d moves within %v", settings.MaxMoves, settings.MoveWindow)
		}
	}
}

// Over 100,000 steps in all: nothing is delivered twice, out of order, or by two; nothing waits for ever.
func TestAssignerUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 5).Draw(t, "shards"))
		for _, drawn := range rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1100, 1100).Draw(t, "steps") {
			s.step(drawn)
		}
		s.settle()
		s.checkAllIsDelivered()
		s.checkMovesAreBounded()
	})
}
