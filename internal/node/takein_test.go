package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/choice"
	"tamarindshore/internal/config"
)

func testIntake(stop chan struct{}, l config.Limits) *intake {
	return &intake{limits: l, words: testWords(), inputs: make(chan any, 64), stop: stop, book: newBook(time.Hour, zerolog.Nop()),
		ready: func() bool { return true }, chance: rand.New(rand.NewPCG(1, 1))}
}

func to(t testing.TB, address string) *way { return newWay(t.Context(), address) }

// listening is an intake that accepts; what it hands on comes out of the channel.
func listening(t *testing.T, l config.Limits, ready bool) (*intake, string, chan any) {
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop, inputs := make(chan struct{}), make(chan any, 64)
	in := testIntake(stop, l)
	in.inputs, in.ready = inputs, func() bool { return ready }
	go in.accept(at)
	t.Cleanup(func() { close(stop); at.Close() })
	return in, at.Addr().String(), inputs
}

func dialled(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, text)
	return c
}

// ended reads to the end of a connection that the manager closes.
func ended(c net.Conn) string {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	text, err := io.ReadAll(c)
	if errors.Is(err, net.ErrClosed) || err != nil && strings.Contains(err.Error(), "timeout") {
		return "still open"
	}
	return string(text)
}

const report = "usage id=17 lane=book count=19 fail=1 over=1000.0\r\n"

func TestAttendTakesLinesInPieces(t *testing.T) {
	_, address, inputs := listening(t, limits, true)
	c := dialled(t, address, "")
	for _, b := range []byte("collector site=a\r\n" + report) {
		c.Write([]byte{b})
	}
	if in := (<-inputs).(used); in.Proxy != 17 || in.Flows != 19 {
		t.Errorf("%+v", in)
	}
}

func TestAttendAnswersPingOnceReady(t *testing.T) {
	for _, ready := range []bool{true, false} {
		_, address, _ := listening(t, limits, ready)
		c := dialled(t, address, "ping\r\nsing\r\n")
		if got, want := ended(c), map[bool]string{true: "pong\r\n", false: ""}[ready]; got != want {
			t.Errorf("ready %v: %q", ready, got)
		}
	}
}

// Guards against strangers that are kept waiting: rubbish, orders, HTTP, what names no zone of the site.
func TestAttendClosesWhatItCantRead(t *testing.T) {
	for _, text := range []string{"sing\r\n", report, strings.Repeat("x", 6000), "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "\r\n",
		"share,4,s-1,1.5\r\n", "joined id=99999 site=a rps=1 new=1\r\n", "collector site=z\r\n", "collector\r\n",
		"collector site=a\r\n\x02\xff\r\n", "collector site=a\r\n" + strings.Repeat("x", 8000)} {
		_, address, inputs := listening(t, limits, true)
		if got := ended(dialled(t, address, text)); got != "" {
			t.Errorf("%.20q: %q", text, got)
		}
		if len(inputs) > 0 {
			t.Errorf("%.20q: %+v", text, <-inputs)
		}
	}
}

// Guards against good reports that are lost with a spoilt one, and against a connection that brings nothing else.
func TestAttendDropsASpoiltMessageAlone(t *testing.T) {
	in, address, inputs := listening(t, limits, true)
	spoiltOne := "usage id=x lane=book count=19 fail=1 over=1000.0\r\n"
	c := dialled(t, address, "collector site=a\r\n"+report+spoiltOne+spoiltOne+spoiltOne+report+spoiltOne)
	<-inputs
	if got := (<-inputs).(used); got.Proxy != 17 {
		t.Errorf("%+v", got)
	}
	io.WriteString(c, spoiltOne+spoiltOne+spoiltOne+report)
	if got := ended(c); got != "" || len(inputs) > 0 || in.book.counts[spoilt].Load() != 6 {
		t.Errorf("%q, %d inputs, %d spoilt", got, len(inputs), in.book.counts[spoilt].Load())
	}
}

// Guards against a stranger that begins its time anew with each line, and one that knows a zone's name.
func TestStrangersHaveOneFixedTime(t *testing.T) {
	l := limits
	l.Stranger, l.SilentNamed, l.IdleMost = 150*time.Millisecond, 50*time.Millisecond, 1000
	for _, start := range []string{"", "ping\r\n", "collector site=a\r\n"} {
		_, address, _ := listening(t, l, true)
		c := dialled(t, address, start)
		began := time.Now()
		go func() {
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				if _, err := io.WriteString(c, "ping\r\n"); err != nil {
					return
				}
			}
		}()
		if got := ended(c); got == "still open" || time.Since(began) > time.Second {
			t.Errorf("%q: closed after %v", start, time.Since(began))
		}
	}
}

// Guards against one that asks for signs of life as fast as it can.
func TestPingsAreBounded(t *testing.T) {
	_, address, _ := listening(t, limits, true)
	c := dialled(t, address, "")
	for range limits.IdleMost {
		io.WriteString(c, "ping\r\n")
		if n, err := c.Read(make([]byte, 6)); n != 6 || err != nil {
			t.Fatalf("no pong: %v", err)
		}
	}
	io.WriteString(c, "ping\r\n")
	if got := ended(c); got != "" {
		t.Errorf("%q", got)
	}
}

func TestANameWinsTimeOnlyWhereNobodyReports(t *testing.T) {
	in := testIntake(make(chan struct{}), limits)
	now := time.Now()
	good := &guest{named: true, useful: true, zone: "a", spokeAt: now}
	in.guests = []*guest{good}
	for zone, more := range map[choice.ZoneID]bool{"a": false, "b": true} {
		g := &guest{}
		g.until = now
		if in.name(g, zone); !g.named || g.until.After(now) != more {
			t.Errorf("%s: until %v later", zone, g.until.Sub(now))
		}
	}
}

func TestAttendDropsAHalfLine(t *testing.T) {
	in, address, inputs := listening(t, limits, true)
	c := dialled(t, address, "collector site=a\r\n"+report+report[:20])
	c.(*net.TCPConn).CloseWrite()
	ended(c)
	if len(inputs) != 1 || in.book.counts[halfLines].Load() != 1 {
		t.Errorf("%d inputs, %d halves", len(inputs), in.book.counts[halfLines].Load())
	}
}

// Guards against strangers in hundreds that cost a collector its place.
func TestStrangersDoNotCostACollectorItsPlace(t *testing.T) {
	_, address, inputs := listening(t, limits, true)
	c := dialled(t, address, "collector site=a\r\n"+report)
	<-inputs
	first := dialled(t, address, "")
	for range 40 {
		dialled(t, address, "")
	}
	if got := ended(first); got != "" {
		t.Errorf("the longest silent stranger: %q", got)
	}
	io.WriteString(c, report)
	<-inputs
	for range 40 {
		dialled(t, address, "collector site=a\r\n")
	}
	io.WriteString(c, report)
	<-inputs
}

func TestSilentStrangersAreClosed(t *testing.T) {
	l := limits
	l.Stranger = 5 * time.Millisecond
	_, address, _ := listening(t, l, true)
	if got := ended(dialled(t, address, "")); got != "" {
		t.Errorf("%q", got)
	}
}

// streaming is a stand-in that answers each request for a stream with the next of parts, in pieces;
// one that ends in "..." stays open and silent after it.
func streaming(t *testing.T, parts ...string) (string, <-chan string) {
	asked, next := make(chan string, 64), make(chan string, 64)
	for _, p := range parts {
		next <- p
	}
	return server(t, func(c net.Conn) {
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			return
		}
		asked <- strings.TrimSpace(line)
		text, silent := strings.CutSuffix(<-next, "...")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for len(text) > 0 {
			n := min(7, len(text))
			fmt.Fprintf(c, "%x\r\n%s\r\n", n, text[:n])
			text = text[n:]
		}
		if silent {
			io.ReadAll(c)
		}
	}), asked
}

func drained(inputs chan any) (all []any) {
	for len(inputs) > 0 {
		all = append(all, <-inputs)
	}
	return all
}

func TestNewsIsReadInOrder(t *testing.T) {
	address, asked := streaming(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n:\n"+
		"event: applied\r\ndata: id=17&seq=905&ms=310.4\r\n\r\nevent: other\ndata: x\n\nevent: left\ndata: id=17\n\nevent: left\nda")
	in, inputs := testIntake(make(chan struct{}), limits), make(chan any, 64)
	in.inputs = inputs
	opened, err := in.readNews(to(t, address))
	if got := <-asked; got != "GET /v3/kv/stream HTTP/1.1" || !opened || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q %v %v", got, opened, err)
	}
	want := fmt.Sprint([]any{newsOpened{}, joined{17, "a", 21.5}, newsStands{}, applied{17, 905}, left{17}})
	if got := fmt.Sprint(drained(inputs)); got != want {
		t.Errorf("%s", got)
	}
}

func TestNewsEndsWhereItIsSilentOrUnreadable(t *testing.T) {
	for text, want := range map[string]string{
		"event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...":      "timeout",
		"event: applied\ndata: id=x\n\nevent: left\ndata: id=x\n\n...": "id: ",
		"\x00\xff\xfe\n...":                             "no line",
		"event: \x01left\ndata: id=17\n\n...":           "no line",
		strings.Repeat("data: x", 1000) + "...":         errLong.Error(),
		strings.Repeat("data: xxxxxxx\n", 1000) + "...": errLong.Error(),
	} {
		l := limits
		if want == "timeout" {
			l.SilentNews = 200 * time.Millisecond
		}
		address, _ := streaming(t, text)
		if _, err := testIntake(make(chan struct{}), l).readNews(to(t, address)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v", text, err)
		}
	}
}

func entry(version int, whole bool, id string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":%q,"zone":"a","lifecycle":"up"}]}`+"\n", version, whole, id)
}

// watched is what a watch from version 41 hands on.
func watched(t *testing.T, l config.Limits, held *lists, text string) (ids []choice.ServerID, err error) {
	address, _ := streaming(t, text)
	in, inputs := testIntake(make(chan struct{}), l), make(chan any, 64)
	in.inputs = inputs
	_, err = in.watch(to(t, address), held)
	for _, one := range drained(inputs) {
		ids = append(ids, one.(listed).entries[0].Server)
	}
	return ids, err
}

func TestWatchTakesWhatIsNew(t *testing.T) {
	held := &lists{held: 41, lowest: -1}
	ids, err := watched(t, limits, held, "\n"+entry(42, false, "s-1")+"\r\n"+entry(42, false, "old")+entry(40, false, "old")+
		`{"generation":42,"reset":false,"instances":[]}`+"\n"+entry(50, true, "s-2")+`{"generation":51`)
	if fmt.Sprint(ids) != "[s-1 s-2]" || held.held != 50 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%v %d %v", ids, held.held, err)
	}
}

func TestWatchEndsWhereItIsSilentOrUnreadable(t *testing.T) {
	l := limits
	l.SilentWatch = 200 * time.Millisecond
	for text, want := range map[string]string{entry(42, false, "s-1") + "...": "timeout", "{]\n...": "invalid", "{\"generation\":43}x\n...": "invalid"} {
		if _, err := watched(t, l, &lists{held: 41, lowest: -1}, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v", text, err)
		}
	}
}

// Guards against an old list that replaces a newer one by accident, and against keeping a list that
// discovery no longer knows after it began anew.
func TestAnOlderWholeListNeedsASecondWitness(t *testing.T) {
	held := &lists{held: 41, lowest: -1}
	if ids, err := watched(t, limits, held, entry(3, true, "s-1")+"..."); len(ids) > 0 || err == nil {
		t.Errorf("first: %v %v", ids, err)
	}
	if ids, _ := watched(t, limits, held, entry(3, true, "s-1")); fmt.Sprint(ids) != "[s-1]" || held.held != 3 {
		t.Errorf("second: %v %d", ids, held.held)
	}
}

func TestKeepOpensAtOnceThatWhichHadOpened(t *testing.T) {
	l := limits
	l.BackoffLeast, l.BackoffMost = time.Hour, time.Hour
	n, w := 0, to(t, "")
	testIntake(nil, l).keep(w, "news", newsBreaks, func() (bool, error) {
		if n++; n == 2 {
			w.letGo()
		}
		return true, io.EOF
	})
	if n != 2 {
		t.Errorf("opened %d times", n)
	}
}

func TestProbeMapsEachOutcome(t *testing.T) {
	for answer, want := range map[string]probed{
		"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\nTEXT inflight=7, queue=2, util=0.6": {answer: choice.Answered, load: 7},
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n???":                                 {answer: choice.Answered, load: -1},
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n":                   {answer: choice.Full, load: -1},
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n":                             {answer: choice.Erred, load: -1},
		"rubbish\r\n\r\n": {answer: choice.Erred, load: -1},
		"":                {answer: choice.Silent, load: -1},
		"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\nTEXT": {answer: choice.Silent, load: -1},
		"...": {answer: choice.Silent, load: -1},
	} {
		l := limits
		text, silent := strings.CutSuffix(answer, "...")
		if silent {
			l.ProbeAnswer = 30 * time.Millisecond
		}
		address := server(t, func(c net.Conn) {
			bufio.NewReader(c).ReadString('\n')
			io.WriteString(c, text)
			if silent {
				io.ReadAll(c)
			}
		})
		got, _ := testIntake(make(chan struct{}), l).probe(probe{"s-1", address}, "/metrics/load")
		if got.answer != want.answer || got.load != want.load || got.took <= 0 {
			t.Errorf("%.30q: %+v", answer, got)
		}
	}
}

func TestProbeOfNoServerIsUnreached(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	l.Close()
	for _, address := range []string{l.Addr().String(), "", "no address"} {
		if got, asked := testIntake(make(chan struct{}), limits).probe(probe{"s-1", address}, "/alive"); !asked || got.answer != choice.Unreached {
			t.Errorf("%q: %+v", address, got)
		}
	}
}

func TestAProbeWithoutADescriptorSaysNothingOfTheServer(t *testing.T) {
	address := server(t, func(c net.Conn) { io.ReadAll(c) })
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	none := was
	none.Cur = 0
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	got, asked := testIntake(make(chan struct{}), limits).probe(probe{"s-1", address}, "/alive")
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)
	if asked {
		t.Errorf("%+v", got)
	}
}

func TestStreamThatDoesNotBeginEndsSoon(t *testing.T) {
	l := limits
	l.Opening = 30 * time.Millisecond
	address := server(t, func(c net.Conn) { io.ReadAll(c) })
	if opened, err := testIntake(make(chan struct{}), l).readNews(to(t, address)); opened || err == nil {
		t.Errorf("%v %v", opened, err)
	}
}
