package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/balancer"
	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
	"tamarindshore/internal/fakes"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

func TestARollbackTakesEffectOnceAlsoAfterARestart(t *testing.T) {
	const replicas = 8
	v := startDeployment(t, fakes.DefaultSite(6, 12))
	l := newReplicaVersions()
	for i := range replicas {
		startReplica(t, v.feed, i, l.recorder(i))
	}
	v.assignAllProxies(t)
	time.Sleep(1200 * time.Millisecond) // the tables settle within a second
	good := v.versionIDs(t)[0]
	before := v.show(t, good)
	drained := v.Servers[0]
	v.Discovery.Publish(drained.Entry("draining"))
	eventually(t, "drained", func() bool { return v.Relay.RequestRate(drained.ID) == 0 })
	rollback := AdminRequest{Command: AdminRollback, Version: good, Key: "k1", Duration: time.Minute}
	lines, err := v.admin(t, rollback)
	if err != nil || !strings.Contains(lines, "done under key") {
		t.Fatal(lines, err)
	}
	eventually(t, "rolled back", func() bool {
		return strings.Contains(strings.Join(v.versionLog(t), "\n"), `by "k1"`) || v.show(t, v.versionIDs(t)[0]) != before
	})
	v.assertRolledBack(t, before, drained.ID)
	newest := v.versionIDs(t)[0]
	eventually(t, "all replicas run it", func() bool { return l.allRun(replicas, newest) })
	v.assertDoneBefore(t, good)
	if text, err := v.admin(t, AdminRequest{Command: AdminVerify}); err != nil || !strings.Contains(text, "hold") {
		t.Error(text, err)
	}
	v.Manager.Stop(false)
	if err := v.StartManager(); err != nil {
		t.Fatal(err)
	}
	v.assertDoneBefore(t, good)
	if !slices.Contains(v.versionIDs(t), good) {
		t.Error("the versions of before the restart are gone")
	}
	eventually(t, "replicas follow the new epoch", func() bool {
		all := v.versionIDs(t)
		return len(all) > 0 && !strings.HasPrefix(all[0], strings.Split(good, ".")[0]+".") && l.allRun(replicas, all[0])
	})
	l.assertAppliedOnce(t)
}

// assertRolledBack fails where the weights of a version before are not back, but for those of a server that has drained
// since.
func (v *managerDeployment) assertRolledBack(t *testing.T, before, drained string) {
	t.Helper()
	now := v.show(t, v.versionIDs(t)[0])
	for _, line := range strings.Split(before, "\n") {
		isWeight := strings.HasPrefix(line, "table") && !strings.Contains(line, "groups")
		if isWeight && !strings.Contains(line, drained) && !strings.Contains(now, line) {
			t.Errorf("%q is not back in\n%s", line, now)
		}
	}
	if v.Relay.RequestRate(drained) != 0 || !strings.Contains(now, "withdrawn "+drained) {
		t.Error("a server that drained since gets requests back")
	}
}

// assertDoneBefore fails where a rollback under the key k1 is not known as completed.
func (v *managerDeployment) assertDoneBefore(t *testing.T, version string) {
	t.Helper()
	lines, err := v.admin(t, AdminRequest{Command: AdminRollback, Version: version, Key: "k1"})
	if err != nil || !strings.HasPrefix(lines, "done before") {
		t.Error(lines, err)
	}
}

// assertAppliedOnce fails where a replica applied a version more than once.
func (l *replicaVersions) assertAppliedOnce(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, versions := range l.applied {
		for id, count := range versions {
			if count > 1 {
				t.Errorf("replica %d: %v was applied %d times", i, id, count)
			}
		}
	}
}

func TestCorruptDeltasLeaveEachReplicaOnItsLastGoodVersion(t *testing.T) {
	v := startDeployment(t, fakes.DefaultSite(9, 12))
	var corrupt atomic.Bool
	corrupt.Store(true)
	address := startCorruptingProxy(t, v.feed, &corrupt)
	l := newReplicaVersions()
	for i := range 30 {
		startReplica(t, address, i, l.recorder(i))
	}
	v.assignAllProxies(t)
	for round := range 12 {
		s := v.Servers[round%len(v.Servers)]
		v.Discovery.Publish(s.Entry("draining"))
		time.Sleep(60 * time.Millisecond)
		v.Discovery.Publish(s.Entry("up"))
		time.Sleep(60 * time.Millisecond)
	}
	good := map[string]bool{}
	for _, line := range v.versionLog(t) {
		good[strings.Fields(line)[0]] = true
	}
	l.mu.Lock()
	for i, h := range l.held {
		if !good[h.ID.String()] {
			t.Errorf("replica %d runs %v, which never was published", i, h.ID)
		}
	}
	l.mu.Unlock()
	corrupt.Store(false)
	eventually(t, "all run the newest", func() bool { return l.allRun(30, v.versionIDs(t)[0]) })
	if n := v.manager.metrics.counts[versionsRejected].Load(); n == 0 {
		t.Error("no delta was refused")
	}
}

func TestAnUnauthenticatedReplicaReceivesNothing(t *testing.T) {
	v := startDeployment(t, fakes.DefaultSite(3, 3))
	for name, greet := range map[string]func(c net.Conn, nonce []byte){
		"silent":  func(net.Conn, []byte) {},
		"rubbish": func(c net.Conn, _ []byte) { io.WriteString(c, "GET / HTTP/1.1\r\n\r\n") },
		"other key": func(c net.Conn, nonce []byte) {
			follow.WriteFrame(c, follow.FrameHello, follow.EncodeHello(nonce, newTestKey(t, bytes.Repeat([]byte{6}, 32)), "x", tables.VersionRef{}))
		},
		"replay": func(c net.Conn, _ []byte) {
			follow.WriteFrame(c, follow.FrameHello, follow.EncodeHello(make([]byte, 16), newTestKey(t, testKey), "x", tables.VersionRef{}))
		},
	} {
		c, err := net.Dial("tcp", v.feed)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(4 * time.Second))
		kind, nonce, err := follow.ReadFrame(c, 64)
		if err != nil || kind != follow.FrameNonce {
			t.Fatal(kind, err)
		}
		greet(c, nonce)
		if kind, _, err := follow.ReadFrame(c, 1<<20); err == nil {
			t.Errorf("%s: got a frame %c", name, kind)
		} else if late, ok := err.(net.Error); ok && late.Timeout() {
			t.Errorf("%s: still open", name)
		}
		c.Close()
	}
}

// A store that fails costs no decision; once it is back, what it missed is saved as a whole.
func TestAFailingStoreIsLoggedOnceAndCaughtUp(t *testing.T) {
	path := filepath.Join(t.TempDir(), "v.db")
	s, kept, err := store.Open(path, 1, store.DefaultLimits(), nil)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	b := newMetrics(0, zerolog.New(&log))
	va := &storeWriter{store: s, metrics: b, filled: make(chan struct{}, 1), saved: kept.State.Digest()}
	c := versions.New(versions.DefaultSettings(1))
	propose := func(w float64) {
		r := c.Propose(0, balancer.Commands{Weights: []balancer.EndpointWeight{{Table: 0, Server: balancer.ServerID(fmt.Sprint("s", w)), Weight: w}}}, "x", allServersReady{})
		va.saveVersion(r.Version)
	}
	propose(1)
	if !va.save() {
		t.Fatal("not saved")
	}
	s.Close() // as if the disk were gone
	for i := range maxWaitingVersions + 20 {
		propose(float64(i + 2))
		if va.save() {
			t.Fatal("saved to a store that is closed")
		}
	}
	if n := strings.Count(log.String(), "store_write_failed"); n != 1 || len(va.waiting.versions) > maxWaitingVersions {
		t.Errorf("logged %d times, %d wait", n, len(va.waiting.versions))
	}
	if va.store, _, err = store.Open(path, 1, store.DefaultLimits(), nil); err != nil {
		t.Fatal(err)
	}
	if !va.save() || !strings.Contains(log.String(), "store_recovered") {
		t.Error("not caught up")
	}
	va.store.Close()
	if kept, err := store.Check(path, store.DefaultLimits()); err != nil || kept.State.Digest() != c.State().Digest() {
		t.Error(err)
	}
}

type allServersReady struct{}

func (allServersReady) ServerStatus(balancer.ServerID) versions.ServerStatus {
	return versions.ServerStatus{Known: true, Available: true, WarmFraction: 1}
}
func (allServersReady) RequestRate(balancer.TableID) float64 { return 1 }
func (allServersReady) ReadyServers() (int, int)             { return 1, 1 }

// BenchmarkRollback measures from an operator's command to the last of a thousand replicas that runs the version.
func BenchmarkRollback(b *testing.B) {
	v := startDeployment(b, fakes.DefaultSite(30, 60))
	l := newReplicaVersions()
	const n = 1000
	for i := range n {
		startReplica(b, v.feed, i, l.recorder(i))
	}
	v.assignAllProxies(b)
	wait := func(id func() string) {
		mustEventually(b, 20*time.Second, "all run the newest", func() bool { return l.allRun(n, id()) })
	}
	newest := func() string { return v.versionIDs(b)[0] }
	wait(newest)
	time.Sleep(time.Second)
	good := newest()
	c, err := net.Dial("tcp", v.ManagerAddress)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "collector site=a\r\n")
	report := func() { // a third of the servers are slow, so that the tables move
		for range 8 {
			for s := range v.Site.Servers {
				fmt.Fprintf(c, "heard site=a target=%s count=20 fail=0 mean=%d over=250\r\n", fakes.ServerID(s), 100+2000*(1-min(1, s%3)))
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
	var took []time.Duration
	for i := 0; b.Loop(); i++ {
		report()
		was := newest()
		began := time.Now()
		if _, err := v.admin(b, AdminRequest{Command: "rollback", Version: good, Key: fmt.Sprint("k", i)}); err != nil {
			b.Fatal(err)
		}
		now := newest()
		if now == was {
			b.Fatal("nothing was to go back to")
		}
		wait(func() string { return now })
		took = append(took, time.Since(began))
		v.admin(b, AdminRequest{Command: "resume", Key: fmt.Sprint("r", i)})
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(took[len(took)-1])/1e6, "most-ms")
}
