package search

import (
	"container/heap"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/blake3"

	"tamarindshore/choice"
	"tamarindshore/internal/orders"
	"tamarindshore/internal/versions"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type server struct {
	id      choice.ServerID
	zone    int
	up      bool
	silent  bool
	slow    float64 // times its service takes
	fails   float64 // part of its flows
	started time.Duration
	gets    []float64 // flows a second by zone
}

type proxy struct {
	id      choice.ProxyID
	zone    int
	session int // of its stream; 0 before the first
	joined  bool
	since   time.Duration // it joined
	bound   bool
	table   choice.TableID
	lines   map[choice.ServerID]float64
	pulled  map[choice.ServerID]bool
	at      time.Duration // the last message reached it
	told    time.Duration // the last was ordered
	sent    []time.Duration
}

// change is one line of a message to a proxy.
type change struct {
	line   choice.Line
	pull   choice.ServerID
	away   bool
	whole  map[choice.ServerID]float64
	pulled map[choice.ServerID]bool
	table  choice.TableID
}

// message is what one call sends one proxy.
type message struct {
	lines   float64 // that are left of it
	arrives func()  // once the last has left
}

type told struct {
	state choice.Condition
	at    time.Duration // the manager was told
	since time.Duration // of the server's start, as listed
}

// World is one run.
type World struct {
	sc     Scenario
	script Script
	chance *rand.Rand
	now    time.Duration
	seq    int
	todo   events
	steps  int
	turn   int // of the channel
	sum    hash.Hash
	Trace  func(line string) // nil: nobody reads it

	servers []*server
	byID    map[choice.ServerID]*server
	proxies []*proxy

	manager *choice.Manager
	chain   *versions.Chain
	gen     int // of the manager
	born    time.Duration
	last    time.Duration // of the manager's clock
	stalled time.Duration // until then
	list    map[choice.ServerID]told
	backlog []choice.Orders
	calling bool
	wake    time.Duration

	tables  map[choice.TableID]map[choice.ServerID]float64
	pulled  map[choice.ServerID]bool
	tries   map[uint]choice.Tries
	repeats map[string]bool
	channel []message     // that wait, the first of them is being sent
	waits   float64       // lines of them, of the first what is left
	since   time.Duration // what left of it until then is counted
	pace    float64

	deaf, unreachable, lost, doubled int // how many faults of a kind stand
	cut                              []int
	late                             time.Duration
	outage                           time.Duration // the relay or its channel was not as stated, in all
	hurt                             bool          // it is not now
	hurts                            []mark        // from and until when it was not
	looked                           time.Duration
	rules                            *rules
}

// Run plays a script and tells what broke first; nil where all was kept.
func Run(s Scenario, script Script, trace func(string)) (*Break, *World) {
	w := &World{sc: s, script: script, chance: rand.New(rand.NewPCG(script.Seed, 0xc4a9ce)), sum: blake3.New(), Trace: trace,
		byID: map[choice.ServerID]*server{}, tables: map[choice.TableID]map[choice.ServerID]float64{}, pulled: map[choice.ServerID]bool{},
		tries: map[uint]choice.Tries{}, repeats: map[string]bool{}, pace: 1, cut: make([]int, s.Zones), list: map[choice.ServerID]told{}}
	w.rules = &rules{w: w, bare: map[choice.ProxyID]mark{}, over: map[choice.ServerID]mark{}}
	for i := range s.Servers {
		one := &server{id: choice.ServerID(fmt.Sprintf("s-%03d", i)), zone: i % s.Zones, up: true, slow: 1, started: -time.Hour, gets: make([]float64, s.Zones)}
		w.servers, w.byID[one.id] = append(w.servers, one), one
		w.list[one.id] = told{choice.Ready, -time.Hour, -time.Hour}
	}
	for i := range s.Proxies {
		w.proxies = append(w.proxies, &proxy{id: choice.ProxyID(i), zone: i % s.Zones})
	}
	w.begin()
	for _, f := range script.Faults {
		w.at(f.At, func() { w.befall(f) })
	}
	end := s.Length + s.Settle
	w.at(100*time.Millisecond, w.look)
	w.at(time.Second, w.second)
	for len(w.todo) > 0 && w.rules.broken == nil {
		e := heap.Pop(&w.todo).(event)
		if e.at > end {
			break
		}
		w.now = e.at
		e.do()
		if w.steps++; w.steps > 5_000_000 {
			w.rules.fail("bounded", "", "%d steps, and no end", w.steps)
		}
	}
	if w.rules.broken == nil {
		w.now = end
		w.rules.progress()
	}
	return w.rules.broken, w
}

// Digest is that of all that happened.
func (w *World) Digest() string { return hex.EncodeToString(w.sum.Sum(nil)[:16]) }

// Steps is how many events were played.
func (w *World) Steps() int { return w.steps }

func (w *World) at(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.todo, event{max(at, w.now), w.seq, do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *World) between(b [2]time.Duration) time.Duration {
	return b[0] + time.Duration(w.chance.Float64()*float64(b[1]-b[0]))
}

func (w *World) say(format string, values ...any) {
	line := fmt.Sprintf("%9.3f ", w.now.Seconds()) + fmt.Sprintf(format, values...)
	w.sum.Write(append([]byte(line), '\n'))
	if w.Trace != nil {
		w.Trace(line)
	}
}

// begin starts a manager, with the list as last told; the proxies join it one after another.
func (w *World) begin() {
	w.gen++
	w.born, w.last, w.stalled, w.wake, w.calling, w.backlog = w.now, 0, 0, 0, false, nil
	w.manager = choice.New(w.script.Seed+uint64(w.gen)*7919, w.sc.Terms())
	t := versions.Usual(uint64(w.gen))
	t.Began = time.Unix(1_790_000_000, 0).Add(w.now)
	w.chain = versions.New(t)
	clear(w.tables)
	clear(w.pulled)
	clear(w.tries)
	clear(w.repeats)
	w.channel, w.waits, w.since = nil, 0, w.now
	var all []choice.Entry
	for _, s := range w.servers {
		all = append(all, w.entry(s, w.list[s.id]))
	}
	w.say("manager %d starts", w.gen)
	w.input(func(now time.Duration) choice.Orders { return w.manager.Listed(now, true, all) })
	for _, p := range w.proxies {
		w.leave(p, false)
		w.after(w.between([2]time.Duration{50 * time.Millisecond, 1500 * time.Millisecond}), func() { w.join(p) })
	}
}

func (w *World) entry(s *server, t told) choice.Entry {
	e := choice.Entry{Server: s.id, Zone: w.zone(s.zone), Weight: 1, State: t.state}
	if t.since > 0 {
		e.Started, e.Fresh = t.since-w.born, true
	}
	return e
}

func (w *World) zone(z int) choice.ZoneID { return choice.ZoneID(fmt.Sprint("z", z)) }

// input gives the manager one thing it learns, once it does not stand still; what is for one that is gone is lost.
func (w *World) input(learn func(now time.Duration) choice.Orders) {
	gen := w.gen
	if w.now < w.stalled {
		w.at(w.stalled, func() {
			if w.gen == gen {
				w.input(learn)
			}
		})
		return
	}
	w.last = max(w.last+1, w.now-w.born)
	w.decided(learn(w.last))
}

func (w *World) decided(o choice.Orders) {
	gen := w.gen
	for _, n := range o.Notes {
		w.say("note %s", n)
	}
	for _, id := range o.Probe {
		s := w.byID[id]
		answer, took := choice.Answered, w.between([2]time.Duration{time.Millisecond, 20 * time.Millisecond})
		switch {
		case s.silent:
			answer, took = choice.Silent, 600*time.Millisecond
		case !s.up:
			answer = choice.Unreached
		}
		w.after(took, func() {
			if w.gen == gen {
				w.input(func(now time.Duration) choice.Orders { return w.manager.Probed(now, id, answer, took, -1) })
			}
		})
	}
	if o.Wake > 0 {
		due := w.born + o.Wake
		if w.wake <= w.now || due < w.wake {
			w.wake = due
			w.at(due, func() {
				if w.gen == gen && w.wake == due {
					w.wake = 0
					w.input(w.manager.Woke)
				}
			})
		}
	}
	if orders.Empty(o) {
		return
	}
	res := w.chain.Propose(w.last, o, "", sight{w.manager})
	for _, n := range res.Notes {
		w.say("version %s", n)
	}
	if res.Changed {
		pin, state := w.chain.Standing(), w.chain.State()
		w.manager.Stands(w.last, pin.Tables, pin.Levels, func(s choice.ServerID) bool { return state.Withdrawn(string(s)) })
	}
	if !orders.Empty(res.Orders) {
		w.backlog = append(w.backlog, res.Orders)
		if len(w.backlog) > 8 {
			w.backlog = []choice.Orders{orders.Fold(w.backlog...)}
		}
		w.next()
	}
}

type sight struct{ m *choice.Manager }

func (s sight) Sees(id choice.ServerID) versions.Sight {
	known, open, climbed := s.m.Sees(id)
	return versions.Sight{Known: known, Open: open, Climbed: climbed}
}
func (s sight) Flows(id choice.TableID) float64 { return s.m.Flows(id) }
func (s sight) Ready() (all, warm int)          { return s.m.Ready() }

// next begins the next call to the relay; they go one after another.
func (w *World) next() {
	if w.calling || len(w.backlog) == 0 {
		return
	}
	o := w.backlog[0]
	w.backlog = w.backlog[1:]
	w.call(o, choice.Orders{})
}

func (w *World) call(o, wait choice.Orders) {
	w.calling = true
	gen, rest := w.gen, w.between([2]time.Duration{50 * time.Millisecond, 200 * time.Millisecond})
	later := func(d time.Duration, do func()) {
		w.after(d, func() {
			if w.gen == gen {
				do()
			}
		})
	}
	switch {
	case w.unreachable > 0:
		later(rest, func() { w.again(o, wait, false) })
	case w.lost > 0 && w.chance.Float64() < 0.6:
		if w.chance.Float64() < 0.5 {
			w.carryOut(o, true)
		}
		later(60*time.Millisecond, func() { w.again(o, wait, true) })
	default:
		w.carryOut(o, false)
		later(3*time.Millisecond, func() {
			w.manager.Entered(w.last, o.Mark)
			w.chain.Outcome(w.last, o.Mark)
			if wait.Count() > 0 {
				later(rest, func() { w.again(choice.Orders{}, wait, false) })
				return
			}
			w.calling = false
			w.next()
		})
	}
}

// again asks the module what of the orders may go out once more, or late, with all that waits by then.
func (w *World) again(rest, wait choice.Orders, carried bool) {
	gen := w.gen
	if w.now < w.stalled {
		w.at(w.stalled, func() {
			if w.gen == gen {
				w.again(rest, wait, carried)
			}
		})
		return
	}
	all := orders.Fold(append([]choice.Orders{orders.Fold(rest, wait)}, w.backlog...)...)
	w.backlog = nil
	all.Bind = slices.DeleteFunc(slices.Clone(all.Bind), func(b choice.Place) bool { return !w.proxies[b.Proxy].joined })
	w.last = max(w.last+1, w.now-w.born)
	n, mark := w.manager.Again(w.last, rest.Mark, carried, all)
	w.call(orders.First(all, n, mark), orders.Skip(all, n))
}

// carryOut is the relay's: it changes what stands and sends each proxy concerned a message.
func (w *World) carryOut(o choice.Orders, unanswered bool) {
	out := map[*proxy][]change{}
	cost := map[*proxy]float64{}
	put := func(p *proxy, c change, lines float64) { out[p], cost[p] = append(out[p], c), cost[p]+lines }
	users := func(t choice.TableID) (all []*proxy) {
		for _, p := range w.proxies {
			if p.joined && p.bound && p.table == t {
				all = append(all, p)
			}
		}
		return all
	}
	was := w.repeats
	w.repeats = map[string]bool{}
	one := func(what string, changes bool) {
		if was[what] && changes {
			w.rules.fail("no effect twice", what, "carried out again after a call without an answer, and it changed something")
		}
		if unanswered {
			w.repeats[what] = true
		}
		w.say("order %s", what)
	}
	pull := func(s choice.ServerID, away bool) {
		one(fmt.Sprint("pull ", s, " ", away), w.pulled[s] != away)
		w.pulled[s] = away
		for _, p := range w.proxies { // it binds all that are joined; it costs those whose table names the server
			if p.joined && p.bound {
				lines := 0.0
				if w.tables[p.table][s] > 0 {
					lines = 1
				}
				put(p, change{pull: s, away: away}, lines)
			}
		}
	}
	for _, s := range o.Withdraw {
		pull(s, true)
	}
	for _, l := range o.Lines {
		one(fmt.Sprint("line ", l.Table, " ", l.Server, " ", l.Weight), w.tables[l.Table][l.Server] != l.Weight)
		if w.tables[l.Table] == nil {
			w.tables[l.Table] = map[choice.ServerID]float64{}
		}
		if w.tables[l.Table][l.Server] = l.Weight; l.Weight == 0 {
			delete(w.tables[l.Table], l.Server)
		}
		for _, p := range users(l.Table) {
			put(p, change{line: l}, 1)
		}
	}
	for _, l := range o.Levels {
		one(fmt.Sprint("level ", l), false)
		w.tries[l.Groups] = l.Tries
		if l.Groups&2 != 0 && l.Tries > choice.TryUnrun {
			w.rules.fail("no effect twice", fmt.Sprint(l), "further tries for a group that must not run twice")
		}
		for _, p := range users(l.Table) {
			put(p, change{}, 1)
		}
	}
	for _, s := range o.Readmit {
		pull(s, false)
	}
	for _, b := range o.Bind {
		p := w.proxies[b.Proxy]
		if !p.joined {
			continue
		}
		one(fmt.Sprint("bind ", b), false)
		p.bound, p.table = true, b.Table
		c := change{whole: map[choice.ServerID]float64{}, pulled: map[choice.ServerID]bool{}, table: b.Table}
		lines := 1
		for s, weight := range w.tables[b.Table] {
			if c.whole[s], lines = weight, lines+1; w.pulled[s] {
				lines++
			}
		}
		for s, away := range w.pulled {
			if away {
				c.pulled[s] = true
			}
		}
		put(p, c, float64(lines))
	}
	for _, p := range w.proxies {
		switch {
		case cost[p] > 0:
			w.send(p, out[p], cost[p]+5, o.Mark)
		case len(out[p]) > 0:
			w.send(p, out[p], 0, 0)
		}
	}
	w.rules.queue(w.waits)
}

// sends moves the channel on to now. The first message leaves in its turn, unless the channel has changed by then.
func (w *World) sends(pace float64) {
	left := (w.now - w.since).Seconds() * w.sc.LinesPerS * w.pace
	w.since, w.pace = w.now, pace
	for len(w.channel) > 0 && left >= w.channel[0].lines-1e-6 {
		m := w.channel[0]
		left, w.waits, w.channel = left-m.lines, w.waits-m.lines, w.channel[1:]
		m.arrives()
	}
	if len(w.channel) == 0 {
		w.waits = 0
		return
	}
	w.channel[0].lines, w.waits = w.channel[0].lines-left, w.waits-left
	w.turn++
	turn := w.turn
	w.after(time.Duration(w.channel[0].lines/(w.sc.LinesPerS*w.pace)*float64(time.Second))+1, func() {
		if w.turn == turn {
			w.sends(w.pace)
		}
	})
}

// send puts a message into the channel; it reaches the proxy in its turn, if that still has the same stream.
func (w *World) send(p *proxy, changes []change, lines float64, mark choice.MarkID) {
	if lines > 0 {
		p.sent = append(slices.DeleteFunc(p.sent, func(at time.Duration) bool { return w.now-at > 10*time.Second }), w.now)
		w.rules.messages(p)
	}
	session, gen, transit := p.session, w.gen, w.between(w.sc.Transit)
	p.told = w.now
	reaches := func() {
		if p.session != session || !p.joined {
			return
		}
		for _, c := range changes {
			switch {
			case c.whole != nil:
				p.lines, p.pulled = c.whole, c.pulled
			case c.pull != "":
				if p.pulled[c.pull] = c.away; !c.away {
					delete(p.pulled, c.pull)
				}
			case c.line.Server != "":
				if p.lines[c.line.Server] = c.line.Weight; c.line.Weight == 0 {
					delete(p.lines, c.line.Server)
				}
			}
		}
		w.rules.held(p)
		if mark > 0 && w.gen == gen {
			w.input(func(now time.Duration) choice.Orders { return w.manager.Applied(now, p.id, mark) })
		}
	}
	w.sends(w.pace)
	w.channel, w.waits = append(w.channel, message{lines, func() {
		p.at = max(p.at+1, w.now+transit)
		w.at(p.at, reaches)
	}}), w.waits+lines
	if len(w.channel) == 1 {
		w.sends(w.pace)
	}
}

// join gives a proxy a stream; it goes on with what it holds until it is told.
func (w *World) join(p *proxy) {
	if p.joined {
		return
	}
	p.joined, p.bound, p.since, p.session, p.at, p.sent = true, false, w.now, p.session+1, w.now, nil
	if p.lines == nil {
		p.lines, p.pulled = map[choice.ServerID]float64{}, map[choice.ServerID]bool{}
	}
	w.input(func(now time.Duration) choice.Orders { return w.manager.Joined(now, p.id, w.zone(p.zone), w.sc.Rate) })
}

func (w *World) leave(p *proxy, told bool) {
	if !p.joined {
		return
	}
	p.joined, p.bound = false, false
	if told {
		w.input(func(now time.Duration) choice.Orders { return w.manager.Left(now, p.id) })
	}
}

// tell lets discovery tell a server's state, late.
func (w *World) tell(s *server, c choice.Condition) {
	since := time.Duration(-time.Hour)
	if s.started > 0 {
		since = s.started
	}
	w.after(w.between(w.sc.ListLate)+w.late, func() {
		if t := w.list[s.id]; since < t.since {
			return // overtaken by a later start
		}
		w.say("list %s %d", s.id, c)
		deliver := func() {}
		gen := w.gen
		deliver = func() {
			if w.gen != gen {
				return
			}
			if w.now < w.stalled {
				w.at(w.stalled, deliver)
				return
			}
			t := told{c, w.now, since}
			if was := w.list[s.id]; was.state != choice.Ready && c != choice.Ready {
				t.at = was.at
			}
			w.list[s.id] = t
			w.input(func(now time.Duration) choice.Orders {
				return w.manager.Listed(now, false, []choice.Entry{w.entry(s, t)})
			})
		}
		deliver()
	})
}

// some are a part of the servers, at least one, by a fault's own chance.
func (w *World) some(f Fault) (all []*server) {
	order := rand.New(rand.NewPCG(f.Seed, 1)).Perm(len(w.servers))
	for _, i := range order[:max(1, int(f.Part*float64(len(order))))] {
		all = append(all, w.servers[i])
	}
	return all
}

func (w *World) down(s *server) {
	s.up, s.silent = false, false
	w.tell(s, choice.Gone)
}

func (w *World) back(s *server) {
	if !s.up {
		s.up, s.started = true, max(w.now, 1)
		w.tell(s, choice.Ready)
	}
}

// befall lets a fault begin, and sets its end.
func (w *World) befall(f Fault) {
	w.say("fault %s for %v part %.2f", f.Kind, f.For, f.Part)
	hold := func(n *int) {
		*n++
		w.after(f.For, func() { *n-- })
	}
	each := func(begin, end func(s *server)) {
		for _, s := range w.some(f) {
			begin(s)
			w.after(f.For, func() { end(s) })
		}
	}
	switch f.Kind {
	case Crash:
		each(w.down, w.back)
	case Silence:
		each(func(s *server) { s.silent = true }, func(s *server) { s.silent = false })
	case Slow:
		each(func(s *server) { s.slow *= 5 }, func(s *server) { s.slow /= 5 })
	case Errors:
		each(func(s *server) { s.fails = 0.7 }, func(s *server) { s.fails = 0 })
	case Drain:
		each(func(s *server) {
			w.tell(s, choice.Draining)
			w.after(5*time.Second, func() { w.down(s) })
		}, func(s *server) { w.after(6*time.Second, func() { w.back(s) }) })
	case ZoneLost:
		for _, s := range w.servers {
			if s.zone == int(f.Seed)%w.sc.Zones {
				w.down(s)
				w.after(f.For, func() { w.back(s) })
			}
		}
	case ZoneCut:
		hold(&w.cut[int(f.Seed)%w.sc.Zones])
	case Deaf:
		hold(&w.deaf)
	case Unreachable:
		hold(&w.unreachable)
	case LostAnswers:
		hold(&w.lost)
	case Doubled:
		hold(&w.doubled)
	case SlowChannel:
		w.sends(w.pace / 3)
		w.after(f.For, func() { w.sends(w.pace * 3) })
	case Restart:
		w.begin()
	case Stall:
		w.stalled = max(w.stalled, w.now+min(f.For, 2*time.Second))
	case Rejoin:
		chance := rand.New(rand.NewPCG(f.Seed, 2))
		for _, p := range w.proxies {
			if chance.Float64() < f.Part*2 {
				w.leave(p, true)
				w.after(time.Duration(200+chance.IntN(1500))*time.Millisecond, func() { w.join(p) })
			}
		}
	case WrongList:
		each(func(s *server) { w.tell(s, choice.Gone) }, func(s *server) {
			if s.up {
				w.tell(s, choice.Ready)
			}
		})
	case LateList:
		w.late += 4 * time.Second
		w.after(f.For, func() { w.late -= 4 * time.Second })
	case RollBack:
		if all := w.chain.Versions(); len(all) > 0 && w.now >= w.stalled {
			_, _, err := w.chain.RollBack(w.last, all[len(all)/2].ID, fmt.Sprint(f.Seed), f.For+time.Second, sight{w.manager})
			w.say("rollback %v", err)
			w.pin()
		}
	}
}

func (w *World) pin() {
	pin, held := w.chain.Pinned()
	if !held {
		pin = versions.Pin{}
	}
	w.input(func(now time.Duration) choice.Orders { return w.manager.Pinned(now, pin.Tables, pin.Levels) })
}

// look judges what stands, ten times a second.
func (w *World) look() {
	w.hurt = w.unreachable > 0 || w.lost > 0 || w.pace < 1 || w.now < w.stalled
	if w.hurt {
		w.outage += w.now - w.looked
		w.hurts = append(w.hurts, mark{w.looked, w.now})
	}
	w.looked = w.now
	w.flows()
	w.rules.look()
	w.after(100*time.Millisecond, w.look)
}

// hurtSince is for how long the relay, its channel or the manager was not as stated since a time.
func (w *World) hurtSince(since time.Duration) (all time.Duration) {
	for i := len(w.hurts) - 1; i >= 0 && w.hurts[i].outage > since; i-- {
		all += w.hurts[i].outage - max(since, w.hurts[i].since)
	}
	return all
}

// flows are what each server gets, by what the proxies hold.
func (w *World) flows() {
	for _, s := range w.servers {
		clear(s.gets)
	}
	for _, p := range w.proxies {
		sum := 0.0
		for _, s := range w.servers {
			if !p.pulled[s.id] {
				sum += p.lines[s.id]
			}
		}
		for _, s := range w.servers {
			if x := p.lines[s.id]; x > 0 && !p.pulled[s.id] {
				s.gets[p.zone] += w.sc.Rate * x / sum
			}
		}
	}
}

// can is how many flows a second a server serves.
func (w *World) can(s *server) float64 {
	warm := min(1, max(0, (w.now-s.started).Seconds()/w.sc.WarmAfter.Seconds()))
	return w.sc.Capacity * (w.sc.ColdShare + (1-w.sc.ColdShare)*warm) / s.slow
}

// second sends the sums of a second, late; and lets a hold end that is over.
func (w *World) second() {
	w.after(time.Second, w.second)
	if ended, _ := w.chain.Looked(w.last, sight{w.manager}); ended && w.now >= w.stalled {
		w.pin()
	}
	gen := w.gen
	hear := func(learn func(now time.Duration) choice.Orders) {
		for range 1 + min(1, w.doubled) {
			w.after(w.between(w.sc.ReportsLate), func() {
				if w.gen == gen && w.deaf == 0 {
					w.input(learn)
				}
			})
		}
	}
	for _, s := range w.servers {
		use := 0.0
		for _, x := range s.gets {
			use += x / w.can(s)
		}
		for z, x := range s.gets {
			if x < 0.05 {
				continue
			}
			r := choice.Report{Server: s.id, Zone: w.zone(z), Tries: int(x + w.chance.Float64()), Span: time.Second, Load: -1}
			fails := max(s.fails, 1-1/max(use, 1e-9))
			if !s.up || s.silent || z != s.zone && w.cut[z]+w.cut[s.zone] > 0 {
				fails = 1
			}
			for range r.Tries {
				if w.chance.Float64() < fails {
					r.Failed++
				}
			}
			if r.Failed < r.Tries {
				r.Latency = min(3*time.Second, time.Duration(float64(w.sc.Service)*s.slow/max(0.05, 1-use)*(0.9+0.2*w.chance.Float64())))
			}
			if r.Tries > 0 {
				hear(func(now time.Duration) choice.Orders { return w.manager.Heard(now, r) })
			}
		}
	}
	for _, p := range w.proxies {
		if !p.joined {
			continue
		}
		for g, part := range []float64{0.8, 0.2} {
			u := choice.Usage{Proxy: p.id, Group: choice.GroupID(g), Flows: int(w.sc.Rate*part + w.chance.Float64()), Span: time.Second}
			hear(func(now time.Duration) choice.Orders { return w.manager.Used(now, u) })
		}
	}
}
