package node

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"tamarindshore/choice"
	"tamarindshore/internal/config"
)

func entry(version int, whole bool, id string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":%q,"zone":"a","lifecycle":"up"}]}`+"\n", version, whole, id)
}

// watched is what a watch from version 41 hands on.
func watched(t *testing.T, l config.Limits, held *watchState, text string) (ids []choice.ServerID, err error) {
	address, _ := streaming(t, text)
	in, inputs := testReceiver(make(chan struct{}), l), make(chan any, 64)
	in.inputs = inputs
	_, err = in.readWatch(testUpstream(t, address), held)
	for _, one := range drained(inputs) {
		ids = append(ids, one.(listed).entries[0].Server)
	}
	return ids, err
}

func TestWatchTakesWhatIsNew(t *testing.T) {
	held := &watchState{version: 41, lowestReset: -1}
	ids, err := watched(t, limits, held, "\n"+entry(42, false, "s-1")+"\r\n"+entry(42, false, "old")+entry(40, false, "old")+
		`{"generation":42,"reset":false,"instances":[]}`+"\n"+entry(50, true, "s-2")+`{"generation":51`)
	if fmt.Sprint(ids) != "[s-1 s-2]" || held.version != 50 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%v %d %v", ids, held.version, err)
	}
}

func TestWatchEndsWhereItIsSilentOrUnreadable(t *testing.T) {
	l := limits
	l.SilentWatch = 200 * time.Millisecond
	for text, want := range map[string]string{entry(42, false, "s-1") + "...": "timeout", "{]\n...": "invalid", "{\"generation\":43}x\n...": "invalid"} {
		if _, err := watched(t, l, &watchState{version: 41, lowestReset: -1}, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v", text, err)
		}
	}
}

// Guards against an old list that replaces a newer one by accident, and against keeping a list that
// discovery no longer knows after it began anew.
func TestAnOlderWholeListNeedsASecondWitness(t *testing.T) {
	held := &watchState{version: 41, lowestReset: -1}
	if ids, err := watched(t, limits, held, entry(3, true, "s-1")+"..."); len(ids) > 0 || err == nil {
		t.Errorf("first: %v %v", ids, err)
	}
	if ids, _ := watched(t, limits, held, entry(3, true, "s-1")); fmt.Sprint(ids) != "[s-1]" || held.version != 3 {
		t.Errorf("second: %v %d", ids, held.version)
	}
}
