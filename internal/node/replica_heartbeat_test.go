package node

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
)

// Regression test: a manager sent nothing while there was no new version, so a replica could not tell an idle connection
// from one whose manager had vanished.
func TestFeedSendsHeartbeatsWhileThereIsNoNewVersion(t *testing.T) {
	keys := tables.Keys{newTestKey(t, testKey)}
	feed := newFeed(keys, 1, newMetrics(time.Second, zerolog.Nop()))
	feed.heartbeatInterval = time.Millisecond
	managerEnd, replicaEnd := net.Pipe()
	stop := make(chan struct{})
	served := make(chan struct{})
	go func() {
		defer close(served)
		defer managerEnd.Close()
		feed.serve(managerEnd, stop)
	}()
	replicaEnd.SetDeadline(time.Now().Add(10 * time.Second)) // expires only if something hangs
	_, nonce, err := follow.ReadFrame(replicaEnd, maxReplicaFrame)
	if err != nil {
		t.Fatal(err)
	}
	hello := follow.EncodeHello(nonce, keys[0], "replica", tables.VersionRef{Digest: tables.EmptyState().Digest()})
	if err := follow.WriteFrame(replicaEnd, follow.FrameHello, hello); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		kind, body, err := follow.ReadFrame(replicaEnd, maxReplicaFrame)
		if err != nil || kind != follow.FrameHeartbeat || len(body) != 0 {
			t.Fatalf("received a frame of kind %q with %d bytes, error %v; want a heartbeat", kind, len(body), err)
		}
	}
	replicaEnd.Close()
	<-served
}
