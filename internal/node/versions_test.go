package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/choice"
	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
	"tamarindshore/internal/config"
	"tamarindshore/internal/stand"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

var testKey = bytes.Repeat([]byte{5}, 32)

func keyOf(t testing.TB, secret []byte) tables.Key {
	k, err := tables.NewKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// versioned is a rig whose manager has an admin socket, a store and a listener for holders.
type versioned struct {
	*stand.Rig
	socket, feed string
	now          *ours
}

func raise(t testing.TB, site stand.Site) *versioned {
	t.Helper()
	dir := t.TempDir()
	v := &versioned{socket: filepath.Join(dir, "s"), feed: freeAddress(t)}
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte(hex.EncodeToString(testKey)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	settings := fmt.Sprintf("(admin (socket %q)) (store (path %q)) (tables (listen %q) (keys %q))", v.socket, filepath.Join(dir, "v.db"), v.feed, keys)
	r, err := stand.Raise(site, stand.How{Cores: 1, MemoryMB: 512, Sockets: 4096, Seed: 1, Settings: settings}, func(start, settings string) (stand.Daemon, error) {
		o, err := config.ReadOperator(settings)
		if err != nil {
			return nil, err
		}
		read := func() (config.Start, error) {
			s, err := config.Read(func(key string) string { return map[string]string{"PROXY_CONFIG": start}[key] })
			if err != nil {
				return s, err
			}
			return s.With(o)
		}
		s, err := read()
		if err != nil {
			return nil, err
		}
		n, err := New(s, io.Discard)
		if err != nil {
			return nil, err
		}
		v.now = begun(n, read)
		return v.now, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	v.Rig = r
	t.Cleanup(r.Close)
	return v
}

func freeAddress(t testing.TB) string {
	at, err := stand.Free()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

func (v *versioned) ask(t testing.TB, a Ask) (string, error) {
	t.Helper()
	c, err := net.Dial("unix", v.socket)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	json.NewEncoder(c).Encode(a)
	var told Told
	if err := json.NewDecoder(c).Decode(&told); err != nil {
		t.Fatal(err)
	}
	if told.Error != "" {
		return "", fmt.Errorf("%s", told.Error)
	}
	return strings.Join(told.Lines, "\n"), nil
}

// versions are those kept, newest first.
func (v *versioned) versions(t testing.TB) (all []string) {
	t.Helper()
	text, err := v.ask(t, Ask{Do: "log"})
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(text, "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] != "held" {
			all = append(all, f[0])
		}
	}
	return all
}

func (v *versioned) show(t testing.TB, id string) string {
	t.Helper()
	text, err := v.ask(t, Ask{Do: "show", Version: id})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// bound joins all proxies and waits until the tables are laid.
func (v *versioned) bound(t testing.TB) {
	t.Helper()
	ids := make([]int, v.Site.Proxies)
	for i := range ids {
		ids[i] = i
	}
	v.Relay.Join(ids...)
	for late := time.Now().Add(10 * time.Second); v.Relay.Counts().Bound < v.Site.Proxies; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("not all bound within 10 s")
		}
	}
}

// tail follows the feed with a holder.
func tail(t testing.TB, address string, n int, changed func(tables.Held)) *tables.Holder {
	h := tables.NewHolder(tables.Keys{keyOf(t, testKey)}, tables.Patience{First: 50 * time.Millisecond, Most: time.Second}, uint64(n))
	f := &follow.Follower{Name: fmt.Sprint("h", n), Keys: tables.Keys{keyOf(t, testKey)}, Holder: h, Most: 200 * time.Millisecond,
		Dial:    func(ctx context.Context) (net.Conn, error) { return (&net.Dialer{}).DialContext(ctx, "tcp", address) },
		Changed: func(held tables.Held, _ *tables.State) { changed(held) }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h
}

// latest keeps what each of some holders runs.
type latest struct {
	mu   sync.Mutex
	held map[int]tables.Held
	n    map[int]map[tables.ID]int
}

func newLatest() *latest { return &latest{held: map[int]tables.Held{}, n: map[int]map[tables.ID]int{}} }

func (l *latest) of(i int) func(tables.Held) {
	return func(h tables.Held) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.n[i] == nil {
			l.n[i] = map[tables.ID]int{}
		}
		l.held[i] = h
		l.n[i][h.ID]++
	}
}

// all tells whether so many run a version.
func (l *latest) all(n int, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range n {
		if l.held[i].ID.String() != id {
			return false
		}
	}
	return true
}

func TestAWayBackTakesEffectOnceAlsoAfterARestart(t *testing.T) {
	v := raise(t, stand.Usual(6, 12))
	l := newLatest()
	for i := range 8 {
		tail(t, v.feed, i, l.of(i))
	}
	v.bound(t)
	time.Sleep(1200 * time.Millisecond)
	good := v.versions(t)[0]
	before := v.show(t, good)
	drained := v.Servers[0]
	v.Discovery.Change(drained.Entry("draining"))
	soon(t, "drained", func() bool { return v.Relay.Flows(drained.ID) == 0 })
	told, err := v.ask(t, Ask{Do: "rollback", Version: good, Key: "k1", For: time.Minute})
	if err != nil || !strings.Contains(told, "done under key") {
		t.Fatal(told, err)
	}
	soon(t, "gone back", func() bool {
		return strings.Contains(strings.Join(v.versionLines(t), "\n"), `by "k1"`) || v.show(t, v.versions(t)[0]) != before
	})
	now := v.show(t, v.versions(t)[0])
	for _, line := range strings.Split(before, "\n") {
		if !strings.Contains(line, drained.ID) && strings.HasPrefix(line, "table") && !strings.Contains(line, "groups") && !strings.Contains(now, line) {
			t.Errorf("%q is not back in\n%s", line, now)
		}
	}
	if v.Relay.Flows(drained.ID) != 0 || !strings.Contains(now, "withdrawn "+drained.ID) {
		t.Error("a server that drained since gets flows back")
	}
	newest := v.versions(t)[0]
	soon(t, "all holders run it", func() bool { return l.all(8, newest) })
	if again, err := v.ask(t, Ask{Do: "rollback", Version: good, Key: "k1"}); err != nil || !strings.HasPrefix(again, "done before") {
		t.Error(again, err)
	}
	if text, err := v.ask(t, Ask{Do: "verify"}); err != nil || !strings.Contains(text, "hold") {
		t.Error(text, err)
	}
	v.Daemon.Stop(false)
	if err := v.Begin(); err != nil {
		t.Fatal(err)
	}
	if again, err := v.ask(t, Ask{Do: "rollback", Version: good, Key: "k1"}); err != nil || !strings.HasPrefix(again, "done before") {
		t.Errorf("after a restart: %q %v", again, err)
	}
	if !slices.Contains(v.versions(t), good) {
		t.Error("the versions of before the restart are gone")
	}
	soon(t, "holders follow the new epoch", func() bool {
		all := v.versions(t)
		return len(all) > 0 && !strings.HasPrefix(all[0], strings.Split(good, ".")[0]+".") && l.all(8, all[0])
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, of := range l.n {
		for id, n := range of {
			if n > 1 {
				t.Errorf("holder %d: %v took effect %d times", i, id, n)
			}
		}
	}
}

func (v *versioned) versionLines(t testing.TB) []string {
	text, err := v.ask(t, Ask{Do: "log"})
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(text, "\n")
}

// between passes bytes on to the feed's holders and spoils some of them.
func between(t *testing.T, address string, spoil *atomic.Bool) string {
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { at.Close() })
	go func() {
		for n := uint64(0); ; n++ {
			c, err := at.Accept()
			if err != nil {
				return
			}
			chance := rand.New(rand.NewPCG(n, 5))
			go func() {
				defer c.Close()
				to, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				defer to.Close()
				go func() { io.Copy(to, c); to.Close() }()
				in := bufio.NewReader(to)
				for {
					kind, body, err := follow.Read(in, tables.Longest)
					if err != nil {
						return
					}
					if kind == follow.Version && spoil.Load() && chance.IntN(2) == 0 {
						switch chance.IntN(3) {
						case 0:
							body[chance.IntN(len(body))] ^= 1 << chance.IntN(8)
						case 1:
							body = body[:chance.IntN(len(body))]
						case 2:
							return // cut between a push and its acknowledgement
						}
					}
					if follow.Write(c, kind, body) != nil {
						return
					}
				}
			}()
		}
	}()
	return at.Addr().String()
}

func TestCorruptDeltasLeaveEachHolderOnItsLastGoodVersion(t *testing.T) {
	v := raise(t, stand.Usual(9, 12))
	var spoil atomic.Bool
	spoil.Store(true)
	way, l := between(t, v.feed, &spoil), newLatest()
	for i := range 30 {
		tail(t, way, i, l.of(i))
	}
	v.bound(t)
	for round := range 12 {
		s := v.Servers[round%len(v.Servers)]
		v.Discovery.Change(s.Entry("draining"))
		time.Sleep(60 * time.Millisecond)
		v.Discovery.Change(s.Entry("up"))
		time.Sleep(60 * time.Millisecond)
	}
	good := map[string]bool{}
	for _, line := range v.versionLines(t) {
		good[strings.Fields(line)[0]] = true
	}
	l.mu.Lock()
	for i, h := range l.held {
		if !good[h.ID.String()] {
			t.Errorf("holder %d runs %v, which never was", i, h.ID)
		}
	}
	l.mu.Unlock()
	spoil.Store(false)
	soon(t, "all run the newest", func() bool { return l.all(30, v.versions(t)[0]) })
	if n := v.now.metrics.counts[versionsRefused].Load(); n == 0 {
		t.Error("no delta was refused")
	}
}

func TestWhoCantProveAKeyGetsNothing(t *testing.T) {
	v := raise(t, stand.Usual(3, 3))
	for what, say := range map[string]func(c net.Conn, nonce []byte){
		"silent":  func(net.Conn, []byte) {},
		"rubbish": func(c net.Conn, _ []byte) { io.WriteString(c, "GET / HTTP/1.1\r\n\r\n") },
		"other key": func(c net.Conn, nonce []byte) {
			follow.Write(c, follow.Hello, follow.Greet(nonce, keyOf(t, bytes.Repeat([]byte{6}, 32)), "x", tables.Held{}))
		},
		"replay": func(c net.Conn, _ []byte) {
			follow.Write(c, follow.Hello, follow.Greet(make([]byte, 16), keyOf(t, testKey), "x", tables.Held{}))
		},
	} {
		c, err := net.Dial("tcp", v.feed)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(4 * time.Second))
		kind, nonce, err := follow.Read(c, 64)
		if err != nil || kind != follow.Nonce {
			t.Fatal(kind, err)
		}
		say(c, nonce)
		if kind, _, err := follow.Read(c, 1<<20); err == nil {
			t.Errorf("%s: got a frame %c", what, kind)
		} else if late, ok := err.(net.Error); ok && late.Timeout() {
			t.Errorf("%s: still open", what)
		}
		c.Close()
	}
}

// A store that fails costs no decision; once it is back, what it missed is saved as a whole.
func TestAStoreThatFailsIsToldOnceAndCaughtUp(t *testing.T) {
	path := filepath.Join(t.TempDir(), "v.db")
	s, kept, err := store.Open(path, 1, store.Usual(), nil)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	b := newMetrics(0, zerolog.New(&log))
	va := &vault{store: s, metrics: b, filled: make(chan struct{}, 1), saved: kept.State.Digest()}
	c := versions.New(versions.Usual(1))
	propose := func(w float64) {
		r := c.Propose(0, choice.Orders{Lines: []choice.Line{{Table: 0, Server: choice.ServerID(fmt.Sprint("s", w)), Weight: w}}}, "x", anyone{})
		va.version(r.Version)
	}
	propose(1)
	if !va.save() {
		t.Fatal("not saved")
	}
	s.Close() // as if the disk were gone
	for i := range vaultMost + 20 {
		propose(float64(i + 2))
		if va.save() {
			t.Fatal("saved to a store that is closed")
		}
	}
	if n := strings.Count(log.String(), "store_failed"); n != 1 || len(va.waits) > vaultMost {
		t.Errorf("told %d times, %d wait", n, len(va.waits))
	}
	if va.store, _, err = store.Open(path, 1, store.Usual(), nil); err != nil {
		t.Fatal(err)
	}
	if !va.save() || !strings.Contains(log.String(), "store_again") {
		t.Error("not caught up")
	}
	va.store.Close()
	if kept, err := store.Look(path, store.Usual()); err != nil || kept.State.Digest() != c.State().Digest() {
		t.Error(err)
	}
}

type anyone struct{}

func (anyone) Sees(choice.ServerID) versions.Sight {
	return versions.Sight{Known: true, Open: true, Climbed: 1}
}
func (anyone) Flows(choice.TableID) float64 { return 1 }
func (anyone) Ready() (int, int)            { return 1, 1 }

// BenchmarkRollback is from a command of staff's to the holder that runs it last, of a thousand.
func BenchmarkRollback(b *testing.B) {
	v, l := raise(b, stand.Usual(30, 60)), newLatest()
	const n = 1000
	for i := range n {
		tail(b, v.feed, i, l.of(i))
	}
	v.bound(b)
	wait := func(id func() string) {
		for late := time.Now().Add(20 * time.Second); !l.all(n, id()); time.Sleep(time.Millisecond) {
			if time.Now().After(late) {
				b.Fatal("not all run the newest within 20 s")
			}
		}
	}
	newest := func() string { return v.versions(b)[0] }
	wait(newest)
	time.Sleep(time.Second)
	good := newest()
	c, err := net.Dial("tcp", v.Manager)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "collector site=a\r\n")
	report := func() { // a third of the servers are slow, so that the tables move
		for range 8 {
			for s := range v.Site.Servers {
				fmt.Fprintf(c, "heard site=a target=%s count=20 fail=0 mean=%d over=250\r\n", stand.ServerID(s), 100+2000*(1-min(1, s%3)))
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
	var took []time.Duration
	for i := 0; b.Loop(); i++ {
		report()
		was, began := newest(), time.Now()
		if _, err := v.ask(b, Ask{Do: "rollback", Version: good, Key: fmt.Sprint("k", i)}); err != nil {
			b.Fatal(err)
		}
		now := newest()
		if now == was {
			b.Fatal("nothing was to go back to")
		}
		wait(func() string { return now })
		took = append(took, time.Since(began))
		v.ask(b, Ask{Do: "resume", Key: fmt.Sprint("r", i)})
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(took[len(took)-1])/1e6, "most-ms")
}
