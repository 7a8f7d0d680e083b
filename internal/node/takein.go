package node

// Take in owns the connections that tell the manager something: the listener and its collectors,
// the relay's news, discovery's watch, and the probes that the module ordered. It hands on decoded
// inputs in the order that each connection delivered them, and replaces what is broken or silent.
// It must never write to a collector, call the module or fill a gap by a guess.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/choice"
	"tamarindshore/internal/config"
)

type intake struct {
	limits config.Limits
	words  *words
	inputs chan<- any
	stop   <-chan struct{}
	book   *book
	ready  func() bool // to be used
	chance *rand.Rand  // of waits; used under mu
	mu     sync.Mutex
	guests []*guest // connections to the manager's address
	hub    *hub     // of several cores; nil: each connection is read by itself
}

// give hands an input to the module's owner; false once the manager ends.
func (t *intake) give(in any) bool { return give(in, t.inputs, t.stop) }

func give(in any, inputs chan<- any, stop <-chan struct{}) bool {
	select {
	case inputs <- in:
		return true
	case <-stop:
		return false
	}
}

var errStop = errors.New("the manager ends")

// guest is a connection to the manager's address; it is named once it says whose collector it is.
// Until it has reported something it has one fixed time, whatever it sends.
type guest struct {
	patient
	named   bool
	zone    choice.ZoneID
	useful  bool // it has reported something
	spokeAt time.Time
	idle    int // messages that report nothing, one after another
}

// accept takes connections at the manager's address. Strangers have a number and a time of their
// own: where there are too many, the one that has been silent for longest goes.
func (t *intake) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			select {
			case <-t.stop:
				return
			case <-time.After(t.limits.Look):
				t.book.say("accept", "error", err)
				continue
			}
		}
		g := &guest{spokeAt: time.Now()}
		g.Conn, g.look, g.write = c, t.limits.Look, t.limits.Write
		g.until, g.fixed = g.spokeAt.Add(t.limits.Stranger), true
		t.book.add(connections, 1)
		t.mu.Lock()
		t.guests = append(t.guests, g)
		t.makeRoom(false, t.limits.Unnamed)
		t.mu.Unlock()
		select {
		case <-t.stop: // what is accepted in the instant of the end is closed too
			c.Close()
		default:
		}
		if t.hub != nil {
			go t.hub.attend(g)
		} else {
			go t.attend(g)
		}
		runtime.Gosched() // guards against a collector in a flood that gives way before its name is read
	}
}

// makeRoom closes a guest of a kind where there are too many: the longest silent of those that never reported
// anything, if there are any. Guards against strangers that name themselves collectors. mu is held.
func (t *intake) makeRoom(named bool, most int) {
	var silent *guest
	n := 0
	for _, g := range t.guests {
		if g.named == named {
			n++
			if silent == nil || silent.useful && !g.useful || silent.useful == g.useful && g.spokeAt.Before(silent.spokeAt) {
				silent = g
			}
		}
	}
	if n > most {
		t.forget(silent)
		silent.Close()
	}
}

func (t *intake) forget(g *guest) {
	if i := slices.Index(t.guests, g); i >= 0 {
		t.guests = slices.Delete(t.guests, i, i+1)
		t.book.add(connectionsClosed, 1)
	}
}

// closeGuests ends all connections to the manager's address.
func (t *intake) closeGuests() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.guests {
		g.Close()
	}
}

// attend reads one guest's lines until it ends, says what can't be read, or is silent for too long.
func (t *intake) attend(g *guest) {
	t.part(g, safely(t.book, "collector", func() error {
		return lines(g, func() int { return t.longest(g) }, func(line []byte) error {
			text := string(line)
			kind, in, err := t.words.line(text)
			in, ping, err := t.heed(g, time.Now(), text, kind, in, err)
			t.count(in, 1)
			switch {
			case err != nil:
				return err
			case ping:
				return t.pong(g, 1)
			case in != nil && !t.give(in):
				return errStop
			}
			return nil
		})
	}))
}

// start is what a log line shows of a message.
func start(line string) string { return line[:min(len(line), 200)] }

// millis is a time in seconds, to the millisecond.
func millis(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }

// longest is the most bytes of a guest's line.
func (t *intake) longest(g *guest) int {
	if g.useful {
		return t.limits.LineNamed
	}
	return t.limits.LineUnnamed
}

// pong answers signs of life that were asked for.
func (t *intake) pong(g *guest, n int) error {
	if !t.ready() {
		return nil
	}
	_, err := g.Write(bytes.Repeat([]byte("pong\r\n"), n))
	return err
}

// part ends a guest, for a reason that is counted.
func (t *intake) part(g *guest, err error) {
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		t.book.add(halfLines, 1)
	case errors.Is(err, os.ErrDeadlineExceeded) && !g.useful:
		t.book.add(strangersLate, 1)
	case errors.Is(err, errUnread), errors.Is(err, errLong):
		t.book.add(linesUnread, 1)
		t.book.say("line", "from", g.RemoteAddr().String(), "error", err)
	}
	g.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(g)
}

// heed takes one line of a guest as it was decoded, and gives what is to be handed on and whether an answer to a
// ping is due; an error ends the connection. A spoilt message is dropped alone, but many one after another that
// report nothing end it too: the rest can't be read either, or it asks for signs of life without end and takes the
// time that decisions need.
func (t *intake) heed(g *guest, now time.Time, line, kind string, in any, err error) (on any, ping bool, end error) {
	switch name, naming := in.(collector); {
	case errors.Is(err, errUnread):
		return nil, false, err
	case g.idle >= t.limits.IdleMost && (err != nil || naming || kind == "ping"):
		return nil, false, errors.Join(errUnread, errors.New("reports nothing"))
	case kind == "ping":
		g.idle++
		t.book.add(pings, 1)
		return nil, true, nil
	case !g.named && !naming:
		return nil, false, errors.Join(errUnread, errors.New("a collector names its zone first"))
	case err != nil:
		t.book.add(either(err == errUnknown, unknownNames, spoilt), 1)
		t.book.say("spoilt", "from", g.RemoteAddr().String(), "line", start(line), "error", err)
		if g.idle++; !g.named {
			return nil, false, errors.Join(errUnread, err)
		}
		return nil, false, nil
	case naming:
		g.idle++
		t.name(g, name.zone)
		return nil, false, nil
	}
	g.idle = 0
	if !g.useful || now.Sub(g.spokeAt) > t.limits.Spoke {
		t.mu.Lock()
		g.spokeAt, g.useful = now, true
		t.mu.Unlock()
		g.grant(t.limits.SilentNamed)
	}
	return in, false, nil
}

// count notes that samples were taken in.
func (t *intake) count(in any, n int64) {
	switch in := in.(type) {
	case heard:
		t.book.add(reportsIn, n)
		if in.Load >= 0 {
			t.book.add(loadsIn, n)
		}
	case used:
		t.book.add(usagesIn, n)
	}
}

// name notes whose collector a guest is. Where no other of its zone reports, it may have nothing to report for
// a while; where one does, it keeps a stranger's time: guards against strangers that know a zone's name.
func (t *intake) name(g *guest, zone choice.ZoneID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.named {
		return
	}
	g.named, g.zone = true, zone
	t.makeRoom(true, t.limits.Named)
	for _, other := range t.guests {
		if other.useful && other.zone == zone && time.Since(other.spokeAt) < t.limits.Stranger {
			return
		}
	}
	g.lengthen(t.limits.SilentNamed)
}

func either[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

// keep opens a stream again and again: at once when one that had opened ends, then with short
// waits by chance, until its way is let go or another is there.
func (t *intake) keep(w *way, what string, breaks counter, open func() (opened bool, err error)) {
	defer close(w.over)
	for tries := 0; w.renew.Err() == nil; tries++ {
		began := time.Now()
		opened := false
		err := safely(t.book, what, func() (err error) {
			opened, err = open()
			return err
		})
		if w.open.Err() != nil {
			return
		}
		t.book.add(breaks, 1)
		t.book.say(what, "lasted", millis(time.Since(began)), "opened", opened, "error", err)
		if opened && time.Since(began) > t.limits.BackoffMost {
			tries = 0
		}
		if tries > 0 && !t.backoff(w.renew.Done()) {
			return
		}
	}
}

// backoff waits for a short time by chance; false where it is stopped meanwhile.
func (t *intake) backoff(stop <-chan struct{}) bool {
	t.mu.Lock()
	spread := t.chance.Float64()
	t.mu.Unlock()
	wait := t.limits.BackoffLeast + time.Duration(spread*float64(t.limits.BackoffMost-t.limits.BackoffLeast))
	select {
	case <-time.After(wait):
		return true
	case <-stop:
		return false
	}
}

// news keeps the relay's news on a way.
func (t *intake) news(w *way) {
	t.keep(w, "news", newsBreaks, func() (bool, error) { return t.readNews(w) })
}

// readNews reads the relay's news once, to its end. What it opens with is over at the first sign of
// life that comes a while after it.
func (t *intake) readNews(w *way) (opened bool, err error) {
	var kind, data string
	var at time.Time
	standing, began, skipped := false, false, false
	begin := func() {
		w.takeOver()
		began, at = true, time.Now()
		give(newsOpened{}, t.inputs, w.open.Done())
	}
	err = stream(w.open, t.limits, w.address, "/v3/kv/stream", t.limits.SilentNews, t.limits.LineNews, func() error {
		opened = true
		t.book.add(newsOpens, 1)
		if w.old == nil {
			begin()
		}
		return nil
	}, func(line []byte) error {
		if !began { // guards against letting the old way go for one that brings nothing
			begin()
		}
		text := string(line)
		name, value, _ := strings.Cut(text, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case text == "":
			if kind == "" && data == "" {
				return nil
			}
			in, err := t.words.event(kind, data)
			kind, data = "", ""
			if err == errUnknown {
				t.book.add(unknownNames, 1)
				return nil
			} else if _, answer := in.(applied); answer && err != nil {
				t.book.add(spoilt, 1) // alone: a later mark settles it; a join or a leave that is lost would stay lost
				return nil
			} else if err != nil {
				t.book.add(spoilt, 1)
				t.book.say("spoilt_news", "from", w.address, "error", err)
				if skipped = true; w.spoilt() {
					return err // the opening of the next tells it again
				}
				return nil
			}
			switch in.(type) {
			case joined:
				t.book.add(joinsIn, 1)
			case left:
				t.book.add(leavesIn, 1)
			case applied:
				t.book.add(appliedIn, 1)
			}
			if !give(in, t.inputs, w.open.Done()) {
				return errStop
			}
		case name == "": // a sign of life
			if !standing && time.Since(at) >= t.limits.NewsOpening {
				standing = true
				if skipped {
					return nil // guards against taking for left who was told in what could not be read
				}
				w.sound()
				give(newsStands{}, t.inputs, w.open.Done())
			}
		case name == "event" && strings.Trim(value, "abcdefghijklmnopqrstuvwxyz_") == "":
			kind = value
		case name == "data":
			if data += value; len(data) > t.limits.LineNews {
				return errLong
			}
		case name != "id" && name != "retry":
			return fmt.Errorf("%.40q is no line of an event stream", text)
		}
		return nil
	})
	return opened, err
}

// lists is discovery's watch from the version held.
type lists struct {
	mu     sync.Mutex
	held   int64
	lowest int64 // a whole list that is older than held, told at the opening of the last watch
	behind int   // watches in a row that brought only what is older
}

// watch reads discovery's watch once, to its end.
func (t *intake) watch(w *way, held *lists) (opened bool, err error) {
	first, began := true, false
	var gap, stale time.Time // since when something that could not be read is missing; since when only older ones come
	path := "/discovery/hosts?watch=1&after=" + strconv.FormatInt(held.from(), 10)
	err = stream(w.open, t.limits, w.address, path, t.limits.SilentWatch, t.limits.LineList, func() error {
		opened = true
		t.book.add(watchOpens, 1)
		return nil
	}, func(line []byte) error {
		if !began { // guards against letting the old way go for one that brings nothing
			began = true
			w.takeOver()
		}
		if !gap.IsZero() && time.Since(gap) >= t.limits.GapMost {
			return errGap
		} else if !stale.IsZero() && time.Since(stale) >= t.limits.GapMost {
			held.fellBehind()
			return errGap
		}
		if len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
		in, unknown, err := t.words.list(line)
		if err != nil {
			t.book.add(spoilt, 1)
			t.book.say("spoilt_list", "from", w.address, "error", err)
			if first = false; w.spoilt() {
				return err
			}
			// asked for again it was spoilt again: what follows is taken meanwhile
			gap = time.Now()
			return nil
		}
		t.book.add(unknownNames, int64(unknown))
		opening := first
		first = false
		if !held.admits(in, opening) {
			t.book.add(listsOld, 1)
			t.book.say("old_list", "version", in.generation, "held", held.generation())
			if opening && in.snapshot {
				return errors.New("an older list than the one held")
			}
			if stale.IsZero() { // guards against all that follows a generation that was never true counting as old
				stale = time.Now()
			}
			return nil
		}
		stale = time.Time{}
		if in.snapshot || len(in.entries) > 0 { // else nothing has changed
			t.book.add(listsIn, 1)
			if !give(in, t.inputs, w.open.Done()) {
				return errStop // it is not held: guards against a change that the next watch takes for an old one
			}
		}
		if in.snapshot {
			gap = time.Time{}
		}
		if gap.IsZero() {
			held.took(in)
			w.sound()
		}
		return nil
	})
	return opened, err
}

var errGap = errors.New("what is missing is asked for again")

func (h *lists) generation() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// from is the generation to ask from: that held, or the beginning where discovery brings only what is older. Guards
// against a generation that was never true, which a discovery may take for news to come.
func (h *lists) from() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return either(h.behind > 1, 0, h.held)
}

func (h *lists) fellBehind() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.behind++
}

// admits tells whether a list is news. An older one never replaces a newer by accident: a whole
// list with a lower version is taken only where two watches in a row open with one, as after
// discovery began anew.
func (h *lists) admits(in listed, opening bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	older := in.generation < h.held || in.generation == h.held && !in.snapshot && len(in.entries) > 0
	if older && !(opening && in.snapshot && h.lowest >= 0 && in.generation >= h.lowest) {
		if opening && in.snapshot {
			h.lowest = in.generation
		}
		return false
	}
	return true
}

// took moves the version held to a list that was handed on.
func (h *lists) took(in listed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held, h.lowest, h.behind = in.generation, -1, 0
}

type probe struct {
	server  choice.ServerID
	address string
}

// onThisSide tells whether a connection failed on this side, which says nothing of the other. Guards against a zone that is
// taken for lost, or servers for silent, when this process has no descriptors left.
func onThisSide(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// safely does what reads from outside, and turns a panic of it into an error that ends the connection alone. Guards
// against a message that ends the process. The owner of the module is not among them: what it holds may be half done.
func safely(b *book, what string, do func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			b.add(readersFailed, 1)
			b.say("reader_failed", "reader", what, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			err = errors.Join(errUnread, fmt.Errorf("the reader failed: %v", cause))
		}
	}()
	return do()
}

// probe asks one server whether it is alive, and for its load where servers tell it; false where it could not ask.
func (t *intake) probe(p probe, path string) (out probed, asked bool) {
	out = probed{server: p.server, address: p.address, answer: choice.Silent, load: -1}
	began := time.Now()
	defer func() { out.took = time.Since(began) }()
	conn, err := dial(context.Background(), t.limits, p.address, t.limits.ProbeAnswer)
	if err != nil {
		out.answer = choice.Unreached
		return out, !onThisSide(err)
	}
	defer conn.Close()
	c := client(t.limits, p.address, conn, false)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.address + path)
	req.SetConnectionClose()
	err = safely(t.book, "probe", func() error { return c.Do(req, resp) })
	switch status := resp.StatusCode(); {
	case err != nil && conn.failed == nil:
		out.answer = choice.Erred // something answers there, but not as a server does
	case err != nil:
	case status == fasthttp.StatusOK:
		out.answer = choice.Answered
		out.load, _ = load(strings.TrimPrefix(string(resp.Body()), "TEXT "), ",", "=", t.words.flowsMost)
	case status == fasthttp.StatusServiceUnavailable:
		out.answer = choice.Full
	default:
		out.answer = choice.Erred
	}
	return out, true
}

// prober carries out ordered probes, a limited number at once; none waits for another's answer.
func (t *intake) prober(orders <-chan probe, path string) {
	for {
		select {
		case <-t.stop:
			return
		case p := <-orders:
			t.book.add(probesSent, 1)
			in, asked := t.probe(p, path)
			if !asked {
				t.book.add(probesDropped, 1)
				t.book.say("probe", "server", string(p.server), "error", "no descriptor or port is left")
				continue
			}
			if in.answer == choice.Answered {
				t.book.add(probesAnswered, 1)
			} else {
				t.book.add(probesFailed, 1)
			}
			if !t.give(in) {
				return
			}
		}
	}
}
