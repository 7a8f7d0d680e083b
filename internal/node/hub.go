package node

// Hub carries the connections of collectors through several cores: each connection's bytes are read by itself, its
// lines are decoded by the worker of the lane that owns it, and what they come to waits in one post for the one
// goroutine that decides. Who owns what is decided by package lanes. The hub owns the workers, the pieces that were
// read and not yet brought, and the clock of the keeper; it must never bring a piece twice, out of order, or under an
// epoch that is over, nor hold up the decisions.

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarindshore/internal/lanes"
)

type hub struct {
	t      *intake
	post   *post
	born   time.Time
	decode func(line string) said // words.line

	mu      sync.Mutex // of all below; taken before that of an inlet
	keeper  *lanes.Keeper
	terms   lanes.Terms
	inlets  map[lanes.ConnID]*inlet
	workers []*worker
	opened  lanes.ConnID
}

// said is what a line was decoded to.
type said struct {
	line, kind string
	in         any
	err        error
}

// inlet is one connection's way in. All that must go along when it moves stands here; nothing of it is in a worker.
type inlet struct {
	id    lanes.ConnID
	guest *guest
	work  atomic.Int64 // nanoseconds in this window
	room  chan struct{}

	mu      sync.Mutex
	owner   lanes.Owner
	began   bool // the owner has
	hold    bool
	queued  bool     // for its owner
	pieces  [][]byte // that were read, oldest first
	half    []byte   // line before them
	ended   bool     // nothing more is read
	err     error    // why
	over    bool     // it was parted with
	careful bool     // a worker failed over it: each line is decoded by itself
}

// worker is what works for a lane; a lane that is lost gets another.
type worker struct {
	lane   lanes.LaneID
	since  atomic.Int64 // of the piece in hand, nanoseconds since the start; 0: none
	in     atomic.Pointer[inlet]
	filled chan struct{}
	gone   chan struct{}
	mu     sync.Mutex
	waits  []*inlet
}

// post is what waits for the decisions.
type post struct {
	mu     sync.Mutex
	mail   *lanes.Mail
	filled chan struct{}
	freed  chan struct{} // closed once some of it was taken
	book   *book
}

func newPost(most int, b *book) *post {
	return &post{mail: lanes.NewMail(most), filled: make(chan struct{}, 1), freed: make(chan struct{}), book: b}
}

// put brings samples if there is room; else it gives what is closed once there may be.
func (p *post) put(samples []any) (full <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	folds := p.mail.Folds
	if !p.mail.Room() {
		full = p.freed
	} else {
		p.mail.Put(samples)
	}
	p.book.add(samplesFolded, int64(p.mail.Folds-folds))
	select {
	case p.filled <- struct{}{}:
	default:
	}
	return full
}

// next takes up to so many samples.
func (p *post) next(n int, into []any) []any {
	p.mu.Lock()
	defer p.mu.Unlock()
	into = p.mail.Next(n, into)
	if len(into) > 0 {
		close(p.freed)
		p.freed = make(chan struct{})
	}
	if p.mail.Len() > 0 {
		select {
		case p.filled <- struct{}{}:
		default:
		}
	}
	return into
}

func newHub(t *intake, p *post, terms lanes.Terms) *hub {
	h := &hub{t: t, post: p, born: time.Now(), terms: terms, keeper: lanes.NewKeeper(terms),
		inlets: map[lanes.ConnID]*inlet{}}
	h.decode = func(line string) said {
		kind, in, err := t.words.line(line)
		return said{line, kind, in, err}
	}
	for i := range terms.Lanes {
		h.workers = append(h.workers, h.hire(lanes.LaneID(i)))
	}
	return h
}

func (h *hub) hire(id lanes.LaneID) *worker {
	w := &worker{lane: id, filled: make(chan struct{}, 1), gone: make(chan struct{})}
	go h.run(w)
	return w
}

func (h *hub) now() time.Duration { return time.Since(h.born) }

// do carries out what the keeper decides on one input. mu is held.
func (h *hub) do(input func(now time.Duration) lanes.Acts) {
	a := input(h.now())
	for _, p := range a.Hold {
		h.ask(p, func(c *inlet) { c.hold = true })
	}
	for _, id := range a.Renew {
		close(h.workers[id].gone)
		h.workers[id] = h.hire(id)
		h.t.book.add(lanesRenewed, 1)
	}
	for _, p := range a.Take {
		if p.Owner.Epoch > 1 {
			h.t.book.add(laneMoves, 1)
		}
		if c := h.inlets[p.Conn]; c != nil {
			c.mu.Lock()
			c.owner, c.began, c.hold, c.queued = p.Owner, false, false, false
			c.mu.Unlock()
			h.ask(p, func(*inlet) {})
		}
	}
	for _, id := range a.Close {
		if c := h.inlets[id]; c != nil {
			c.guest.Close()
			go c.end(h, errors.Join(errUnread, errors.New("lanes failed over it")))
		}
	}
	for _, n := range a.Notes {
		h.t.book.tell("lane", "note", n)
	}
}

// ask puts an inlet before its owner's worker, if that is still the owner named. mu is held.
func (h *hub) ask(p lanes.Place, change func(*inlet)) {
	c := h.inlets[p.Conn]
	if c == nil {
		return
	}
	c.mu.Lock()
	mine := c.owner == p.Owner
	if mine {
		change(c)
		mine, c.queued = !c.queued, true
	}
	c.mu.Unlock()
	if mine {
		h.workers[p.Owner.Lane].give(c)
	}
}

// wake puts an inlet before its owner, whoever that is by now.
func (h *hub) wake(c *inlet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.mu.Lock()
	owner := c.owner
	c.mu.Unlock()
	h.ask(lanes.Place{Conn: c.id, Owner: owner}, func(*inlet) {})
}

func (w *worker) give(c *inlet) {
	w.mu.Lock()
	w.waits = append(w.waits, c)
	w.mu.Unlock()
	select {
	case w.filled <- struct{}{}:
	default:
	}
}

// attend reads a guest's bytes until it ends; the owner of its inlet does the rest.
func (h *hub) attend(g *guest) {
	c := &inlet{guest: g, room: make(chan struct{}, 1)}
	h.mu.Lock()
	h.opened++
	c.id = h.opened
	h.inlets[c.id] = c
	h.do(func(now time.Duration) lanes.Acts { return h.keeper.Opened(now, c.id) })
	h.mu.Unlock()
	size := h.t.limits.Piece / 4
	for {
		piece := make([]byte, size)
		n, err := g.Read(piece)
		if n > 0 && !c.read(h, piece[:n]) {
			err = errStop
		}
		if n == size {
			size = h.t.limits.Piece
		}
		if err != nil {
			c.end(h, err)
			return
		}
	}
}

// read takes a piece in; it waits while there are too many. False once nothing more is wanted.
func (c *inlet) read(h *hub, piece []byte) bool {
	for {
		c.mu.Lock()
		if c.ended {
			c.mu.Unlock()
			return false
		}
		if len(c.pieces) < h.t.limits.Pieces {
			c.pieces = append(c.pieces, piece)
			asked := c.queued
			c.mu.Unlock()
			if !asked {
				h.wake(c)
			}
			return true
		}
		c.mu.Unlock()
		select {
		case <-c.room:
		case <-h.t.stop:
			return false
		}
	}
}

// end says that nothing more is read.
func (c *inlet) end(h *hub, err error) {
	c.mu.Lock()
	if !c.ended {
		c.ended, c.err = true, err
	}
	c.mu.Unlock()
	h.wake(c)
}

// run works for a lane until the worker is given up. A fault ends it; the keeper hears of it.
func (h *hub) run(w *worker) {
	defer func() {
		if cause := recover(); cause != nil {
			by := w.in.Load()
			h.t.book.tell("lane_fault", "lane", int(w.lane), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			h.mu.Lock()
			defer h.mu.Unlock()
			select {
			case <-w.gone: // it was given up before
				return
			default:
			}
			by.mu.Lock()
			by.careful = true
			by.mu.Unlock()
			h.do(func(now time.Duration) lanes.Acts { return h.keeper.Failed(now, w.lane, by.id) })
		}
	}()
	for {
		w.mu.Lock()
		var c *inlet
		if len(w.waits) > 0 {
			c = w.waits[0]
			w.waits = slices.Delete(w.waits, 0, 1)
		}
		w.mu.Unlock()
		if c != nil {
			h.serve(w, c)
			continue
		}
		select {
		case <-w.filled:
		case <-w.gone:
			return
		case <-h.t.stop:
			return
		}
	}
}

// serve does the next thing that is due for a connection: it holds it, brings one piece, or parts with it.
func (h *hub) serve(w *worker, c *inlet) {
	w.in.Store(c)
	c.mu.Lock()
	if c.owner.Lane != w.lane || c.over || !c.queued {
		c.mu.Unlock()
		return
	}
	c.queued = false
	epoch, began, hold, careful := c.owner.Epoch, c.began, c.hold, c.careful
	c.began, c.hold = true, false
	var piece []byte
	half := slices.Clone(c.half)
	if len(c.pieces) > 0 {
		piece = c.pieces[0]
	}
	last := c.ended && piece == nil
	if c.over = last && !hold; c.over {
		half = c.half
	}
	c.mu.Unlock()
	switch {
	case hold:
		h.tell(func(now time.Duration) lanes.Acts { return h.keeper.Held(now, c.id, epoch) })
		return
	case !began:
		h.tell(func(now time.Duration) lanes.Acts { return h.keeper.Taken(now, c.id, epoch) })
	}
	if last {
		h.part(c, half)
	}
	if piece == nil {
		return
	}
	from := h.now()
	w.since.Store(int64(from))
	all, rest := h.cut(half, piece, careful)
	again := h.bring(w, c, epoch, all, rest)
	w.since.Store(0)
	c.work.Add(int64(h.now() - from))
	if again {
		h.wake(c)
	}
}

func (h *hub) tell(input func(now time.Duration) lanes.Acts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.do(input)
}

// cut decodes the lines of a piece. Where a worker failed over the connection, a line that brings it down is left
// out alone.
func (h *hub) cut(half, piece []byte, careful bool) (all []said, rest []byte) {
	rest, _ = cutLines(half, piece, func(line []byte) error {
		text := string(line)
		if !careful {
			all = append(all, h.decode(text))
			return nil
		}
		func() {
			defer func() {
				if cause := recover(); cause != nil {
					h.t.book.add(linesFatal, 1)
					h.t.book.say("line_fatal", "line", start(text), "cause", fmt.Sprint(cause))
				}
			}()
			all = append(all, h.decode(text))
		}()
		return nil
	})
	return all, rest
}

// bring hands on what a piece came to, under the epoch in which it was taken up; once, and whole. It waits while there
// is no room. It tells whether more is to be done for the connection.
func (h *hub) bring(w *worker, c *inlet, epoch lanes.Epoch, all []said, rest []byte) (again bool) {
	for {
		full, answers, stale, end := h.commit(c, epoch, all, rest)
		switch {
		case stale:
			return false
		case full != nil:
			w.since.Store(0) // it waits for the decisions, it does not stand still
			select {
			case <-full:
			case <-w.gone:
				return false
			case <-h.t.stop:
				return false
			}
			w.since.Store(int64(h.now()))
			continue
		}
		if answers > 0 { // also before a close, as where one core takes in
			if err := h.t.pong(c.guest, answers); end == nil {
				end = err
			}
		}
		if end != nil {
			c.guest.Close()
			c.mu.Lock()
			c.ended, c.err, c.pieces = true, end, nil
			c.mu.Unlock()
		}
		select {
		case c.room <- struct{}{}:
		default:
		}
		return true
	}
}

// commit is the one place where what a connection said counts: under its lock, by the owner in force.
func (h *hub) commit(c *inlet, epoch lanes.Epoch, all []said, rest []byte) (full <-chan struct{}, answers int, stale bool, end error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner.Epoch != epoch || len(c.pieces) == 0 {
		return nil, 0, true, nil
	}
	if full = h.post.put(nil); full != nil {
		return full, 0, false, nil
	}
	g, batch, now := c.guest, make([]any, 0, len(all)), time.Now()
	var reports, loads, usages int64
	for _, s := range all {
		if len(s.line) > h.t.longest(g) {
			end = errLong
			break
		}
		in, ping, err := h.t.heed(g, now, s.line, s.kind, s.in, s.err)
		if end = err; err != nil {
			break
		}
		if ping {
			answers++
		}
		switch in := in.(type) {
		case heard:
			reports++
			if in.Load >= 0 {
				loads++
			}
			batch = append(batch, in.Report)
		case used:
			usages++
			batch = append(batch, in.Usage)
		}
	}
	// once for a piece: cores that write one counter for each line hold one another up
	h.t.book.add(reportsIn, reports)
	h.t.book.add(loadsIn, loads)
	h.t.book.add(usagesIn, usages)
	if end == nil && len(rest) > h.t.longest(g) {
		end = errLong
	}
	if len(batch) > 0 {
		h.post.give(batch)
	}
	c.pieces, c.half = c.pieces[1:], rest
	return nil, answers, false, end
}

// give brings samples for which there was room a moment ago.
func (p *post) give(samples []any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	folds := p.mail.Folds
	p.mail.Put(samples)
	p.book.add(samplesFolded, int64(p.mail.Folds-folds))
	select {
	case p.filled <- struct{}{}:
	default:
	}
}

// part ends a connection of which all is brought.
func (h *hub) part(c *inlet, half []byte) {
	err := c.err
	if err == io.EOF && len(half) > 0 {
		err = io.ErrUnexpectedEOF
	}
	h.t.part(c.guest, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inlets, c.id)
	h.do(func(now time.Duration) lanes.Acts { return h.keeper.Closed(now, c.id) })
}

// oversee is the keeper's clock: it looks at the workers, and once in a window tells what each connection took.
func (h *hub) oversee() {
	tick := time.NewTicker(h.terms.LookEvery)
	defer tick.Stop()
	window := h.now()
	for {
		select {
		case <-h.t.stop:
			return
		case <-tick.C:
		}
		h.look()
		if now := h.now(); now-window >= h.terms.Window {
			h.measure(now - window)
			window = now
		}
	}
}

func (h *hub) look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var at []time.Duration
	for _, w := range h.workers {
		busy := time.Duration(-1)
		if since := w.since.Load(); since > 0 {
			busy = h.now() - time.Duration(since)
		}
		at = append(at, busy)
	}
	h.do(func(now time.Duration) lanes.Acts { return h.keeper.Looked(now, at) })
}

func (h *hub) measure(span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cores := map[lanes.ConnID]float64{}
	for id, c := range h.inlets {
		if took := c.work.Swap(0); took > 0 {
			cores[id] = float64(took) / float64(span)
		}
	}
	h.do(func(now time.Duration) lanes.Acts { return h.keeper.Worked(now, cores) })
}
