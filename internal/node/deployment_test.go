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
	key, err := tables.NewKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// managerDeployment is a deployment whose manager has an admin socket, a store and a listener for replicas.
type managerDeployment struct {
	*fakes.Deployment
	socket       string       // path of the admin socket
	feed         string       // address for replicas
	reservedFeed net.Listener // keeps the address for replicas in use until the manager starts
	settings     string       // the operator's settings
	store        string       // path of the store
	manager      *inProcessManager
}

// newConfigReadFunc reads the operator's settings from a file. Each call of the returned function rereads the
// configuration file and combines it with these settings.
func newConfigReadFunc(configFile, settings string) (read func() (config.Config, error), err error) {
	operator, err := config.ReadOperatorSettings(settings)
	if err != nil {
		return nil, err
	}
	return func() (config.Config, error) {
		cfg, err := config.Read(func(key string) string { return map[string]string{"PROXY_CONFIG": configFile}[key] })
		if err != nil {
			return cfg, err
		}
		return cfg.WithOperator(operator)
	}, nil
}

// startDeployment starts a manager that has an admin socket, a store and a listener for replicas, and fakes of its peers.
// They run until the test ends.
func startDeployment(t testing.TB, site fakes.Site) *managerDeployment {
	t.Helper()
	dir := t.TempDir()
	v := &managerDeployment{socket: filepath.Join(dir, "s"), store: filepath.Join(dir, "v.db")}
	v.reserveFeedAddress(t)
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte(hex.EncodeToString(testKey)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	v.settings = fmt.Sprintf("(admin (socket %q)) (store (path %q)) (tables (listen %q) (keys %q))", v.socket, v.store, v.feed, keys)
	options := fakes.ManagerOptions{Cores: 1, MemoryMB: 512, MaxDescriptors: 4096, Seed: 1, OperatorSettings: v.settings}
	deployment, err := fakes.StartDeployment(site, options, v.startManagerInProcess)
	if err != nil {
		t.Fatal(err)
	}
	v.Deployment = deployment
	t.Cleanup(deployment.Close)
	return v
}

// reserveFeedAddress finds a free address for replicas and listens there until the manager starts, so that the deployment
// does not use the same address for another listener.
func (v *managerDeployment) reserveFeedAddress(t testing.TB) {
	t.Helper()
	v.feed = freeAddress(t)
	listener, err := net.Listen("tcp", v.feed)
	if err != nil {
		t.Fatal(err)
	}
	v.reservedFeed = listener
	t.Cleanup(func() { listener.Close() })
}

// startManagerInProcess starts the manager in this process.
func (v *managerDeployment) startManagerInProcess(configFile, settings string) (fakes.Manager, error) {
	v.reservedFeed.Close()
	read, err := newConfigReadFunc(configFile, settings)
	if err != nil {
		return nil, err
	}
	v.manager, err = startFromConfig(read)
	return v.manager, err
}

func freeAddress(t testing.TB) string {
	address, err := fakes.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (v *managerDeployment) admin(t testing.TB, request AdminRequest) (string, error) {
	t.Helper()
	conn, err := net.Dial("unix", v.socket)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	json.NewEncoder(conn).Encode(request)
	var response AdminResponse
	if err := json.NewDecoder(conn).Decode(&response); err != nil {
		t.Fatal(err)
	}
	if response.Error != "" {
		return "", fmt.Errorf("%s", response.Error)
	}
	return strings.Join(response.Lines, "\n"), nil
}

// versionIDs returns the IDs of the kept versions, newest first.
func (v *managerDeployment) versionIDs(t testing.TB) (all []string) {
	t.Helper()
	text, err := v.admin(t, AdminRequest{Command: "log"})
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(text, "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] != "held" {
			all = append(all, fields[0])
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

// startReplica starts a replica that follows the feed until the test ends, and calls applied for each applied version.
func startReplica(t testing.TB, address string, number int, applied func(tables.VersionRef)) *tables.Replica {
	t.Helper()
	keys := tables.Keys{newTestKey(t, testKey)}
	retry := tables.RetrySettings{InitialInterval: 50 * time.Millisecond, MaxInterval: time.Second}
	replica := tables.NewReplica(keys, retry, uint64(number))
	follower := &follow.Follower{
		Name:       fmt.Sprint("h", number),
		Keys:       keys,
		Replica:    replica,
		MaxBackoff: 200 * time.Millisecond,
		Dial:       func(ctx context.Context) (net.Conn, error) { return (&net.Dialer{}).DialContext(ctx, "tcp", address) },
		OnApplied:  func(version tables.VersionRef, _ *tables.State) { applied(version) },
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	return replica
}

// replicaVersions records the version that each replica has applied. It is safe for concurrent use.
type replicaVersions struct {
	mu      sync.Mutex                // guards the fields below
	current map[int]tables.VersionRef // the current version of each replica
	applied map[int]map[tables.ID]int // how often each replica applied each version
}

func newReplicaVersions() *replicaVersions {
	return &replicaVersions{current: map[int]tables.VersionRef{}, applied: map[int]map[tables.ID]int{}}
}

// recorder returns a function that records the versions that a replica applies.
func (r *replicaVersions) recorder(i int) func(tables.VersionRef) {
	return func(version tables.VersionRef) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.applied[i] == nil {
			r.applied[i] = map[tables.ID]int{}
		}
		r.current[i] = version
		r.applied[i][version.ID]++
	}
}

// allRun reports whether the last version that each of the first n replicas applied has the given ID.
func (r *replicaVersions) allRun(n int, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range n {
		if r.current[i].ID.String() != id {
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
