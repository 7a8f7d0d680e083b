package node

// The tests in the interleaving files pause the code at a chosen point, by means of a channel or a fake that stops at a
// chosen byte, and deliver a message, a response, a signal or a close exactly at that point.

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

// A SIGHUP may arrive while the configuration file is half written, and no other may follow. Reading the file must be
// retried; after the last retry, the next SIGHUP must work as before.
func TestReloadRetriesAnInvalidFile(t *testing.T) {
	cfg := testConfig(t)
	cfg.Limits.ReloadRetries = 2
	cfg.Limits.ReloadRetryInterval = time.Millisecond
	n, err := New(cfg, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	readResults := make(chan error)
	manager := startInProcess(n, func() (config.Config, error) { return cfg, <-readResults })
	defer manager.Stop(false)
	truncated := errors.New("unexpected end of JSON input")
	manager.reload <- syscall.SIGHUP
	readResults <- truncated
	readResults <- nil
	eventually(t, "reloaded", func() bool { return n.metrics.counts[reloads].Load() == 1 })
	manager.reload <- syscall.SIGHUP
	for range 3 {
		readResults <- truncated
	}
	manager.reload <- syscall.SIGHUP // the retries of the previous SIGHUP are used up
	readResults <- nil
	eventually(t, "reloaded again", func() bool { return n.metrics.counts[reloads].Load() == 2 })
	if failed := n.metrics.counts[reloadsFailed].Load(); failed != 4 {
		t.Errorf("%d failed reloads, want 4", failed)
	}
}

// A shutdown that is requested before startup completes must neither fail nor wait for the startup.
func TestShutdownBeforeStartupCompletes(t *testing.T) {
	cfg := testConfig(t)
	cfg.Limits.ListenTimeout = time.Hour
	occupyAddress(t, cfg.Listen)
	n, err := New(cfg, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := n.Run(ctx, Signals{}, nil); err != nil {
		t.Error(err)
	}
}

func openDescriptors(t *testing.T) int {
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(descriptors)
}

// A manager that stops while streams, calls, health checks and collector connections are open must leave no goroutine and no
// file descriptor behind.
func TestShutdownLeaksNoGoroutineOrDescriptor(t *testing.T) {
	goroutinesBefore := 0
	descriptorsBefore := 0
	for round := range 4 {
		if round == 1 { // in round 0 libraries start goroutines that live as long as the process
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			goroutinesBefore = runtime.NumGoroutine()
			descriptorsBefore = openDescriptors(t)
		}
		deployment := startDeployment(t, fakes.DefaultSite(6, 20))
		deployment.Relay.ConnectProxies(0, 1, 2, 3)
		eventually(t, "proxies assigned", func() bool { return deployment.Relay.Counts().AssignedProxies == 4 })
		var collectors []net.Conn
		for _, text := range []string{"", "ping\r\n", "collector site=" + deployment.Site.Zone(0) + "\r\n", "usage id=1"} {
			c, err := net.Dial("tcp", deployment.ManagerAddress)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, text)
			collectors = append(collectors, c)
		}
		deployment.Deployment.Manager.Stop(false)
		for _, c := range collectors {
			if got := readToEnd(c); got == "still open" {
				t.Errorf("collector connection after the shutdown: %q, want it closed", got)
			}
			c.Close()
		}
		deployment.Deployment.Close()
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	// A cleanup goroutine of the HTTP library's server sleeps for up to 10 s after the server has stopped.
	eventuallyWithin(t, 20*time.Second, "no goroutine and no descriptor is left", func() bool {
		return runtime.NumGoroutine() <= goroutinesBefore && openDescriptors(t) <= descriptorsBefore
	})
	if t.Failed() {
		t.Logf("%d goroutines, %d before; %d descriptors, %d before",
			runtime.NumGoroutine(), goroutinesBefore, openDescriptors(t), descriptorsBefore)
		pprof.Lookup("goroutine").WriteTo(os.Stderr, 1)
	}
}

// Two managers with different settings in one process must not share the names of traffic classes and zones, limits or
// counters.
func TestTwoManagersWithDifferentSettingsShareNothing(t *testing.T) {
	line := "usage id=1 lane=book count=1 fail=0 over=1000.0"
	other := newDecoder(balancer.Settings{Zones: []balancer.ZoneID{"hall"}, Proxies: 1,
		Classes: []balancer.TrafficClass{{Deadline: time.Second}, {Deadline: time.Second}}}, []string{"read", "write"}, time.Now(), testLimits)
	ours := testDecoder()
	for range 3 {
		if in, err := ours.parseLine(line); err != nil || in.(usageReport).Requests != 1 {
			t.Errorf("the decoder whose settings have the traffic class: decoded to %+v, error %v", in, err)
		}
		if _, err := other.parseLine(line); err == nil {
			t.Error("the other decoder accepts a traffic class that its settings lack")
		}
		if _, err := other.parseLine("collector site=a"); !errors.Is(err, errUnknownName) {
			t.Errorf("the other decoder accepts a zone that its settings lack: %v", err)
		}
	}
	a := newMetrics(time.Hour, zerolog.Nop())
	b := newMetrics(time.Hour, zerolog.Nop())
	if a.add(pings, 3); b.counts[pings].Load() != 0 {
		t.Error("the managers share counters")
	}
}

// A shutdown must not wait for the read of a configuration file that never completes.
func TestShutdownWhileTheFileIsRead(t *testing.T) {
	n, err := New(testConfig(t), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	reading := make(chan struct{})
	never := make(chan struct{})
	defer close(never)
	manager := startInProcess(n, func() (config.Config, error) {
		close(reading)
		<-never
		return config.Config{}, nil
	})
	manager.reload <- syscall.SIGHUP
	<-reading
	manager.cancel()
	select {
	case <-manager.done:
	case <-time.After(5 * time.Second):
		t.Error("the manager did not stop within 5 s")
	}
}

// Closing a connection with unread bytes resets it, and a reset discards a response that the peer has not read yet. The pong
// must arrive although the manager closes the connection before it has read everything.
func TestAPongIsReceivedBeforeAClose(t *testing.T) {
	_, address, _ := startReceiver(t, testLimits, true)
	for range 20 {
		c := dialManager(t, address, "ping\r\n"+strings.Repeat("x", 1<<18)+"\r\n")
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if line, err := bufio.NewReader(c).ReadString('\n'); line != "pong\r\n" {
			t.Fatalf("read %q, error %v; want a pong", line, err)
		}
	}
}

// A collector that sends as fast as it can must not keep the manager from handling other collectors, the endpoint list or a
// shutdown.
func TestAFloodFromOneCollectorBlocksNoOtherInput(t *testing.T) {
	site := fakes.DefaultSite(6, 20)
	deployment := startDeployment(t, site)
	deployment.Relay.ConnectProxies(0, 1, 2, 3)
	eventually(t, "proxies assigned", func() bool { return deployment.Relay.Counts().AssignedProxies == 4 })
	flood, err := net.Dial("tcp", deployment.ManagerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	floodDone := make(chan struct{})
	go func() {
		defer close(floodDone)
		fmt.Fprintf(flood, "collector site=%s\r\n", site.Zone(0))
		reports := []byte(strings.Repeat("usage id=1 lane=quote count=4 fail=0 over=1000\r\n", 1000))
		for {
			if _, err := flood.Write(reports); err != nil {
				return
			}
		}
	}()
	eventually(t, "more than 50,000 reports received", func() bool { return deployment.manager.metrics.counts[usagesIn].Load() > 50_000 })
	c := dialManager(t, deployment.ManagerAddress, "ping\r\n")
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "pong\r\n" {
		t.Errorf("during the flood: read %q, error %v; want a pong", line, err)
	}
	server := deployment.Servers[0]
	deployment.Discovery.Publish(server.Entry("draining"))
	eventually(t, "draining server gets no requests", func() bool { return deployment.Relay.RequestRate(server.ID) == 0 })
	deployment.manager.Stop(false)
	flood.Close()
	<-floodDone
	assertNoViolations(t, deployment.Deployment)
}

// A shutdown may arrive while the router executes an admin command. The caller must get either the complete result or an
// error, and must not read a result that is still being written. The command and the shutdown run concurrently, so that the
// race detector can find such a read.
func TestShutdownDuringAnAdminCommand(t *testing.T) {
	for range 20 {
		n, err := New(testConfig(t), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		manager := startInProcess(n, nil)
		started := make(chan struct{})
		proceed := make(chan struct{})
		result := make(chan string, 1)
		go func() {
			lines, err := n.callRouter(func(*router) ([]string, error) {
				close(started)
				<-proceed
				return []string{"done"}, nil
			})
			result <- fmt.Sprint(lines, err)
		}()
		<-started
		manager.cancel()
		close(proceed)
		if got := <-result; got != "[done] <nil>" && got != fmt.Sprint([]string(nil), errStopped) {
			t.Errorf("result and error of the command: %s; want [done] without an error, or no lines and errStopped", got)
		}
		<-manager.done
	}
}

// A panic in a reader must end only that reader's connection, and never the process.
func TestAReaderPanicEndsOnlyItsConnection(t *testing.T) {
	receiver, address, _ := startReceiver(t, testLimits, true)
	receiver.decoder = nil // so that each reader panics
	for range 2 {
		if got := readToEnd(dialManager(t, address, usageLine)); got != "" {
			t.Errorf("received %q, want nothing", got)
		}
	}
	stream, _ := startStreamServer(t, "event: left\ndata: id=17\n\n")
	up := testUpstream(t, stream)
	receiver.runStream(up, "proxy_stream", proxyStreamBreaks, func() (bool, error) {
		defer up.cancel()
		return receiver.readProxyEvents(up)
	})
	if n := receiver.metrics.counts[readerPanics].Load(); n != 3 {
		t.Errorf("%d reader panics counted, want 3", n)
	}
	client := newRelayClient(testLimits, stream, testClasses, nil, receiver)
	client.nextAddress.Store(nil)
	client.address = "\x00"
	if n, outcome := client.send(testWeights(1)); n != 0 || outcome == callDone {
		t.Errorf("call to an invalid address: %d commands accepted, outcome %q", n, outcome)
	}
}
