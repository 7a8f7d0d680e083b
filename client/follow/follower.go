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

// Follower keeps a replica up to date. Its fields are set before Run and not changed from then on; its functions are
// called by the goroutine that runs Run, which also owns the replica.
type Follower struct {
	Name    string // of the replica, up to 64 bytes
	Keys    tables.Keys
	Replica *tables.Replica
	Dial    func(ctx context.Context) (net.Conn, error)

	OnApplied  func(version tables.VersionRef, state *tables.State) // after each version that took effect
	OnRejected func(outcome tables.Outcome, err error)              // after each that did not; may be nil

	// Backoff between connections, doubled each time up to the most; 0: 100 ms and 5 s.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration

	IOTimeout time.Duration // for the greeting, and for each write; 0: 5 s
}

// Defaults of a Follower.
const (
	defaultInitialBackoff = 100 * time.Millisecond
	defaultMaxBackoff     = 5 * time.Second
	defaultIOTimeout      = 5 * time.Second
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

// Run follows a manager until the context ends, and returns the context's error. Where a connection ends it dials again;
// meanwhile the replica keeps its last valid version.
func (f *Follower) Run(ctx context.Context) error {
	backoff := f.backoff()
	startedAt := time.Now()
	for failures := 0; ctx.Err() == nil; failures++ {
		dialedAt := time.Now()
		f.followOnce(ctx, startedAt) // whatever ended the connection, another one follows
		if time.Since(dialedAt) > backoff.MaxInterval {
			failures = 0
		}
		sleep(ctx, backoff.Delay(failures, rand.Float64()))
	}
	return ctx.Err()
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followOnce follows over one connection until it ends, and returns why it did.
func (f *Follower) followOnce(ctx context.Context, startedAt time.Time) error {
	conn, err := f.Dial(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s := &session{follower: f, conn: conn, startedAt: startedAt, timeout: f.ioTimeout()}
	if err := s.greet(); err != nil {
		return fmt.Errorf("greeting: %w", err)
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
	startedAt time.Time // of the follower: the replica's times count from it
	timeout   time.Duration
}

// greet answers the manager's nonce by a hello.
func (s *session) greet() error {
	keys := s.follower.Keys
	if len(keys) == 0 {
		return tables.ErrNoKey
	}
	s.conn.SetDeadline(time.Now().Add(s.timeout))
	kind, nonce, err := ReadFrame(s.conn, maxNonceFrame)
	if err != nil {
		return err
	}
	if kind != FrameNonce || len(nonce) != nonceLen {
		return fmt.Errorf("%w: kind %q with %d bytes, expected a nonce of %d", ErrUnexpected, kind, len(nonce), nonceLen)
	}
	hello := EncodeHello(nonce, keys[0], s.follower.Name, s.follower.Replica.Version())
	return WriteFrame(s.conn, FrameHello, hello)
}

// receive waits for one frame and answers it. Where a snapshot request becomes due first, it sends that.
func (s *session) receive() error {
	s.conn.SetReadDeadline(s.nextRequest())
	kind, body, err := ReadFrame(s.conn, tables.MaxDeltaBytes)
	if isTimeout(err) {
		return s.requestSnapshot()
	}
	if err != nil {
		return err
	}
	if kind != FrameDelta {
		return nil // a kind of a later release
	}
	return s.handleDelta(body)
}

// nextRequest is when the next snapshot request is due; the zero time: none is wanted.
func (s *session) nextRequest() time.Time {
	at, wanted := s.follower.Replica.NextSnapshotRequest()
	if !wanted {
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

// handleDelta hands a delta to the replica and tells the manager what became of it.
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
