package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"tamarindshore/client/tables"
)

// Follower keeps a replica up to date with a manager. Its fields must not be changed after Run has been called. The
// goroutine that calls Run also calls the function fields and owns the replica: no other goroutine may use the replica.
type Follower struct {
	Name    string      // of the replica, at most 64 bytes
	Keys    tables.Keys // at least one; the first signs the hello
	Replica *tables.Replica
	Dial    func(ctx context.Context) (net.Conn, error)

	OnApplied  func(version tables.VersionRef, state *tables.State) // called after each applied version
	OnRejected func(outcome tables.Outcome, err error)              // may be nil; called for each delta that is not applied

	// Backoff between connections. It doubles with each attempt up to MaxBackoff and starts again from InitialBackoff after
	// a connection that lasted longer than MaxBackoff. The defaults, 100 ms and 5 s, apply if InitialBackoff is not
	// positive or exceeds MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration

	IOTimeout time.Duration // for the handshake and for each write; defaults to 5 s

	// SilenceTimeout is the time without any frame after which a connection ends, if its manager sends heartbeats. It
	// defaults to 3 s.
	SilenceTimeout time.Duration
}

// Defaults for the fields of a Follower.
const (
	defaultInitialBackoff = 100 * time.Millisecond
	defaultMaxBackoff     = 5 * time.Second
	defaultIOTimeout      = 5 * time.Second
	defaultSilenceTimeout = 3 * HeartbeatInterval
)

func (f *Follower) backoff() tables.RetrySettings {
	if f.InitialBackoff <= 0 || f.MaxBackoff < f.InitialBackoff {
		return tables.RetrySettings{InitialInterval: defaultInitialBackoff, MaxInterval: defaultMaxBackoff}
	}
	return tables.RetrySettings{InitialInterval: f.InitialBackoff, MaxInterval: f.MaxBackoff}
}

func (f *Follower) ioTimeout() time.Duration {
	if f.IOTimeout <= 0 {
		return defaultIOTimeout
	}
	return f.IOTimeout
}

func (f *Follower) silenceTimeout() time.Duration {
	if f.SilenceTimeout <= 0 {
		return defaultSilenceTimeout
	}
	return f.SilenceTimeout
}

// Run follows a manager until the context is done and returns the context's error. When a connection ends, it dials again
// after a backoff; meanwhile the replica keeps its last valid version.
func (f *Follower) Run(ctx context.Context) error {
	backoff := f.backoff()
	startedAt := time.Now()
	for failures := 0; ctx.Err() == nil; failures++ {
		dialedAt := time.Now()
		f.followConnection(ctx, startedAt) // Run reconnects whatever the error is
		if time.Since(dialedAt) > backoff.MaxInterval {
			failures = 0
		}
		sleep(ctx, backoff.Delay(failures, rand.Float64()))
	}
	return ctx.Err()
}

// sleep waits for the duration or until the context is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followConnection dials and follows the manager over one connection until it fails, and returns the reason.
func (f *Follower) followConnection(ctx context.Context, startedAt time.Time) error {
	conn, err := f.Dial(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s := &session{follower: f, conn: conn, startedAt: startedAt, timeout: f.ioTimeout()}
	if err := s.handshake(); err != nil {
		return fmt.Errorf("handshake with the manager: %w", err)
	}
	for {
		if err := s.receive(); err != nil {
			return err
		}
	}
}

// session is one connection to a manager.
type session struct {
	follower  *Follower
	conn      net.Conn
	startedAt time.Time // when Run started; the replica's times are relative to it
	timeout   time.Duration
	silentAt  time.Time // when the connection ends unless a frame arrives; zero until the first heartbeat
}

// handshake reads the manager's nonce and replies with a hello.
func (s *session) handshake() error {
	keys := s.follower.Keys
	if len(keys) == 0 {
		return tables.ErrNoKey
	}
	s.conn.SetDeadline(time.Now().Add(s.timeout))
	kind, nonce, err := ReadFrame(s.conn, maxNonceFrameBody)
	if err != nil {
		return err
	}
	if kind != FrameNonce || len(nonce) != nonceLen {
		return fmt.Errorf("%w: kind %q with %d bytes, expected a nonce (kind %q) with %d bytes",
			ErrUnexpected, kind, len(nonce), FrameNonce, nonceLen)
	}
	hello := EncodeHello(nonce, keys[0], s.follower.Name, s.follower.Replica.Version())
	return WriteFrame(s.conn, FrameHello, hello)
}

// receive waits for one frame and replies to it. If a snapshot request becomes due first, it sends that request instead. It
// fails if the manager stops sending heartbeats.
func (s *session) receive() error {
	s.conn.SetReadDeadline(s.readDeadline())
	kind, body, err := ReadFrame(s.conn, tables.MaxDeltaBytes)
	if isTimeout(err) {
		if s.isSilent() {
			return ErrSilent
		}
		return s.requestSnapshot()
	}
	if err != nil {
		return err
	}
	err = s.handleFrame(kind, body)
	if kind == FrameHeartbeat || !s.silentAt.IsZero() {
		s.silentAt = time.Now().Add(s.follower.silenceTimeout())
	}
	return err
}

// handleFrame handles a delta, and ignores heartbeats and frame kinds of later releases.
func (s *session) handleFrame(kind byte, body []byte) error {
	if kind != FrameDelta {
		return nil
	}
	return s.handleDelta(body)
}

// readDeadline returns when the next snapshot request is due, or when the connection counts as silent if that is earlier.
func (s *session) readDeadline() time.Time {
	requestAt := s.nextRequestTime()
	if s.silentAt.IsZero() || !requestAt.IsZero() && requestAt.Before(s.silentAt) {
		return requestAt
	}
	return s.silentAt
}

// isSilent reports whether the manager has sent nothing for too long. A manager of an earlier release sends no heartbeats
// and is never silent.
func (s *session) isSilent() bool { return !s.silentAt.IsZero() && !time.Now().Before(s.silentAt) }

// nextRequestTime returns when the next snapshot request is due, or the zero time if none is scheduled.
func (s *session) nextRequestTime() time.Time {
	at, scheduled := s.follower.Replica.NextSnapshotRequest()
	if !scheduled {
		return time.Time{}
	}
	return s.startedAt.Add(at)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (s *session) requestSnapshot() error {
	replica := s.follower.Replica
	if !replica.SnapshotRequestDue(time.Since(s.startedAt)) {
		return nil
	}
	return s.write(FrameSnapshotRequest, AppendVersionRef(nil, replica.Version()))
}

// handleDelta passes a delta to the replica and reports the outcome to the manager.
func (s *session) handleDelta(encoded []byte) error {
	replica := s.follower.Replica
	outcome, rejection := replica.Receive(time.Since(s.startedAt), encoded)
	if outcome == tables.Applied {
		s.follower.OnApplied(replica.Version(), replica.State())
		return s.write(FrameAck, AppendVersionRef(nil, replica.Version()))
	}
	if s.follower.OnRejected != nil {
		s.follower.OnRejected(outcome, rejection)
	}
	return s.write(FrameRejection, AppendVersionRef([]byte{byte(outcome)}, replica.Version()))
}

func (s *session) write(kind byte, body []byte) error {
	s.conn.SetWriteDeadline(time.Now().Add(s.timeout))
	return WriteFrame(s.conn, kind, body)
}
