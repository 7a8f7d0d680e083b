package node

// Feed serves holders of versioned tables at a listener of its own, off unless the operator's settings name its
// address. It owns the connections and their frames; what a holder is sent is decided by versions.Peer from what was
// published last. It must never hold up the decisions, nor send anything to who can't prove that it has a key.

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
	"tamarindshore/internal/versions"
)

type feed struct {
	metrics     *metrics
	startedAt   time.Time
	maxReplicas int
	keys        atomic.Pointer[tables.Keys]
	retry       versions.RetrySettings
	replicas    atomic.Int64

	mu      sync.Mutex
	view    versions.View
	changed chan struct{}       // closed once another is published
	encoded map[deltaKey][]byte // of the newest version, by base: most holders hold the same
}

type deltaKey struct {
	head, base tables.ID
	from       tables.Digest
}

// readKeys reads a file of keys: 64 hex digits a line, the one that signs first; two at most.
func readKeys(path string) (keys tables.Keys, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		secret, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			return nil, fmt.Errorf("%s:%d: no hex digits", path, i+1)
		}
		k, err := tables.NewKey(secret)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %v", path, i+1, err)
		}
		keys = append(keys, k)
	}
	if len(keys) > 2 {
		return nil, fmt.Errorf("%s: %d keys, two at most are valid at once", path, len(keys))
	}
	return keys, nil
}

func newFeed(keys tables.Keys, most int, m *metrics) *feed {
	f := &feed{metrics: m, startedAt: time.Now(), maxReplicas: most, retry: versions.DefaultRetrySettings(), changed: make(chan struct{}), encoded: map[deltaKey][]byte{}}
	f.keys.Store(&keys)
	return f
}

// publish takes over what is to be sent from now on.
func (f *feed) publish(v versions.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
	clear(f.encoded)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) current() (versions.View, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.changed
}

// encode writes a delta once for all that hold its base.
func (f *feed) encode(d *tables.Delta) ([]byte, error) {
	k := deltaKey{d.ID, d.Base, d.BaseDigest}
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, done := f.encoded[k]; done {
		return b, nil
	}
	b, err := d.Encode(*f.keys.Load())
	if err == nil && len(f.encoded) < 64 {
		f.encoded[k] = b
	}
	return b, err
}

// listen takes holders until stop is closed.
func (f *feed) listen(address string, stop <-chan struct{}) (net.Listener, error) {
	at, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := at.Accept()
			if err != nil {
				return
			}
			if f.replicas.Load() >= int64(f.maxReplicas) {
				c.Close()
				f.metrics.add(replicasRejected, 1)
				continue
			}
			f.replicas.Add(1)
			go func() {
				defer f.replicas.Add(-1)
				defer c.Close()
				f.serve(c, stop)
			}()
		}
	}()
	return at, nil
}

// replicaFrame is a frame of a holder's.
type replicaFrame struct {
	kind byte
	body []byte
}

const greetingTimeout, sendTimeout = 1500 * time.Millisecond, 5 * time.Second

// serve keeps one holder up to date until its connection ends.
func (f *feed) serve(c net.Conn, stop <-chan struct{}) {
	nonce := make([]byte, 16)
	rand.Read(nonce)
	c.SetDeadline(time.Now().Add(greetingTimeout))
	if follow.WriteFrame(c, follow.FrameNonce, nonce) != nil {
		return
	}
	kind, body, err := follow.ReadFrame(c, 256)
	if err != nil || kind != follow.FrameHello {
		f.metrics.add(replicasRejected, 1)
		return
	}
	name, held, err := follow.VerifyHello(nonce, *f.keys.Load(), body)
	if err != nil {
		f.metrics.add(replicasRejected, 1)
		f.metrics.logLimited("holder", "from", c.RemoteAddr().String(), "error", err)
		return
	}
	c.SetDeadline(time.Time{})
	answers, over := make(chan replicaFrame, 4), make(chan struct{})
	defer close(over)
	go func() {
		defer close(answers)
		for {
			kind, body, err := follow.ReadFrame(c, 256)
			if err != nil {
				return
			}
			select {
			case answers <- replicaFrame{kind, body}:
			case <-over:
				return
			}
		}
	}()
	p := versions.NewPeer(f.retry, held, uint64(nonce[0])<<8|uint64(nonce[1]))
	for {
		view, newer := f.current()
		d, wake := p.NextDelta(time.Since(f.startedAt), view)
		if d != nil {
			b, err := f.encode(d)
			if err != nil {
				f.metrics.logLimited("holder", "name", name, "error", err)
				return
			}
			c.SetWriteDeadline(time.Now().Add(sendTimeout))
			if follow.WriteFrame(c, follow.FrameDelta, b) != nil {
				return
			}
			f.metrics.add(versionsSent, 1)
			continue
		}
		var timer <-chan time.Time
		if wake > 0 {
			timer = time.After(max(0, wake-time.Since(f.startedAt)))
		}
		select {
		case a, more := <-answers:
			if !more || !f.handleReply(p, name, a) {
				return
			}
		case <-newer:
		case <-timer:
		case <-stop:
			return
		}
	}
}

// handleReply takes an answer; false ends the connection.
func (f *feed) handleReply(p *versions.Peer, name string, a replicaFrame) bool {
	why, body := tables.Applied, a.body
	if a.kind == follow.FrameRejection && len(body) > 0 {
		why, body = tables.Outcome(body[0]), body[1:]
	}
	held, _, err := follow.ParseVersionRef(body)
	if err != nil || why < tables.Applied || why > tables.Conflict {
		return false
	}
	switch a.kind {
	case follow.FrameAck:
		f.metrics.add(versionsAcked, 1)
		p.HandleAck(held)
	case follow.FrameSnapshotRequest:
		p.HandleSnapshotRequest(held)
	case follow.FrameRejection:
		f.metrics.add(versionsRejected, 1)
		f.metrics.logLimited("refused_version", "holder", name, "why", why.String(), "holds", held.ID.String())
		p.HandleRejection(time.Since(f.startedAt), why, held)
		if p.Superseded() {
			f.metrics.logLimited("taken_over", "holder", name, "holds", held.ID.String())
		}
	}
	return true
}
