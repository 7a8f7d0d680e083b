package node

// These tests cover discovery's watch and the relay's event stream; interleaving_test.go describes how they pause the code at
// a chosen point.

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// A reload may cancel the old watch while one of its lists waits for the router. The version of that list must not count as
// held: the new watch's copy would then be dropped as old, and a drain in it would be lost for good.
func TestAChangeThatWasNotDeliveredIsNotCountedAsHeld(t *testing.T) {
	address, _ := startStreamServer(t, watchLine(42, false, "s-1")+"...", watchLine(42, false, "s-1")+"...")
	receiver, inputs := testReceiverWithInputs(t, testLimits, 0)
	state := &watchState{version: 41, unconfirmedVersion: -1}
	up := testUpstream(t, address)
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		receiver.readWatch(up, state)
	}()
	eventually(t, "a list waits for the router", func() bool { return receiver.metrics.counts[endpointLists].Load() == 1 })
	up.cancel()
	<-watchDone
	if got := state.currentVersion(); got != 41 {
		t.Fatalf("version %d is held, want 41: the later list was not delivered", got)
	}
	go receiver.readWatch(testUpstream(t, address), state)
	if got := (<-inputs).(endpointList); got.version != 42 {
		t.Errorf("list %+v, want version 42", got)
	}
}

// fullBacklogAddress returns the address of a listener whose backlog is full: connections to it are neither established nor
// refused.
func fullBacklogAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for { // until no further connection is established
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
}

// A successor that opens must interrupt a dial of the old upstream; otherwise its stream is not read until the dial times out.
func TestASuccessorInterruptsADial(t *testing.T) {
	limits := testLimits
	limits.ConnectTimeout = time.Hour
	receiver, inputs := testReceiverWithInputs(t, limits, 64)
	old := testUpstream(t, fullBacklogAddress(t))
	go receiver.runProxyEvents(old)
	address, _ := startStreamServer(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...")
	next := old.successor(t.Context(), address)
	go receiver.runProxyEvents(next)
	defer next.cancel()
	if got := fmt.Sprint(<-inputs, <-inputs); got != fmt.Sprint(proxyEventsOpened{}, proxyConnected{17, "a", 21.5}) {
		t.Errorf("inputs from the successor: %s", got)
	}
	<-old.done
}

// The old upstream must not be given up for a successor that opens and then sends nothing.
func TestAnUpstreamThatSendsNothingDoesNotReplaceTheOldOne(t *testing.T) {
	oldAddress, _ := startStreamServer(t, "...")
	newAddress, requests := startStreamServer(t, "", "")
	receiver, inputs := testReceiverWithInputs(t, testLimits, 64)
	old := testUpstream(t, oldAddress)
	go receiver.runProxyEvents(old)
	defer old.cancel()
	<-inputs // proxyEventsOpened of the old upstream
	next := old.successor(t.Context(), newAddress)
	if opened, err := receiver.readProxyEvents(next); !opened || err == nil {
		t.Errorf("event stream: opened %v, error %v", opened, err)
	}
	<-requests
	state := &watchState{version: 41, unconfirmedVersion: -1}
	if opened, err := receiver.readWatch(next, state); !opened || err == nil {
		t.Errorf("watch: opened %v, error %v", opened, err)
	}
	if old.ctx.Err() != nil || len(inputs) > 0 {
		t.Errorf("old upstream: %v, want no error; %d inputs, want none", old.ctx.Err(), len(inputs))
	}
}

// Discovery may send the same malformed list each time the watch is opened. It must not block all later lists forever, and
// the version held must not advance past it, because its changes are still missing.
func TestAMalformedFirstListDoesNotBlockLaterLists(t *testing.T) {
	malformed := strings.Replace(watchLine(42, false, "s-1"), `"up"`, `"?"`, 1)
	address, requests := startStreamServer(t, malformed+watchLine(43, false, "s-2"),
		malformed+watchLine(43, false, "s-2")+watchLine(44, false, "s-3"),
		malformed+watchLine(45, false, "s-4"), watchLine(45, true, "s-5")+watchLine(46, false, "s-6"))
	receiver, inputs := testReceiverWithInputs(t, testLimits, 64)
	state := &watchState{version: 41, unconfirmedVersion: -1}
	up := testUpstream(t, address)
	want := []string{"[]", "[s-2 s-3]", "[s-4]", "[s-5 s-6]"}
	for i, version := range []int64{41, 41, 41, 46} {
		receiver.readWatch(up, state)
		var got []balancer.ServerID
		for _, in := range receivedInputs(inputs) {
			got = append(got, in.(endpointList).entries[0].Server)
		}
		if fmt.Sprint(got) != want[i] || state.currentVersion() != version || !strings.Contains(<-requests, "after=41") {
			t.Errorf("watch %d: servers %v, want %s; version %d held, want %d; or not requested after version 41",
				i+1, got, want[i], state.currentVersion(), version)
		}
	}
	if n := receiver.metrics.counts[malformedMessages].Load(); n != 3 {
		t.Errorf("%d malformed messages counted, want 3", n)
	}
}

// What is missing because it was malformed is requested again after MaxWatchGap, not only when the stream ends.
func TestAGapIsRequestedAgain(t *testing.T) {
	limits := testLimits
	limits.MaxWatchGap = 0
	up := testUpstream(t, "")
	up.noteDecodeError()
	address, _ := startStreamServer(t, "{]\n"+watchLine(43, false, "s-2")+"...")
	up.address = address
	if _, err := testReceiver(t, limits).readWatch(up, &watchState{version: 41, unconfirmedVersion: -1}); err != errResync {
		t.Errorf("error %v, want %v", err, errResync)
	}
}

// A discovery that restarted may count versions from the beginning. Its first older snapshot is rejected; the next one must be
// accepted even if its version has advanced since, and not be rejected like the first.
func TestOlderSnapshotsThatAdvanceAreAccepted(t *testing.T) {
	state := &watchState{version: 41, unconfirmedVersion: -1}
	readWatchText(t, testLimits, state, watchLine(3, true, "s-1"))
	if ids, _ := readWatchText(t, testLimits, state, watchLine(5, true, "s-2")+watchLine(6, false, "s-3")); fmt.Sprint(ids) != "[s-2 s-3]" ||
		state.version != 6 {
		t.Errorf("servers %v, want [s-2 s-3]; version %d held, want 6", ids, state.version)
	}
}

// The relay may send the same malformed event each time the stream is opened. It must not block all events behind it, and a
// proxy that it may have announced must not count as disconnected.
func TestAMalformedFirstEventDoesNotBlockLaterEvents(t *testing.T) {
	text := "event: joined\ndata: id=x&site=a&rps=1&new=1\n\nevent: joined\ndata: id=18&site=a&rps=21.5&new=1\n\n:\nevent: left\ndata: id=18\n\n"
	address, _ := startStreamServer(t, text, text)
	receiver, inputs := testReceiverWithInputs(t, testLimits, 64)
	up := testUpstream(t, address)
	for _, want := range [][]input{{proxyEventsOpened{}}, {proxyEventsOpened{}, proxyConnected{18, "a", 21.5}, proxyDisconnected{18}}} {
		receiver.readProxyEvents(up)
		if got := receivedInputs(inputs); !slices.Equal(got, want) {
			t.Errorf("inputs %v, want %v", got, want)
		}
	}
}

// A corrupted line that can still be decoded may state a version that is far too high. All lists that follow then count as
// old; this must end after MaxWatchGap rather than last as long as the stream.
func TestATooHighVersionDoesNotBlockLaterLists(t *testing.T) {
	limits := testLimits
	limits.MaxWatchGap = 0
	state := &watchState{version: 41, unconfirmedVersion: -1}
	accepted := ""
	for _, text := range []string{watchLine(93, false, "s-1") + watchLine(44, false, "s-2") + watchLine(45, false, "s-3") + "...",
		watchLine(45, true, "s-4") + "...", watchLine(45, true, "s-5") + watchLine(46, false, "s-6")} {
		ids, _ := readWatchText(t, limits, state, text)
		accepted += fmt.Sprint(ids)
	}
	if accepted != "[s-1][][s-5 s-6]" || state.version != 46 {
		t.Errorf("servers %s, want [s-1][][s-5 s-6]; version %d held, want 46", accepted, state.version)
	}
}

// If the version held is far too high, discovery takes it for a future one: a watch requested after it sends only changes
// with lower versions, forever. The manager must then request the list from the beginning.
func TestAListThatStaysBehindIsRequestedFromTheBeginning(t *testing.T) {
	limits := testLimits
	limits.MaxWatchGap = 0
	olderList := `{"generation":45,"reset":false,"instances":[]}` + "\n" + watchLine(46, false, "s-2") + "..."
	address, requests := startStreamServer(t, olderList, olderList, watchLine(46, true, "s-3")+"...",
		watchLine(46, true, "s-4")+watchLine(47, false, "s-5"), "")
	receiver, inputs := testReceiverWithInputs(t, limits, 64)
	state := &watchState{version: 93, unconfirmedVersion: -1}
	up := testUpstream(t, address)
	for _, from := range []string{"=93 ", "=93 ", "=0 ", "=0 ", "=47 "} {
		receiver.readWatch(up, state)
		if got := <-requests; !strings.Contains(got, "after"+from) {
			t.Errorf("request %q, want one with %q", got, "after"+from)
		}
	}
	var ids []balancer.ServerID
	for _, in := range receivedInputs(inputs) {
		ids = append(ids, in.(endpointList).entries[0].Server)
	}
	if fmt.Sprint(ids) != "[s-4 s-5]" {
		t.Errorf("servers %v, want [s-4 s-5]", ids)
	}
}
