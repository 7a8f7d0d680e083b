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

func watchLine(version int, whole bool, id string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":%q,"zone":"a","lifecycle":"up"}]}`+"\n", version, whole, id)
}

// readWatchText is what a watch from version 41 hands on.
func readWatchText(t *testing.T, l config.Limits, held *watchState, text string) (ids []balancer.ServerID, err error) {
	address, _ := startStreamServer(t, text)
	in, inputs := testReceiverWithInputs(t, l, 64)
	_, err = in.readWatch(testUpstream(t, address), held)
	for _, one := range receivedInputs(inputs) {
		ids = append(ids, one.(endpointList).entries[0].Server)
	}
	return ids, err
}

func TestWatchAcceptsNewLists(t *testing.T) {
	held := &watchState{version: 41, lowestReset: -1}
	ids, err := readWatchText(t, testLimits, held, "\n"+watchLine(42, false, "s-1")+"\r\n"+watchLine(42, false, "old")+watchLine(40, false, "old")+
		`{"generation":42,"reset":false,"instances":[]}`+"\n"+watchLine(50, true, "s-2")+`{"generation":51`)
	if fmt.Sprint(ids) != "[s-1 s-2]" || held.version != 50 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%v %d %v", ids, held.version, err)
	}
}

func TestWatchEndsWhereItIsSilentOrUnreadable(t *testing.T) {
	l := testLimits
	l.EndpointWatchIdleTimeout = 200 * time.Millisecond
	for text, want := range map[string]string{watchLine(42, false, "s-1") + "...": "timeout", "{]\n...": "invalid", "{\"generation\":43}x\n...": "invalid"} {
		if _, err := readWatchText(t, l, &watchState{version: 41, lowestReset: -1}, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v", text, err)
		}
	}
}

// Guards against an old list that replaces a newer one by accident, and against keeping a list that
// discovery no longer knows after it restarted.
func TestAnOlderSnapshotNeedsConfirmationByASecondWatch(t *testing.T) {
	held := &watchState{version: 41, lowestReset: -1}
	if ids, err := readWatchText(t, testLimits, held, watchLine(3, true, "s-1")+"..."); len(ids) > 0 || err == nil {
		t.Errorf("first: %v %v", ids, err)
	}
	if ids, _ := readWatchText(t, testLimits, held, watchLine(3, true, "s-1")); fmt.Sprint(ids) != "[s-1]" || held.version != 3 {
		t.Errorf("second: %v %d", ids, held.version)
	}
}

func TestTheAgeOfTheListGrowsUntilDiscoveryConfirmsIt(t *testing.T) {
	began := time.Unix(1000, 0)
	state := newWatchState(41, began)
	if held := state.held(began.Add(time.Hour)); held.age != time.Hour || held.confirmed || held.version != 41 {
		t.Errorf("never confirmed: %+v", held)
	}
	state.noteConfirmed(began.Add(time.Minute))
	if held := state.held(began.Add(time.Hour)); held.age != 59*time.Minute || !held.confirmed {
		t.Errorf("confirmed: %+v", held)
	}
	state.advance(endpointList{generation: 42}, began.Add(2*time.Minute))
	if held := state.held(began.Add(time.Hour)); held.age != 58*time.Minute || held.version != 42 {
		t.Errorf("a change: %+v", held)
	}
}

func TestAHeartbeatConfirmsTheListUnlessSomethingIsMissing(t *testing.T) {
	for text, want := range map[string]bool{
		"\n":                              false, // nothing of the list was told yet
		watchLine(42, true, "s-1") + "\n": true,
		`{"generation":41,"reset":false,"instances":[]}` + "\n\n": true,
		"{]\n\n": false, // a change could not be read
	} {
		state := newWatchState(41, time.Unix(1000, 0))
		reader := watchReader{receiver: testReceiver(t, testLimits), up: testUpstream(t, "127.0.0.1:1"), state: state}
		reader.up.noteDecodeError() // one unreadable line is passed over
		for _, line := range strings.SplitAfter(text, "\n") {
			reader.readLine([]byte(strings.TrimSuffix(line, "\n")))
		}
		if held := state.held(time.Now()); held.confirmed != want {
			t.Errorf("%q: %+v", text, held)
		}
	}
}
