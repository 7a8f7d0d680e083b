package follow

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"tamarindshore/client/tables"
)

// readFrames reads a file with a name and the hex digits of a frame in each line. It was written by the release before the
// Go names of the frames changed.
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

// emptyVersion, snapshotVersion and deltaVersion return the versions that the recorded frames contain.
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

func TestFramesOfEarlierReleaseAreRead(t *testing.T) {
	frames := readFrames(t)
	key := testKeys(t)[0]
	ref := func(prefix []byte, version tables.VersionRef) []byte { return AppendVersionRef(prefix, version) }
	hello := func(version tables.VersionRef) []byte { return EncodeHello(fixtureNonce, key, "proxy-1", version) }
	for _, test := range []struct {
		name string
		kind byte
		body []byte // nil for a delta: TestFollowerRepliesLikeEarlierRelease checks its content
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
		{"whole", 'W', ref(nil, deltaVersion(t))}, // a snapshot request
	} {
		t.Run(test.name, func(t *testing.T) {
			kind, body, err := ReadFrame(bytes.NewReader(frames[test.name]), tables.MaxDeltaBytes)
			if err != nil {
				t.Fatal(err)
			}
			if kind != test.kind {
				t.Errorf("kind %q, want %q", kind, test.kind)
			}
			if test.body != nil && !bytes.Equal(body, test.body) {
				t.Errorf("body %x, want %x", body, test.body)
			}
			var written bytes.Buffer
			if err := WriteFrame(&written, kind, body); err != nil || !bytes.Equal(written.Bytes(), frames[test.name]) {
				t.Errorf("re-encoded as %x, error %v, want %x", written.Bytes(), err, frames[test.name])
			}
		})
	}
}

func TestHelloOfEarlierReleaseIsVerified(t *testing.T) {
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
			t.Errorf("%s: proxy %q with version %v, error %v, want proxy-1 with version %v", name, proxy, version, err, want)
		}
	}
}
