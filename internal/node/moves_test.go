package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"tamarindshore/internal/config"
	"tamarindshore/internal/fakes"
	"tamarindshore/internal/sharding"
)

// inProcessManager is a manager in this process whose connections a test can move between shards.
type inProcessManager struct {
	*Node
	reload chan os.Signal
	cancel context.CancelFunc
	done   chan struct{}
	err    error // of Run; read once done is closed
}

// startInProcess runs a manager in this process.
func startInProcess(n *Node, reread func() (config.Config, error)) *inProcessManager {
	ctx, end := context.WithCancel(context.Background())
	d := &inProcessManager{Node: n, reload: make(chan os.Signal, 8), cancel: end, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		d.err = d.Run(ctx, Signals{Reload: d.reload}, reread)
	}()
	return d
}

// startFromConfig starts a manager with the configuration that read gives, and reads it again for a reload.
func startFromConfig(read func() (config.Config, error)) (*inProcessManager, error) {
	start, err := read()
	if err != nil {
		return nil, err
	}
	n, err := New(start, io.Discard)
	if err != nil {
		return nil, err
	}
	return startInProcess(n, read), nil
}

func (d *inProcessManager) Done() <-chan struct{}    { return d.done }
func (d *inProcessManager) Err() error               { return d.err }
func (d *inProcessManager) Signal(s os.Signal) error { d.reload <- s; return nil }
func (d *inProcessManager) Stop(bool) error {
	d.cancel()
	<-d.done
	return nil
}

// movingShards is the number of shards between which connections move.
const movingShards = 4

// deployWithMovingShards starts a deployment whose manager's connections move between four shards all the time, until
// the test ends.
func deployWithMovingShards(t *testing.T, site fakes.Site) (*fakes.Deployment, *inProcessManager) {
	t.Helper()
	var manager *inProcessManager
	options := fakes.ManagerOptions{Cores: movingShards, MemoryMB: 512, MaxDescriptors: 1024, Seed: 1}
	start := func(configFile, _ string) (fakes.Manager, error) {
		var err error
		manager, err = startFromConfig(func() (config.Config, error) { return readShardedConfig(configFile, movingShards) })
		return manager, err
	}
	deployment, err := fakes.StartDeployment(site, options, start)
	if err != nil {
		t.Fatal(err)
	}
	stopMoves := moveConnections(manager, movingShards)
	t.Cleanup(func() {
		stopMoves()
		deployment.Close()
	})
	return deployment, manager
}

// readShardedConfig reads a configuration file for a manager that decodes in some shards and rebalances them quickly.
func readShardedConfig(file string, shards int) (config.Config, error) {
	read, err := config.Read(func(key string) string { return map[string]string{"PROXY_CONFIG": file}[key] })
	if err != nil {
		return read, err
	}
	operator := config.DefaultOperatorSettings()
	operator.Shards = shards
	read, err = read.WithOperator(operator)
	read.Limits.Sharding = quickSettings(shards)
	return read, err
}

// moveConnections asks a manager all the time to move a connection away from one shard after another, until the
// function that it returns is called.
func moveConnections(manager *inProcessManager, shards int) (stop func()) {
	const interval = 2 * time.Millisecond
	const movesInARow = 4
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(interval):
				manager.decoderPool.rebalanceFrom(sharding.ShardID(i / movesInARow % shards))
			}
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

// startReporters connects collectors that report for all proxies and servers until the test ends. The first also sends
// malformed messages.
func startReporters(t *testing.T, deployment *fakes.Deployment, count int) {
	t.Helper()
	for i := range count {
		connection, err := net.Dial("tcp", deployment.ManagerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		go report(connection, deployment.Site, deployment.Site.Zone(i), i == 0)
	}
}

// report names a collector's zone, then writes rounds of reports until the connection is closed.
func report(connection net.Conn, site fakes.Site, zone string, malformed bool) {
	const interval = 5 * time.Millisecond
	round := reportRound(site, zone, malformed)
	if _, err := fmt.Fprintf(connection, "collector site=%s\r\n", zone); err != nil {
		return
	}
	for {
		for _, line := range round {
			if _, err := io.WriteString(connection, line); err != nil {
				return
			}
		}
		time.Sleep(interval)
	}
}

// reportRound is a line for each server and proxy of a site, and some malformed ones.
func reportRound(site fakes.Site, zone string, malformed bool) (lines []string) {
	for server := range site.Servers {
		lines = append(lines, fmt.Sprintf("heard site=%s target=%s count=20 fail=0 mean=100 over=1000\r\n", zone, fakes.ServerID(server)))
	}
	for proxy := range site.Proxies {
		lines = append(lines, fmt.Sprintf("usage id=%d lane=quote count=4 fail=0 over=1000\r\n", proxy))
	}
	if malformed {
		lines = append(lines,
			"usage id=1 lane=quote count=-9\r\n",
			"heard site=nowhere target=x count=1 fail=0 mean=1 over=1\r\n")
	}
	return lines
}

// eventually waits until something holds, and fails the test where it does not.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	eventuallyWithin(t, 8*time.Second, what, holds)
}

func eventuallyWithin(t *testing.T, timeout time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Errorf("%s: not within %v", what, timeout)
}

func assertNoViolations(t *testing.T, deployment *fakes.Deployment) {
	t.Helper()
	relay := deployment.Relay
	relay.CheckState()
	relay.Rules.CheckDrains(time.Now(), func(server string) bool { return relay.RequestRate(server) > 0 })
	for _, rule := range relay.Rules.Results() {
		if !rule.OK() {
			t.Errorf("%+v", rule)
		}
	}
}

// proxyIDs are the numbers of a site's proxies from one number to before another.
func proxyIDs(from, to int) (ids []int) {
	for id := from; id < to; id++ {
		ids = append(ids, id)
	}
	return ids
}

const (
	// leastRounds is how many servers are replaced at least while connections move.
	leastRounds = 6
	// leastMoves is how many connections have to move while servers are replaced; more are replaced until then.
	leastMoves = 50
)

// roundsWithin is how long servers may go on being replaced. A move that is not done within the drain timeout is
// cancelled, and moves are asked for one at a time.
var roundsWithin = leastMoves * sharding.DefaultSettings(movingShards).DrainTimeout

// Drains, restarts, lost answers, reloads and event streams that break, all while connections move.
func TestMovesLoseNoDrainAndRepeatNoEffect(t *testing.T) {
	site := fakes.DefaultSite(12, 60)
	deployment, manager := deployWithMovingShards(t, site)
	deployment.Relay.ConnectProxies(proxyIDs(0, site.Proxies)...)
	eventually(t, "all bound", func() bool { return deployment.Relay.Counts().AssignedProxies == site.Proxies })
	startReporters(t, deployment, 6)
	deployment.Relay.Configure(injectFaultsInTurn)
	moves := func() int64 { return manager.metrics.counts[shardMoves].Load() }
	began := time.Now()
	for round := 0; round < leastRounds || moves() < leastMoves && time.Since(began) < roundsWithin; round++ {
		replaceServer(t, deployment, manager, round)
	}
	t.Logf("%d moves within %v", moves(), time.Since(began).Round(time.Millisecond))
	eventually(t, "all bound again", func() bool { return deployment.Relay.Counts().AssignedProxies == site.Proxies })
	assertNoViolations(t, deployment)
	if n := moves(); n < leastMoves {
		t.Errorf("%d moves only within %v", n, time.Since(began))
	}
	if n := manager.metrics.counts[callsUnknown].Load(); n == 0 {
		t.Error("no answer was lost")
	}
	if n := manager.metrics.counts[malformedMessages].Load() + manager.metrics.counts[unknownNames].Load(); n == 0 {
		t.Error("nothing malformed was counted")
	}
}

// injectFaultsInTurn has a relay lose, refuse and garble some answers, in a fixed order.
func injectFaultsInTurn(relay *fakes.Relay) {
	faults := []fakes.Fault{
		fakes.NoFault, fakes.AnswerLost, fakes.NoFault, fakes.NotExecuted, fakes.NoFault, fakes.AnswerGarbled, fakes.NoFault,
	}
	call := 0
	relay.InjectFault = func(int) fakes.Fault {
		call++
		return faults[call%len(faults)]
	}
}

// replaceServer drains a server, removes it and lists it again as a fresh process, while two proxies reconnect. In
// one round of three the manager reloads its configuration, in another the relay breaks all connections.
func replaceServer(t *testing.T, deployment *fakes.Deployment, manager *inProcessManager, round int) {
	t.Helper()
	number := round % leastRounds
	server := deployment.Servers[number]
	deployment.Discovery.Publish(server.Entry("draining"))
	switch round % 3 {
	case 1:
		manager.reload <- syscall.SIGHUP
	case 2:
		deployment.Relay.SetUnavailable(true)
		time.Sleep(30 * time.Millisecond)
		deployment.Relay.SetUnavailable(false)
	}
	eventually(t, "withdrawn", func() bool { return deployment.Relay.RequestRate(server.ID) == 0 })
	if err := server.SetBehaviour(fakes.Down); err != nil {
		t.Fatal(err)
	}
	deployment.Discovery.Publish(server.Entry("removed"))
	deployment.Relay.DisconnectProxies(number, number+10)
	deployment.Relay.ConnectProxies(number, number+10)
	if err := server.SetBehaviour(fakes.Healthy); err != nil {
		t.Fatal(err)
	}
	deployment.Discovery.Publish(server.Entry("up"))
}

// Guards against a burst that overruns the channel: 10,000 proxies connect within a second while connections move.
func TestTenThousandJoinsInASecond(t *testing.T) {
	site := fakes.DefaultSite(40, 10_000)
	deployment, manager := deployWithMovingShards(t, site)
	began := time.Now()
	for at := 0; at < site.Proxies; at += 100 {
		deployment.Relay.ConnectProxies(proxyIDs(at, at+100)...)
		time.Sleep(max(0, time.Duration(at)*time.Second/time.Duration(site.Proxies)-time.Since(began)))
	}
	took := time.Since(began)
	eventually(t, "all joins taken", func() bool { return manager.metrics.counts[proxyConnects].Load() >= int64(site.Proxies) })
	eventually(t, "half of all bound", func() bool { return deployment.Relay.Counts().AssignedProxies >= site.Proxies/2 })
	if took > 2*time.Second {
		t.Logf("the joins took %v on this machine", took)
	}
	for _, rule := range deployment.Relay.Rules.Results() {
		if rule.Name == "queue and messages short" && !rule.OK() {
			t.Errorf("%+v", rule)
		}
	}
}

func TestEndDuringMoves(t *testing.T) {
	deployment, manager := deployWithMovingShards(t, fakes.DefaultSite(6, 20))
	startReporters(t, deployment, 4)
	time.Sleep(100 * time.Millisecond)
	manager.cancel()
	select {
	case <-manager.done:
	case <-time.After(5 * time.Second):
		t.Error("no end within 5 s")
	}
}
