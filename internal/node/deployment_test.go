package node

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
	"tamarindshore/internal/config"
	"tamarindshore/internal/fakes"
)

var testKey = bytes.Repeat([]byte{5}, 32)

func newTestKey(t testing.TB, secret []byte) tables.Key {
	k, err := tables.NewKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// managerDeployment is a deployment whose manager has an admin socket, a store and a listener for replicas.
type managerDeployment struct {
	*fakes.Deployment
	socket   string // file of the admin socket
	feed     string // address for replicas
	heldFeed net.Listener
	settings string // of the operator
	store    string // file
	manager  *inProcessManager
}

// startReader reads the operator's settings, and with each call of the result the start's file joined to them.
func startReader(start, settings string) (read func() (config.Config, error), err error) {
	operator, err := config.ReadOperatorSettings(settings)
	if err != nil {
		return nil, err
	}
	return func() (config.Config, error) {
		s, err := config.Read(func(key string) string { return map[string]string{"PROXY_CONFIG": start}[key] })
		if err != nil {
			return s, err
		}
		return s.WithOperator(operator)
	}, nil
}

// startDeployment starts a manager with all that the operator's settings can name, and fakes of what it talks to, until the
// test ends.
func startDeployment(t testing.TB, site fakes.Site) *managerDeployment {
	t.Helper()
	dir := t.TempDir()
	v := &managerDeployment{socket: filepath.Join(dir, "s"), store: filepath.Join(dir, "v.db")}
	v.holdFeedAddress(t)
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte(hex.EncodeToString(testKey)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	v.settings = fmt.Sprintf("(admin (socket %q)) (store (path %q)) (tables (listen %q) (keys %q))", v.socket, v.store, v.feed, keys)
	options := fakes.ManagerOptions{Cores: 1, MemoryMB: 512, MaxDescriptors: 4096, Seed: 1, OperatorSettings: v.settings}
	deployment, err := fakes.StartDeployment(site, options, v.begin)
	if err != nil {
		t.Fatal(err)
	}
	v.Deployment = deployment
	t.Cleanup(deployment.Close)
	return v
}

// holdFeedAddress finds an address for replicas and listens there until the manager begins, so that the deployment does
// not find the same address for something else.
func (v *managerDeployment) holdFeedAddress(t testing.TB) {
	t.Helper()
	v.feed = freeAddress(t)
	listener, err := net.Listen("tcp", v.feed)
	if err != nil {
		t.Fatal(err)
	}
	v.heldFeed = listener
	t.Cleanup(func() { listener.Close() })
}

// begin starts the manager in this process.
func (v *managerDeployment) begin(start, settings string) (fakes.Manager, error) {
	v.heldFeed.Close()
	read, err := startReader(start, settings)
	if err != nil {
		return nil, err
	}
	v.manager, err = startFromConfig(read)
	return v.manager, err
}

func freeAddress(t testing.TB) string {
	at, err := fakes.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

func (v *managerDeployment) admin(t testing.TB, a AdminRequest) (string, error) {
	t.Helper()
	c, err := net.Dial("unix", v.socket)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	json.NewEncoder(c).Encode(a)
	var response AdminResponse
	if err := json.NewDecoder(c).Decode(&response); err != nil {
		t.Fatal(err)
	}
	if response.Error != "" {
		return "", fmt.Errorf("%s", response.Error)
	}
	return strings.Join(response.Lines, "\n"), nil
}

// versionIDs are those kept, newest first.
func (v *managerDeployment) versionIDs(t testing.TB) (all []string) {
	t.Helper()
	text, err := v.admin(t, AdminRequest{Command: "log"})
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(text, "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] != "held" {
			all = append(all, f[0])
		}
	}
	return all
}

func (v *managerDeployment) show(t testing.TB, id string) string {
	t.Helper()
	text, err := v.admin(t, AdminRequest{Command: "show", Version: id})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// assignAllProxies connects all proxies and waits until they are assigned to tables.
func (v *managerDeployment) assignAllProxies(t testing.TB) {
	t.Helper()
	ids := make([]int, v.Site.Proxies)
	for i := range ids {
		ids[i] = i
	}
	v.Relay.ConnectProxies(ids...)
	v.awaitAssignments(t)
}

// awaitAssignments waits until all proxies are assigned to a table.
func (v *managerDeployment) awaitAssignments(t testing.TB) {
	t.Helper()
	mustEventually(t, 10*time.Second, "all proxies assigned", func() bool {
		return v.Relay.Counts().AssignedProxies >= v.Site.Proxies
	})
}

// startReplica starts a replica that follows the feed until the test ends.
func startReplica(t testing.TB, address string, number int, applied func(tables.VersionRef)) *tables.Replica {
	t.Helper()
	keys := tables.Keys{newTestKey(t, testKey)}
	retry := tables.RetrySettings{InitialInterval: 50 * time.Millisecond, MaxInterval: time.Second}
	h := tables.NewReplica(keys, retry, uint64(number))
	f := &follow.Follower{
		Name:       fmt.Sprint("h", number),
		Keys:       keys,
		Replica:    h,
		MaxBackoff: 200 * time.Millisecond,
		Dial:       func(ctx context.Context) (net.Conn, error) { return (&net.Dialer{}).DialContext(ctx, "tcp", address) },
		OnApplied:  func(version tables.VersionRef, _ *tables.State) { applied(version) },
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	return h
}

// replicaVersions records what each of some replicas runs. It is safe for concurrent use.
type replicaVersions struct {
	mu      sync.Mutex // of all below
	held    map[int]tables.VersionRef
	applied map[int]map[tables.ID]int // how often each version was applied
}

func newReplicaVersions() *replicaVersions {
	return &replicaVersions{held: map[int]tables.VersionRef{}, applied: map[int]map[tables.ID]int{}}
}

func (l *replicaVersions) recorder(i int) func(tables.VersionRef) {
	return func(h tables.VersionRef) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.applied[i] == nil {
			l.applied[i] = map[tables.ID]int{}
		}
		l.held[i] = h
		l.applied[i][h.ID]++
	}
}

// allRun tells whether the first n replicas run a version.
func (l *replicaVersions) allRun(n int, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range n {
		if l.held[i].ID.String() != id {
			return false
		}
	}
	return true
}

func (v *managerDeployment) versionLog(t testing.TB) []string {
	text, err := v.admin(t, AdminRequest{Command: "log"})
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(text, "\n")
}
