package follow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"tamarindshore/client/tables"
)

// testTimeout limits each step of a test. It expires only if something hangs.
const testTimeout = 10 * time.Second

// runningFollower is a running Follower whose connections are accepted by the test.
type runningFollower struct {
	t        *testing.T
	frames   map[string][]byte
	dialed   chan net.Conn
	applied  chan tables.VersionRef
	rejected chan tables.Outcome
	stop     func() error // stops the follower and returns the result of Run
}

// startFollower runs a follower until the test ends. Its first dials, as many as failedDials, fail.
func startFollower(t *testing.T, failedDials int) *runningFollower {
	t.Helper()
	keys := testKeys(t)
	f := &runningFollower{
		t:        t,
		frames:   readFrames(t),
		dialed:   make(chan net.Conn),
		applied:  make(chan tables.VersionRef, 8),
		rejected: make(chan tables.Outcome, 8),
	}
	retries := tables.RetrySettings{InitialInterval: 20 * time.Millisecond, MaxInterval: 20 * time.Millisecond}
	follower := &Follower{
		Name:    "proxy-1",
		Keys:    keys,
		Replica: tables.NewReplica(keys, retries, 1),
		Dial: func(ctx context.Context) (net.Conn, error) {
			if failedDials > 0 {
				failedDials--
				return nil, errors.New("no route")
			}
			followerEnd, managerEnd := net.Pipe()
			select {
			case f.dialed <- managerEnd:
				return followerEnd, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
		OnApplied:      func(version tables.VersionRef, _ *tables.State) { f.applied <- version },
		OnRejected:     func(outcome tables.Outcome, _ error) { f.rejected <- outcome },
		InitialBackoff: time.Millisecond,
		MaxBackoff:     time.Millisecond,
		SilenceTimeout: 50 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	var runErr error
	go func() {
		defer close(ended)
		runErr = follower.Run(ctx)
	}()
	f.stop = func() error {
		cancel()
		<-ended
		return runErr
	}
	t.Cleanup(func() { f.stop() })
	return f
}

// managerConn simulates the manager's end of a connection with recorded frames.
type managerConn struct {
	t      *testing.T
	conn   net.Conn
	frames map[string][]byte
}

// connect waits for the next connection of the follower.
func (f *runningFollower) connect() managerConn {
	f.t.Helper()
	select {
	case conn := <-f.dialed:
		conn.SetDeadline(time.Now().Add(testTimeout))
		f.t.Cleanup(func() { conn.Close() })
		return managerConn{f.t, conn, f.frames}
	case <-time.After(testTimeout):
		f.t.Fatal("the follower did not dial within the timeout")
		return managerConn{}
	}
}

// connectWithHeartbeat accepts a connection of a follower without a version, and sends a heartbeat.
func (f *runningFollower) connectWithHeartbeat() managerConn {
	f.t.Helper()
	conn := f.connect()
	conn.send("nonce")
	conn.expect("hello-empty")
	conn.sendFrame(FrameHeartbeat, "")
	return conn
}

func (m managerConn) send(name string) {
	m.t.Helper()
	if _, err := m.conn.Write(m.frames[name]); err != nil {
		m.t.Fatalf("sending frame %s: %v", name, err)
	}
}

func (m managerConn) sendFrame(kind byte, body string) {
	m.t.Helper()
	if err := WriteFrame(m.conn, kind, []byte(body)); err != nil {
		m.t.Fatalf("sending a frame of kind %q: %v", kind, err)
	}
}

func (m managerConn) expect(name string) {
	m.t.Helper()
	got := make([]byte, len(m.frames[name]))
	if _, err := io.ReadFull(m.conn, got); err != nil {
		m.t.Fatalf("waiting for frame %s: %v", name, err)
	}
	if !bytes.Equal(got, m.frames[name]) {
		m.t.Errorf("frame %s: received %x, want %x", name, got, m.frames[name])
	}
}

func (m managerConn) expectClosed() {
	m.t.Helper()
	if _, err := m.conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		m.t.Errorf("reading from the connection: error %v, want %v", err, io.EOF)
	}
}

func TestFollowerRepliesLikeEarlierRelease(t *testing.T) {
	follower := startFollower(t, 0)
	first := follower.connect()
	first.send("nonce")
	first.expect("hello-empty")
	first.send("snapshot")
	first.expect("ack-snapshot")
	first.conn.Close()

	second := follower.connect()
	second.send("nonce")
	second.expect("hello-snapshot")
	second.send("delta")
	second.expect("ack-delta")
	second.send("older-epoch")
	second.expect("refused-older-epoch")
	second.send("unreadable")
	second.expect("refused-unreadable")
	second.expect("whole") // a snapshot request

	if err := follower.stop(); !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned %v, want %v", err, context.Canceled)
	}
	if older, newer := <-follower.applied, <-follower.applied; older != snapshotVersion(t) || newer != deltaVersion(t) {
		t.Errorf("applied versions %v and %v, want %v and %v", older, newer, snapshotVersion(t), deltaVersion(t))
	}
	if olderEpoch, unreadable := <-follower.rejected, <-follower.rejected; olderEpoch != tables.OlderEpoch || unreadable != tables.Malformed {
		t.Errorf("rejected with outcomes %v and %v, want %v and %v", olderEpoch, unreadable, tables.OlderEpoch, tables.Malformed)
	}
}

func TestFollowerRedialsAfterFailures(t *testing.T) {
	follower := startFollower(t, 3)
	conn := follower.connect()
	conn.send("nonce")
	conn.expect("hello-empty")
}

func TestFollowerClosesConnectionWithoutValidNonce(t *testing.T) {
	follower := startFollower(t, 0)
	for _, test := range []struct {
		name string
		kind byte
		body string
	}{
		{"other kind", FrameDelta, "0123456789abcdef"},
		{"short nonce", FrameNonce, "0123456789abcde"},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn := follower.connect()
			conn.sendFrame(test.kind, test.body)
			conn.expectClosed()
		})
	}
	conn := follower.connect()
	conn.send("nonce")
	conn.expect("hello-empty")
}

// Regression test: a follower never dialed again if its manager's machine vanished, since the connection stayed open and
// silent.
func TestFollowerRedialsAfterHeartbeatsStop(t *testing.T) {
	follower := startFollower(t, 0)
	first := follower.connectWithHeartbeat()
	first.send("snapshot")
	first.expect("ack-snapshot")
	second := follower.connect() // the first one is neither used nor closed by the manager
	second.send("nonce")
	second.expect("hello-snapshot")
	first.expectClosed()
}

// A snapshot that was requested in vain must not keep a silent connection open.
func TestSnapshotRequestsDoNotKeepASilentConnection(t *testing.T) {
	follower := startFollower(t, 0)
	first := follower.connectWithHeartbeat()
	first.send("unreadable")
	go io.Copy(io.Discard, first.conn) // the rejection and the requests
	second := follower.connect()
	second.send("nonce")
}

func TestDeadlineIsTheEarlierOfRequestAndSilence(t *testing.T) {
	now := time.Now()
	replica := tables.NewReplica(testKeys(t), tables.RetrySettings{InitialInterval: time.Minute, MaxInterval: time.Minute}, 1)
	s := &session{follower: &Follower{Replica: replica}, startedAt: now}
	if got := s.readDeadline(); !got.IsZero() || s.isSilent() {
		t.Errorf("a manager without heartbeats: deadline %v, silent %v; want none, false", got, s.isSilent())
	}
	s.silentAt = now.Add(time.Hour)
	if got := s.readDeadline(); !got.Equal(s.silentAt) || s.isSilent() {
		t.Errorf("no request due: deadline %v, silent %v; want %v, false", got, s.isSilent(), s.silentAt)
	}
	replica.Receive(0, []byte("malformed"))
	if got, at := s.readDeadline(), s.nextRequestTime(); at.IsZero() || !got.Equal(at) {
		t.Errorf("request due first: deadline %v, want %v", got, at)
	}
	s.silentAt = now.Add(-time.Second)
	if got := s.readDeadline(); !got.Equal(s.silentAt) || !s.isSilent() {
		t.Errorf("silent first: deadline %v, silent %v; want %v, true", got, s.isSilent(), s.silentAt)
	}
}

func TestFollowerIgnoresFramesOfLaterRelease(t *testing.T) {
	follower := startFollower(t, 0)
	conn := follower.connect()
	conn.send("nonce")
	conn.expect("hello-empty")
	conn.sendFrame('Z', "of a later release")
	conn.send("snapshot")
	conn.expect("ack-snapshot")
}

func TestFollowerWithoutKeysSendsNoHello(t *testing.T) {
	followerEnd, managerEnd := net.Pipe()
	defer managerEnd.Close()
	follower := &Follower{Dial: func(context.Context) (net.Conn, error) { return followerEnd, nil }}
	if err := follower.followConnection(t.Context(), time.Now()); !errors.Is(err, tables.ErrNoKey) {
		t.Errorf("error %v, want %v", err, tables.ErrNoKey)
	}
}

func TestDefaultsReplaceInvalidSettings(t *testing.T) {
	defaults := tables.RetrySettings{InitialInterval: defaultInitialBackoff, MaxInterval: defaultMaxBackoff}
	if got := (&Follower{}).backoff(); got != defaults {
		t.Errorf("backoff %+v, want %+v", got, defaults)
	}
	if got := (&Follower{InitialBackoff: time.Second, MaxBackoff: time.Millisecond}).backoff(); got != defaults {
		t.Errorf("backoff %+v, want %+v", got, defaults)
	}
	if got := (&Follower{}).ioTimeout(); got != defaultIOTimeout {
		t.Errorf("I/O timeout %v, want %v", got, defaultIOTimeout)
	}
	if got := (&Follower{}).silenceTimeout(); got != defaultSilenceTimeout {
		t.Errorf("silence timeout %v, want %v", got, defaultSilenceTimeout)
	}
	if got := (&Follower{IOTimeout: time.Second}).ioTimeout(); got != time.Second {
		t.Errorf("I/O timeout %v, want 1s", got)
	}
}
