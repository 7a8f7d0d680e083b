package node

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"time"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
	"tamarindshore/internal/versions"
)

const (
	helloTimeout    = 1500 * time.Millisecond // time for a new replica to prove that it has a key
	sendTimeout     = 5 * time.Second         // time to write one delta
	nonceLength     = 16                      // bytes
	maxReplicaFrame = 256                     // bytes
	maxQueuedFrames = 4
)

// replicaConn is the connection of a replica that has proved that it has a key. Only the goroutine that serves the replica
// uses it; another goroutine reads frames from the network connection.
type replicaConn struct {
	feed   *feed
	conn   net.Conn
	name   string // as reported by the replica
	peer   *versions.Peer
	frames <-chan replicaFrame // closed when no more frames can be read

	heartbeatAt time.Time // when the next heartbeat is due
}

// replicaFrame is a frame received from a replica.
type replicaFrame struct {
	kind byte // follow.FrameAck, follow.FrameRejection or follow.FrameSnapshotRequest
	body []byte
}

// serve keeps a replica up to date until its connection ends or stop is closed. The caller closes the connection.
func (f *feed) serve(conn net.Conn, stop <-chan struct{}) {
	replica, ok := f.authenticate(conn)
	if !ok {
		return
	}
	done := make(chan struct{})
	defer close(done)
	replica.frames = readFrames(conn, done)
	for replica.sendOrWait(stop) {
	}
}

// authenticate sends a nonce on a new connection. It returns false if the replica does not prove in time that it has a
// key, by signing the nonce.
func (f *feed) authenticate(conn net.Conn) (*replicaConn, bool) {
	nonce := make([]byte, nonceLength)
	rand.Read(nonce)
	conn.SetDeadline(time.Now().Add(helloTimeout))
	if follow.WriteFrame(conn, follow.FrameNonce, nonce) != nil {
		return nil, false
	}
	kind, body, err := follow.ReadFrame(conn, maxReplicaFrame)
	if err != nil || kind != follow.FrameHello {
		f.metrics.add(replicasRejected, 1)
		return nil, false
	}
	name, version, err := follow.VerifyHello(nonce, *f.keys.Load(), body)
	if err != nil {
		f.metrics.add(replicasRejected, 1)
		f.metrics.logLimited("replica_failed", "from", conn.RemoteAddr().String(), "error", err)
		return nil, false
	}
	conn.SetDeadline(time.Time{})
	seed := uint64(binary.BigEndian.Uint16(nonce))
	return &replicaConn{feed: f, conn: conn, name: name, peer: versions.NewPeer(f.retry, version, seed)}, true
}

// readFrames starts a goroutine that reads frames until the connection ends or done is closed.
func readFrames(conn net.Conn, done <-chan struct{}) <-chan replicaFrame {
	frames := make(chan replicaFrame, maxQueuedFrames)
	go func() {
		defer close(frames)
		for {
			kind, body, err := follow.ReadFrame(conn, maxReplicaFrame)
			if err != nil {
				return
			}
			select {
			case frames <- replicaFrame{kind: kind, body: body}:
			case <-done:
				return
			}
		}
	}()
	return frames
}

// sendOrWait sends the delta that is due. If there is none, it waits for a frame, a new view, the next attempt or the next
// heartbeat. It returns false if the connection must end.
func (c *replicaConn) sendOrWait(stop <-chan struct{}) bool {
	view, changed := c.feed.current()
	delta, nextAttempt := c.peer.NextDelta(time.Since(c.feed.startedAt), view)
	if delta != nil {
		return c.send(delta)
	}
	var timer <-chan time.Time
	if nextAttempt > 0 {
		timer = time.After(max(0, nextAttempt-time.Since(c.feed.startedAt)))
	}
	select {
	case frame, open := <-c.frames:
		return open && c.handleFrame(frame)
	case <-changed:
	case <-timer:
	case <-time.After(time.Until(c.heartbeatAt)):
		return c.sendHeartbeat()
	case <-stop:
		return false
	}
	return true
}

// sendHeartbeat shows the replica that the manager is alive while there is no new version.
func (c *replicaConn) sendHeartbeat() bool {
	c.heartbeatAt = time.Now().Add(c.feed.heartbeatInterval)
	c.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	return follow.WriteFrame(c.conn, follow.FrameHeartbeat, nil) == nil
}

func (c *replicaConn) send(delta *tables.Delta) bool {
	encoded, err := c.feed.encode(delta)
	if err != nil {
		c.feed.metrics.logLimited("replica_failed", "replica", c.name, "error", err)
		return false
	}
	c.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if follow.WriteFrame(c.conn, follow.FrameDelta, encoded) != nil {
		return false
	}
	c.feed.metrics.add(versionsSent, 1)
	return true
}

// handleFrame handles a frame of the replica. It returns false if the frame is malformed, which ends the connection. A
// frame of an unknown kind is ignored.
func (c *replicaConn) handleFrame(frame replicaFrame) bool {
	outcome := tables.Applied
	body := frame.body
	if frame.kind == follow.FrameRejection && len(body) > 0 {
		outcome = tables.Outcome(body[0])
		body = body[1:]
	}
	version, _, err := follow.ParseVersionRef(body)
	if err != nil || outcome < tables.Applied || outcome > tables.Conflict {
		return false
	}
	switch frame.kind {
	case follow.FrameAck:
		c.feed.metrics.add(versionsAcked, 1)
		c.peer.HandleAck(version)
	case follow.FrameSnapshotRequest:
		c.peer.HandleSnapshotRequest(version)
	case follow.FrameRejection:
		c.handleRejection(outcome, version)
	}
	return true
}

func (c *replicaConn) handleRejection(outcome tables.Outcome, version tables.VersionRef) {
	c.feed.metrics.add(versionsRejected, 1)
	c.feed.metrics.logLimited("version_rejected", "replica", c.name, "reason", outcome.String(), "runs", version.ID.String())
	c.peer.HandleRejection(time.Since(c.feed.startedAt), outcome, version)
	if c.peer.Superseded() {
		c.feed.metrics.logLimited("replica_superseded", "replica", c.name, "runs", version.ID.String())
	}
}
