package node

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
)

// watchLine returns a line of a watch with one server.
func watchLine(version int, snapshot bool, id string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":%q,"zone":"a","lifecycle":"up"}]}`+"\n", version, snapshot, id)
}

// readWatchText reads a watch that sends a text, and returns the servers of the lists passed on and the watch's error.
func readWatchText(t *testing.T, limits config.Limits, state *watchState, text string) (ids []balancer.ServerID, err error) {
	address, _ := startStreamServer(t, text)
	receiver, inputs := testReceiverWithInputs(t, limits, 64)
	_, err = receiver.readWatch(testUpstream(t, address), state)
	for _, in := range receivedInputs(inputs) {
		ids = append(ids, in.(endpointList).entries[0].Server)
	}
	return ids, err
}

func TestWatchAcceptsNewLists(t *testing.T) {
	state := &watchState{version: 41, unconfirmedVersion: -1}
	ids, err := readWatchText(t, testLimits, state, "\n"+watchLine(42, false, "s-1")+"\r\n"+
		watchLine(42, false, "old")+watchLine(40, false, "old")+
		`{"generation":42,"reset":false,"instances":[]}`+"\n"+watchLine(50, true, "s-2")+`{"generation":51`)
	if fmt.Sprint(ids) != "[s-1 s-2]" || state.version != 50 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("accepted lists %v, held version %d, error %v; want s-1 and s-2, version 50, unexpected EOF", ids, state.version, err)
	}
}

func TestASilentOrMalformedWatchEnds(t *testing.T) {
	limits := testLimits
	limits.EndpointWatchIdleTimeout = 200 * time.Millisecond
	for text, want := range map[string]string{
		watchLine(42, false, "s-1") + "...": "timeout",
		"{]\n...":                           "invalid",
		"{\"generation\":43}x\n...":         "invalid",
	} {
		if _, err := readWatchText(t, limits, &watchState{version: 41, unconfirmedVersion: -1}, text); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: got error %v, want one with %q", text, err, want)
		}
	}
}

// An older list must not replace a newer one by accident. But after a restart of discovery, whose versions start again from
// a lower one, the manager must not keep the list from before the restart.
func TestAnOlderSnapshotNeedsConfirmationByASecondWatch(t *testing.T) {
	state := &watchState{version: 41, unconfirmedVersion: -1}
	if ids, err := readWatchText(t, testLimits, state, watchLine(3, true, "s-1")+"..."); len(ids) > 0 || err == nil {
		t.Errorf("first watch: accepted lists %v, error %v; want none and an error", ids, err)
	}
	if ids, _ := readWatchText(t, testLimits, state, watchLine(3, true, "s-1")); fmt.Sprint(ids) != "[s-1]" || state.version != 3 {
		t.Errorf("second watch: accepted lists %v, held version %d; want s-1 and version 3", ids, state.version)
	}
}

func TestTheAgeOfTheListGrowsUntilDiscoveryConfirmsIt(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	state := newWatchState(41, startedAt)
	if list := state.current(startedAt.Add(time.Hour)); list.age != time.Hour || list.confirmed || list.version != 41 {
		t.Errorf("never confirmed: got %+v, want version 41, one hour old, unconfirmed", list)
	}
	state.recordConfirmation(startedAt.Add(time.Minute))
	if list := state.current(startedAt.Add(time.Hour)); list.age != 59*time.Minute || !list.confirmed {
		t.Errorf("confirmed after a minute: got %+v, want 59 minutes old, confirmed", list)
	}
	state.advance(endpointList{version: 42}, startedAt.Add(2*time.Minute))
	if list := state.current(startedAt.Add(time.Hour)); list.age != 58*time.Minute || list.version != 42 {
		t.Errorf("changed after two minutes: got %+v, want version 42, 58 minutes old", list)
	}
}

func TestAHeartbeatConfirmsTheListUnlessAChangeIsMissing(t *testing.T) {
	for text, want := range map[string]bool{
		"\n":                              false, // no list was received yet
		watchLine(42, true, "s-1") + "\n": true,
		`{"generation":41,"reset":false,"instances":[]}` + "\n\n": true,
		"{]\n\n": false, // a malformed change was skipped
	} {
		state := newWatchState(41, time.Unix(1000, 0))
		reader := watchReader{receiver: testReceiver(t, testLimits), up: testUpstream(t, "127.0.0.1:1"), state: state}
		reader.up.noteDecodeError() // the next malformed line is skipped instead of ending the watch
		for _, line := range strings.SplitAfter(text, "\n") {
			reader.readLine([]byte(strings.TrimSuffix(line, "\n")))
		}
		if list := state.current(time.Now()); list.confirmed != want {
			t.Errorf("%q: got %+v, want confirmed %v", text, list, want)
		}
	}
}
