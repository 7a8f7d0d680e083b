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

// A retried rollback must have no second effect, even if the manager restarted in between.
func TestARollbackTakesEffectOnceAcrossARestart(t *testing.T) {
	const replicas = 8
	v := startDeployment(t, fakes.DefaultSite(6, 12))
	l := newReplicaVersions()
	for i := range replicas {
		startReplica(t, v.feed, i, l.recorder(i))
	}
	v.assignAllProxies(t)
	time.Sleep(1200 * time.Millisecond) // the tables converge within a second
	good := v.versionIDs(t)[0]
	before := v.show(t, good)
	drained := v.Servers[0]
	v.Discovery.Publish(drained.Entry("draining"))
	eventually(t, "the drained server gets no requests", func() bool { return v.Relay.RequestRate(drained.ID) == 0 })
	rollback := AdminRequest{Command: AdminRollback, Version: good, Key: "k1", Duration: time.Minute}
	lines, err := v.admin(t, rollback)
	if err != nil || !strings.Contains(lines, "completed under key") {
		t.Fatal(lines, err)
	}
	eventually(t, "the rollback is in effect", func() bool {
		return strings.Contains(strings.Join(v.versionLog(t), "\n"), `by "k1"`) || v.show(t, v.versionIDs(t)[0]) != before
	})
	v.assertRolledBack(t, before, drained.ID)
	newest := v.versionIDs(t)[0]
	eventually(t, "all replicas run the version of the rollback", func() bool { return l.allRun(replicas, newest) })
	v.assertAlreadyCompleted(t, good)
	if text, err := v.admin(t, AdminRequest{Command: AdminVerify}); err != nil || !strings.HasSuffix(text, " versions match") {
		t.Error(text, err)
	}
	v.Manager.Stop(false)
	if err := v.StartManager(); err != nil {
		t.Fatal(err)
	}
	v.assertAlreadyCompleted(t, good)
	if !slices.Contains(v.versionIDs(t), good) {
		t.Errorf("version %s from before the restart is no longer listed", good)
	}
	eventually(t, "all replicas run the newest version of the new epoch", func() bool {
		all := v.versionIDs(t)
		return len(all) > 0 && !strings.HasPrefix(all[0], strings.Split(good, ".")[0]+".") && l.allRun(replicas, all[0])
	})
	l.assertAppliedOnce(t)
}

// assertRolledBack fails the test unless the newest version has the weights of an earlier one, except for a server that has
// drained since, which must be withdrawn. before is the output of show for the earlier version.
func (v *managerDeployment) assertRolledBack(t *testing.T, before, drained string) {
	t.Helper()
	now := v.show(t, v.versionIDs(t)[0])
	for _, line := range strings.Split(before, "\n") {
		isWeight := strings.HasPrefix(line, "table") && !strings.Contains(line, "classes")
		if isWeight && !strings.Contains(line, drained) && !strings.Contains(now, line) {
			t.Errorf("%q is not restored; the newest version is\n%s", line, now)
		}
	}
	if v.Relay.RequestRate(drained) != 0 || !strings.Contains(now, "withdrawn "+drained) {
		t.Errorf("%s gets requests again or is not withdrawn, although it has drained since", drained)
	}
}

// assertAlreadyCompleted fails the test unless a rollback under the key k1 is reported as completed before.
func (v *managerDeployment) assertAlreadyCompleted(t *testing.T, version string) {
	t.Helper()
	lines, err := v.admin(t, AdminRequest{Command: AdminRollback, Version: version, Key: "k1"})
	if err != nil || !strings.HasPrefix(lines, "already completed") {
		t.Error(lines, err)
	}
}

// assertAppliedOnce fails the test if a replica applied a version more than once.
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

// A replica must never apply a corrupt delta, and must catch up once its connection is sound.
func TestReplicasRejectCorruptDeltas(t *testing.T) {
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
	for i, version := range l.current {
		if !good[version.ID.String()] {
			t.Errorf("replica %d runs %v, which was never published", i, version.ID)
		}
	}
	l.mu.Unlock()
	corrupt.Store(false)
	eventually(t, "all replicas run the newest version", func() bool { return l.allRun(30, v.versionIDs(t)[0]) })
	if n := v.manager.metrics.counts[versionsRejected].Load(); n == 0 {
		t.Error("no corrupt delta was rejected")
	}
}

func TestAnUnauthenticatedReplicaReceivesNothing(t *testing.T) {
	v := startDeployment(t, fakes.DefaultSite(3, 3))
	for name, greet := range map[string]func(conn net.Conn, nonce []byte){
		"silent":  func(net.Conn, []byte) {},
		"rubbish": func(conn net.Conn, _ []byte) { io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n") },
		"other key": func(conn net.Conn, nonce []byte) {
			follow.WriteFrame(conn, follow.FrameHello,
				follow.EncodeHello(nonce, newTestKey(t, bytes.Repeat([]byte{6}, 32)), "x", tables.VersionRef{}))
		},
		"replay": func(conn net.Conn, _ []byte) {
			follow.WriteFrame(conn, follow.FrameHello, follow.EncodeHello(make([]byte, 16), newTestKey(t, testKey), "x", tables.VersionRef{}))
		},
	} {
		conn, err := net.Dial("tcp", v.feed)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(4 * time.Second))
		kind, nonce, err := follow.ReadFrame(conn, 64)
		if err != nil || kind != follow.FrameNonce {
			t.Fatal(kind, err)
		}
		greet(conn, nonce)
		if kind, _, err := follow.ReadFrame(conn, 1<<20); err == nil {
			t.Errorf("%s: received a frame of kind %c, want a closed connection", name, kind)
		} else if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			t.Errorf("%s: the connection is still open after 4 s", name)
		}
		conn.Close()
	}
}

// A failing store must be logged only once, and the unsaved versions must stay bounded. Once the store works again, its
// state must become the current one, although not all versions were kept.
func TestAStoreIsBroughtUpToDateAfterFailures(t *testing.T) {
	path := filepath.Join(t.TempDir(), "v.db")
	s, stored, err := store.Open(path, 1, store.DefaultLimits(), nil)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	m := newMetrics(0, zerolog.New(&log))
	writer := &storeWriter{store: s, metrics: m, wake: make(chan struct{}, 1), saved: stored.State.Digest()}
	chain := versions.New(versions.DefaultSettings(1))
	propose := func(weight float64) {
		result := chain.Propose(0, balancer.Commands{Weights: []balancer.EndpointWeight{
			{Table: 0, Server: balancer.ServerID(fmt.Sprint("s", weight)), Weight: weight}}}, "x", allServersReady{})
		writer.saveVersion(result.Version)
	}
	propose(1)
	if !writer.save() {
		t.Fatal("the first version was not saved")
	}
	s.Close() // every save fails from now on
	for i := range maxUnsavedVersions + 20 {
		propose(float64(i + 2))
		if writer.save() {
			t.Fatal("a save to a closed store succeeded")
		}
	}
	if logged := strings.Count(log.String(), "store_write_failed"); logged != 1 || len(writer.unsaved.versions) > maxUnsavedVersions {
		t.Errorf("the failure was logged %d times, want once; %d versions are unsaved, want at most %d",
			logged, len(writer.unsaved.versions), maxUnsavedVersions)
	}
	if writer.store, _, err = store.Open(path, 1, store.DefaultLimits(), nil); err != nil {
		t.Fatal(err)
	}
	if !writer.save() || !strings.Contains(log.String(), "store_recovered") {
		t.Error("the versions were not saved to the reopened store, or its recovery was not logged")
	}
	writer.store.Close()
	if stored, err := store.Check(path, store.DefaultLimits()); err != nil || stored.State.Digest() != chain.State().Digest() {
		t.Errorf("the store does not hold the current state: error %v", err)
	}
}

// allServersReady implements versions.FleetView for a fleet whose servers are all ready and warm.
type allServersReady struct{}

func (allServersReady) ServerStatus(balancer.ServerID) versions.ServerStatus {
	return versions.ServerStatus{Known: true, Available: true, WarmFraction: 1}
}
func (allServersReady) RequestRate(balancer.TableID) float64 { return 1 }
func (allServersReady) ReadyServers() (int, int)             { return 1, 1 }

// BenchmarkRollback measures the time from an operator's rollback command until all of a thousand replicas run the new
// version.
func BenchmarkRollback(b *testing.B) {
	v := startDeployment(b, fakes.DefaultSite(30, 60))
	l := newReplicaVersions()
	const n = 1000
	for i := range n {
		startReplica(b, v.feed, i, l.recorder(i))
	}
	v.assignAllProxies(b)
	wait := func(id func() string) {
		mustEventually(b, 20*time.Second, "all replicas run the newest version", func() bool { return l.allRun(n, id()) })
	}
	newest := func() string { return v.versionIDs(b)[0] }
	wait(newest)
	time.Sleep(time.Second)
	good := newest()
	conn, err := net.Dial("tcp", v.ManagerAddress)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "collector site=a\r\n")
	report := func() { // a third of the servers are slow, so that the weights change
		for range 8 {
			for s := range v.Site.Servers {
				fmt.Fprintf(conn, "heard site=a target=%s count=20 fail=0 mean=%d over=250\r\n", fakes.ServerID(s), 100+2000*(1-min(1, s%3)))
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
			b.Fatal("the rollback made no new version")
		}
		wait(func() string { return now })
		took = append(took, time.Since(began))
		v.admin(b, AdminRequest{Command: "resume", Key: fmt.Sprint("r", i)})
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(took[len(took)-1])/1e6, "most-ms")
}
