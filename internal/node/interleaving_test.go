package node

// Each test here stops the code between two lines, by a channel or a fake that stops at a named byte, and lets a
// message, an answer, a signal or a close come just there.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
	"tamarindshore/internal/fakes"
)

// Guards against a SIGHUP that comes while the file is half written, with none after it.
func TestAnInvalidFileIsReadAgain(t *testing.T) {
	s := testConfig(t)
	s.Limits.ReloadRetries = 2
	s.Limits.ReloadRetryInterval = time.Millisecond
	n, err := New(s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error)
	d := startInProcess(n, func() (config.Config, error) { return s, <-read })
	defer d.Stop(false)
	half := errors.New("unexpected end of JSON input")
	d.reload <- syscall.SIGHUP
	read <- half
	read <- nil
	eventually(t, "reloaded", func() bool { return n.metrics.counts[reloads].Load() == 1 })
	d.reload <- syscall.SIGHUP
	for range 3 {
		read <- half
	}
	d.reload <- syscall.SIGHUP // it has given up, and takes the next
	read <- nil
	eventually(t, "reloaded again", func() bool { return n.metrics.counts[reloads].Load() == 2 })
	if n := n.metrics.counts[reloadsFailed].Load(); n != 4 {
		t.Errorf("%d faulty", n)
	}
}

// Guards against an end that fails, or waits, because it is asked for before the start is done.
func TestShutdownBeforeStartupCompletes(t *testing.T) {
	s := testConfig(t)
	s.Limits.ListenTimeout = time.Hour
	occupyAddress(t, s.Listen)
	n, err := New(s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	end()
	if err := n.Run(ctx, Signals{}, nil); err != nil {
		t.Error(err)
	}
}

func openDescriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// Guards against goroutines and descriptors that outlive a manager that ended amid streams, calls, health checks and collectors.
func TestShutdownLeaksNoGoroutineOrDescriptor(t *testing.T) {
	before := 0
	open := 0
	for round := range 4 {
		if round == 1 { // libraries start a few goroutines once in a process
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			before = runtime.NumGoroutine()
			open = openDescriptors(t)
		}
		v := startDeployment(t, fakes.DefaultSite(6, 20))
		v.Relay.ConnectProxies(0, 1, 2, 3)
		eventually(t, "assigned", func() bool { return v.Relay.Counts().AssignedProxies == 4 })
		var collectors []net.Conn
		for _, text := range []string{"", "ping\r\n", "collector site=" + v.Site.Zone(0) + "\r\n", "usage id=1"} {
			c, err := net.Dial("tcp", v.ManagerAddress)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, text)
			collectors = append(collectors, c)
		}
		v.Deployment.Manager.Stop(false)
		for _, c := range collectors {
			if got := readToEnd(c); got == "still open" {
				t.Errorf("%q", got)
			}
			c.Close()
		}
		v.Deployment.Close()
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	// the HTTP library lets a server's cleaner sleep for 10 s more
	eventuallyWithin(t, 20*time.Second, "no goroutine and no descriptor is left", func() bool {
		return runtime.NumGoroutine() <= before && openDescriptors(t) <= open
	})
	if t.Failed() {
		t.Logf("%d goroutines, %d before; %d descriptors, %d before", runtime.NumGoroutine(), before, openDescriptors(t), open)
		pprof.Lookup("goroutine").WriteTo(os.Stderr, 1)
	}
}

// Guards against one customer's words, limits or figures that show in another's manager in the same process.
func TestTwoManagersWithDifferentSettingsShareNothing(t *testing.T) {
	line := "usage id=1 lane=book count=1 fail=0 over=1000.0"
	other := newDecoder(balancer.Settings{Zones: []balancer.ZoneID{"hall"}, Proxies: 1,
		Classes: []balancer.TrafficClass{{Deadline: time.Second}, {Deadline: time.Second}}}, []string{"read", "write"}, time.Now(), testLimits)
	ours := testDecoder()
	for range 3 {
		if in, err := ours.parseLine(line); err != nil || in.(usageReport).Requests != 1 {
			t.Errorf("ours: %+v %v", in, err)
		}
		if _, err := other.parseLine(line); err == nil {
			t.Error("the other takes a traffic group that it does not have")
		}
		if _, err := other.parseLine("collector site=a"); !errors.Is(err, errUnknownName) {
			t.Errorf("the other takes a zone that it does not have: %v", err)
		}
	}
	a := newMetrics(time.Hour, zerolog.Nop())
	b := newMetrics(time.Hour, zerolog.Nop())
	if a.add(pings, 3); b.counts[pings].Load() != 0 {
		t.Error("counters are shared")
	}
}

// Guards against an end that waits for a file that does not come.
func TestShutdownWhileTheFileIsRead(t *testing.T) {
	n, err := New(testConfig(t), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	reading := make(chan struct{})
	never := make(chan struct{})
	defer close(never)
	d := startInProcess(n, func() (config.Config, error) {
		close(reading)
		<-never
		return config.Config{}, nil
	})
	d.reload <- syscall.SIGHUP
	<-reading
	d.cancel()
	select {
	case <-d.done:
	case <-time.After(5 * time.Second):
		t.Error("no end within 5 s")
	}
}

// Guards against an answer lost because the manager closes with bytes unread, which resets the connection.
func TestAPongIsSentBeforeAClose(t *testing.T) {
	_, address, _ := startReceiver(t, testLimits, true)
	for range 20 {
		c := dialManager(t, address, "ping\r\n"+strings.Repeat("x", 1<<18)+"\r\n")
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if line, err := bufio.NewReader(c).ReadString('\n'); line != "pong\r\n" {
			t.Fatalf("%q %v", line, err)
		}
	}
}

// Guards against a collector that sends as fast as it can and keeps others, the list and the end from being heard.
func TestAFloodFromOneCollectorBlocksNobody(t *testing.T) {
	site := fakes.DefaultSite(6, 20)
	v := startDeployment(t, site)
	v.Relay.ConnectProxies(0, 1, 2, 3)
	eventually(t, "assigned", func() bool { return v.Relay.Counts().AssignedProxies == 4 })
	flood, err := net.Dial("tcp", v.ManagerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	over := make(chan struct{})
	go func() {
		defer close(over)
		fmt.Fprintf(flood, "collector site=%s\r\n", site.Zone(0))
		all := []byte(strings.Repeat("usage id=1 lane=quote count=4 fail=0 over=1000\r\n", 1000))
		for {
			if _, err := flood.Write(all); err != nil {
				return
			}
		}
	}()
	eventually(t, "flooded", func() bool { return v.manager.metrics.counts[usagesIn].Load() > 50_000 })
	c := dialManager(t, v.ManagerAddress, "ping\r\n")
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "pong\r\n" {
		t.Errorf("%q %v", line, err)
	}
	s := v.Servers[0]
	v.Discovery.Publish(s.Entry("draining"))
	eventually(t, "withdrawn", func() bool { return v.Relay.RequestRate(s.ID) == 0 })
	v.manager.Stop(false)
	flood.Close()
	<-over
	assertNoViolations(t, v.Deployment)
}

// Guards against a command of staff that an end reaches while it is at work: who asked reads nothing that is still
// written. The command and the end go on side by side, which the race detector sees.
func TestShutdownDuringAnAdminCommand(t *testing.T) {
	for range 20 {
		n, err := New(testConfig(t), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		d := startInProcess(n, nil)
		working := make(chan struct{})
		goOn := make(chan struct{})
		answered := make(chan string, 1)
		go func() {
			lines, err := n.callRouter(func(*router) ([]string, error) {
				close(working)
				<-goOn
				return []string{"done"}, nil
			})
			answered <- fmt.Sprint(lines, err)
		}()
		<-working
		d.cancel()
		close(goOn)
		if got := <-answered; got != "[done] <nil>" && got != fmt.Sprint([]string(nil), errStopped) {
			t.Error(got)
		}
		<-d.done
	}
}

// Guards against a message that ends the process: whatever a reader fails over, its connection ends alone.
func TestAReaderPanicEndsItsConnectionAlone(t *testing.T) {
	in, address, _ := startReceiver(t, testLimits, true)
	in.decoder = nil // so that each decoder fails
	for range 2 {
		if got := readToEnd(dialManager(t, address, usageLine)); got != "" {
			t.Errorf("%q", got)
		}
	}
	stream, _ := startStreamServer(t, "event: left\ndata: id=17\n\n")
	w := testUpstream(t, stream)
	in.runStream(w, "proxy_stream", proxyStreamBreaks, func() (bool, error) {
		defer w.cancel()
		return in.readProxyEvents(w)
	})
	if n := in.metrics.counts[readerPanics].Load(); n != 3 {
		t.Errorf("%d failed readers", n)
	}
	r := newRelayClient(testLimits, stream, testClasses, nil, in)
	r.nextAddress.Store(nil)
	r.address = "\x00"
	if n, end := r.send(testWeights(1)); n != 0 || end == callDone {
		t.Errorf("%d %s", n, end)
	}
}
