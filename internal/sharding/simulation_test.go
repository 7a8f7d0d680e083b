package sharding

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation carries out the actions of an assigner in the same way as the connections and workers of a manager: a worker
// takes the oldest message of a connection that its shard owns, and its delivery counts only under the current epoch.
type simulation struct {
	t          *rapid.T
	assigner   *Assigner
	now        time.Duration
	lastConn   ConnID
	owners     map[ConnID]Owner
	draining   map[ConnID]bool
	sent       map[ConnID]int // number of messages sent on each connection
	delivered  map[ConnID]int // number of these messages delivered, in order
	inProgress []message      // message that each shard's worker is processing
	stalled    []bool         // whether each shard's worker is stalled
	abandoned  []message      // messages that abandoned workers may still deliver
	moves      []time.Duration
}

// message is a message that a worker is processing.
type message struct {
	conn   ConnID // 0 for no message
	epoch  Epoch
	number int
}

const maxConns = 12

func newSimulation(t *rapid.T, shards int) *simulation {
	return &simulation{
		t:          t,
		assigner:   NewAssigner(DefaultSettings(shards)),
		owners:     map[ConnID]Owner{},
		draining:   map[ConnID]bool{},
		sent:       map[ConnID]int{},
		delivered:  map[ConnID]int{},
		inProgress: make([]message, shards),
		stalled:    make([]bool, shards),
	}
}

// apply carries out the actions.
func (s *simulation) apply(actions Actions) {
	for _, drained := range actions.Drain {
		s.moves = append(s.moves, s.now)
		if s.owners[drained.Conn] != drained.Owner {
			s.t.Fatalf("connection %d is to be drained by %+v, but is owned by %+v", drained.Conn, drained.Owner, s.owners[drained.Conn])
		}
		s.draining[drained.Conn] = true
	}
	for _, assigned := range actions.Assign {
		if before := s.owners[assigned.Conn].Epoch; assigned.Owner.Epoch != before+1 {
			s.t.Fatalf("connection %d is assigned epoch %d after epoch %d", assigned.Conn, assigned.Owner.Epoch, before)
		}
		s.owners[assigned.Conn] = assigned.Owner
		delete(s.draining, assigned.Conn)
	}
	for _, id := range actions.Close {
		s.closeConn(id)
	}
	for _, shard := range actions.RestartWorkers {
		if s.inProgress[shard].conn != 0 {
			s.abandoned = append(s.abandoned, s.inProgress[shard])
		}
		s.inProgress[shard] = message{}
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

// deliver completes a message. Messages of the current epoch must be delivered once and in order.
func (s *simulation) deliver(msg message) {
	if owner, open := s.owners[msg.conn]; !open || owner.Epoch != msg.epoch {
		return
	}
	if msg.number != s.delivered[msg.conn] {
		s.t.Fatalf("connection %d delivers message %d, want %d", msg.conn, msg.number, s.delivered[msg.conn])
	}
	s.delivered[msg.conn]++
}

// work lets a shard complete its current message, and then drain a connection if one is due, or take the next message.
func (s *simulation) work(shard ShardID) {
	if s.stalled[shard] {
		return
	}
	s.deliver(s.inProgress[shard])
	s.inProgress[shard] = message{}
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
			s.inProgress[shard] = message{id, owner.Epoch, s.delivered[id]}
			return
		}
	}
}

// fail ends a shard's worker with a fault while it processes its current message.
func (s *simulation) fail(shard ShardID) {
	conn := s.inProgress[shard].conn
	s.inProgress[shard] = message{}
	s.apply(s.assigner.HandleWorkerFailed(s.now, shard, conn))
}

// deliverAbandoned lets an abandoned worker complete its message.
func (s *simulation) deliverAbandoned() {
	s.deliver(s.abandoned[0])
	s.abandoned = s.abandoned[1:]
}

// reportLoad ends a window with loads taken from the bits of a drawn number.
func (s *simulation) reportLoad(drawn int) {
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

// step executes one event, selected by a drawn number.
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
		s.stalled[shard] = s.inProgress[shard].conn != 0
	case event == 12 && len(s.abandoned) > 0:
		s.deliverAbandoned()
	case event == 13 && s.inProgress[shard].conn != 0 && rest%5 == 0:
		s.fail(shard)
	case event == 14:
		s.reportLoad(drawn)
	default:
		s.checkWorkers()
	}
	s.checkOwners()
}

// settle lets all shards work without further events, so that everything that was sent is delivered.
func (s *simulation) settle() {
	for range 200 {
		s.now += s.assigner.settings.CheckInterval
		s.checkWorkers()
		for shard := range s.inProgress {
			s.work(ShardID(shard))
		}
	}
}

func (s *simulation) checkOwners() {
	for id, owner := range s.owners {
		if got, _ := s.assigner.Owner(id); got != owner {
			s.t.Fatalf("connection %d is owned by %+v, but the assigner returns %+v", id, owner, got)
		}
	}
}

func (s *simulation) checkAllDelivered() {
	for id, sent := range s.sent {
		if s.delivered[id] != sent {
			s.t.Fatalf("connection %d: %d of %d messages delivered", id, s.delivered[id], sent)
		}
	}
	for _, c := range s.assigner.conns {
		if c.ownership != owned {
			s.t.Fatalf("connection %d is left with ownership %d, want %d", c.id, c.ownership, owned)
		}
	}
}

func (s *simulation) checkMovesAreBounded() {
	settings := s.assigner.settings
	for i, at := range s.moves {
		if j := i + settings.MaxMoves; j < len(s.moves) && s.moves[j]-at < settings.MoveWindow {
			s.t.Fatalf("more than %d moves within %v from %v", settings.MaxMoves, settings.MoveWindow, at)
		}
	}
}

// Over more than 100,000 random steps in all, no message is delivered twice, out of order or by two owners, and none waits
// forever.
func TestAssignerUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 5).Draw(t, "shards"))
		for _, drawn := range rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1100, 1100).Draw(t, "steps") {
			s.step(drawn)
		}
		s.settle()
		s.checkAllDelivered()
		s.checkMovesAreBounded()
	})
}
