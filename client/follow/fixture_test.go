package follow

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"tamarindshore/client/tables"
)

// readFrames reads lines of a name and the hex digits of a frame, written by the release before the Go names of the
// frames changed.
func readFrames(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/frames.txt")
	if err != nil {
		t.Fatal(err)
	}
	frames := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		frame, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		frames[name] = frame
	}
	return frames
}

func testKeys(t *testing.T) tables.Keys {
	t.Helper()
	key, err := tables.NewKey(bytes.Repeat([]byte{7}, 32))
	if err != nil {
		t.Fatal(err)
	}
	return tables.Keys{key}
}

func digestFromHex(t *testing.T, text string) tables.Digest {
	t.Helper()
	decoded, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return tables.Digest(decoded)
}

var fixtureNonce = []byte("0123456789abcdef")

// The versions that the frames of the fixture name.
func emptyVersion() tables.VersionRef {
	return tables.VersionRef{Digest: tables.EmptyState().Digest()}
}

func snapshotVersion(t *testing.T) tables.VersionRef {
	t.Helper()
	digest := digestFromHex(t, "74379a4ef0bf6591a8a0091ac2fe84f570d7a517faa3b06de19638e97588fdd2")
	return tables.VersionRef{ID: tables.ID{Epoch: 41, Number: 1}, Digest: digest}
}

func deltaVersion(t *testing.T) tables.VersionRef {
	t.Helper()
	digest := digestFromHex(t, "29b392e30e66fd3f7dd9e04da7a6069da1a546931a1797f9ee3be015bdd42b1f")
	return tables.VersionRef{ID: tables.ID{Epoch: 41, Number: 2}, Digest: digest}
}

func TestFramesOfAnEarlierReleaseAreRead(t *testing.T) {
	frames := readFrames(t)
	key := testKeys(t)[0]
	ref := func(prefix []byte, version tables.VersionRef) []byte { return AppendVersionRef(prefix, version) }
	hello := func(version tables.VersionRef) []byte { return EncodeHello(fixtureNonce, key, "proxy-1", version) }
	for _, one := range []struct {
		name string
		kind byte
		body []byte // nil: a delta, which TestAFollowerAnswersAsAnEarlierRelease applies
	}{
		{"nonce", 'N', fixtureNonce},
		{"hello-empty", 'H', hello(emptyVersion())},
		{"hello-snapshot", 'H', hello(snapshotVersion(t))},
		{"snapshot", 'D', nil},
		{"delta", 'D', nil},
		{"older-epoch", 'D', nil},
		{"unreadable", 'D', []byte("no delta at all")},
		{"ack-snapshot", 'A', ref(nil, snapshotVersion(t))},
		{"ack-delta", 'A', ref(nil, deltaVersion(t))},
		{"refused-older-epoch", 'R', ref([]byte{4}, deltaVersion(t))},
		{"refused-unreadable", 'R', ref([]byte{2}, deltaVersion(t))},
		{"whole", 'W', ref(nil, deltaVersion(t))},
	} {
		t.Run(one.name, func(t *testing.T) {
			kind, body, err := ReadFrame(bytes.NewReader(frames[one.name]), tables.MaxDeltaBytes)
			if err != nil {
				t.Fatal(err)
			}
			if kind != one.kind {
				t.Errorf("kind %q, want %q", kind, one.kind)
			}
			if one.body != nil && !bytes.Equal(body, one.body) {
				t.Errorf("body %x, want %x", body, one.body)
			}
			var written bytes.Buffer
			if err := WriteFrame(&written, kind, body); err != nil || !bytes.Equal(written.Bytes(), frames[one.name]) {
				t.Errorf("written again as %x, error %v", written.Bytes(), err)
			}
		})
	}
}

func TestHelloOfAnEarlierReleaseIsVerified(t *testing.T) {
	frames := readFrames(t)
	for name, want := range map[string]tables.VersionRef{
		"hello-empty":    emptyVersion(),
		"hello-snapshot": snapshotVersion(t),
	} {
		_, body, err := ReadFrame(bytes.NewReader(frames[name]), 256)
		if err != nil {
			t.Fatal(err)
		}
		proxy, version, err := VerifyHello(fixtureNonce, testKeys(t), body)
		if err != nil || proxy != "proxy-1" || version != want {
			t.Errorf("%s: %q at %v, error %v", name, proxy, version, err)
		}
	}
}

// manager plays the manager's end of a connection from recorded frames.
type manager struct {
	t      *testing.T
	conn   net.Conn
	frames map[string][]byte
}

func (m manager) send(name string) {
	m.t.Helper()
	if _, err := m.conn.Write(m.frames[name]); err != nil {
		m.t.Fatalf("sending %s: %v", name, err)
	}
}

func (m manager) expect(name string) {
	m.t.Helper()
	got := make([]byte, len(m.frames[name]))
	if _, err := io.ReadFull(m.conn, got); err != nil {
		m.t.Fatalf("waiting for %s: %v", name, err)
	}
	if !bytes.Equal(got, m.frames[name]) {
		m.t.Errorf("%s: %x, want %x", name, got, m.frames[name])
	}
}

func TestAFollowerAnswersAsAnEarlierRelease(t *testing.T) {
	keys := testKeys(t)
	dialled := make(chan net.Conn)
	versions := make(chan tables.VersionRef, 2)
	rejections := make(chan tables.Outcome, 2)
	retries := tables.RetrySettings{InitialInterval: 20 * time.Millisecond, MaxInterval: 20 * time.Millisecond}
	follower := &Follower{
		Name:    "proxy-1",
		Keys:    keys,
		Replica: tables.NewReplica(keys, retries, 1),
		Dial: func(ctx context.Context) (net.Conn, error) {
			ours, theirs := net.Pipe()
			select {
			case dialled <- theirs:
				return ours, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
		OnApplied:      func(version tables.VersionRef, _ *tables.State) { versions <- version },
		OnRejected:     func(outcome tables.Outcome, _ error) { rejections <- outcome },
		InitialBackoff: time.Millisecond,
		MaxBackoff:     time.Millisecond,
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- follower.Run(ctx) }()
	connect := func() manager {
		conn := <-dialled
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return manager{t, conn, readFrames(t)}
	}

	first := connect()
	first.send("nonce")
	first.expect("hello-empty")
	first.send("snapshot")
	first.expect("ack-snapshot")
	first.conn.Close()

	second := connect()
	second.send("nonce")
	second.expect("hello-snapshot")
	second.send("delta")
	second.expect("ack-delta")
	second.send("older-epoch")
	second.expect("refused-older-epoch")
	second.send("unreadable")
	second.expect("refused-unreadable")
	second.expect("whole")

	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the follower ended with %v", err)
	}
	if one, two := <-versions, <-versions; one != snapshotVersion(t) || two != deltaVersion(t) {
		t.Errorf("applied %v and %v", one, two)
	}
	if one, two := <-rejections, <-rejections; one != tables.OlderEpoch || two != tables.Malformed {
		t.Errorf("rejected as %v and %v", one, two)
	}
}
