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

// inProcessManager is a manager that runs in the test's process, so that a test can move its connections between shards.
type inProcessManager struct {
	*Node
	reload chan os.Signal
	cancel context.CancelFunc
	done   chan struct{}
	err    error // result of Run; may be read once done is closed
}

// startInProcess runs a manager in the test's process. With each reload it calls reread for the configuration.
func startInProcess(n *Node, reread func() (config.Config, error)) *inProcessManager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &inProcessManager{Node: n, reload: make(chan os.Signal, 8), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		m.err = m.Run(ctx, Signals{Reload: m.reload}, reread)
	}()
	return m
}

// startFromConfig starts a manager with the configuration that readConfig returns, and calls it again for a reload.
func startFromConfig(readConfig func() (config.Config, error)) (*inProcessManager, error) {
	cfg, err := readConfig()
	if err != nil {
		return nil, err
	}
	n, err := New(cfg, io.Discard)
	if err != nil {
		return nil, err
	}
	return startInProcess(n, readConfig), nil
}

func (m *inProcessManager) Done() <-chan struct{}    { return m.done }
func (m *inProcessManager) Err() error               { return m.err }
func (m *inProcessManager) Signal(s os.Signal) error { m.reload <- s; return nil }
func (m *inProcessManager) Stop(bool) error {
	m.cancel()
	<-m.done
	return nil
}

// movingShards is the number of shards between which connections move.
const movingShards = 4

// deployWithMovingShards starts a deployment whose manager keeps moving its connections between four shards until the
// test ends.
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

// readShardedConfig reads a configuration file for a manager with a number of decoder shards that are rebalanced quickly.
func readShardedConfig(file string, shards int) (config.Config, error) {
	cfg, err := config.Read(func(key string) string { return map[string]string{"PROXY_CONFIG": file}[key] })
	if err != nil {
		return cfg, err
	}
	operator := config.DefaultOperatorSettings()
	operator.Shards = shards
	cfg, err = cfg.WithOperator(operator)
	cfg.Limits.Sharding = quickSettings(shards)
	return cfg, err
}

// moveConnections keeps asking a manager to move a connection away from a shard, each shard in turn, until the returned
// function is called.
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

// startReporters connects collectors that report on all proxies and servers until the test ends. The first one also sends
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

// report sends a collector's zone, then rounds of reports until the connection is closed.
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

// reportRound returns a report line for each server and proxy of a site, plus malformed ones if asked for.
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

// eventually waits until a condition holds, and fails the test if it does not hold within 8 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	eventuallyWithin(t, 8*time.Second, description, condition)
}

func eventuallyWithin(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("condition %q does not hold within %v", description, timeout)
}

func assertNoViolations(t *testing.T, deployment *fakes.Deployment) {
	t.Helper()
	relay := deployment.Relay
	relay.CheckState()
	relay.Rules.CheckDrains(time.Now(), func(server string) bool { return relay.RequestRate(server) > 0 })
	for _, rule := range relay.Rules.Results() {
		if !rule.OK() {
			t.Errorf("rule violated: %+v", rule)
		}
	}
}

// proxyIDs returns the proxy IDs from `from` up to, but not including, `to`.
func proxyIDs(from, to int) (ids []int) {
	for id := from; id < to; id++ {
		ids = append(ids, id)
	}
	return ids
}

const (
	// minRounds is the minimum number of server replacements while connections move.
	minRounds = 6
	// minMoves is the minimum number of connection moves during the replacements; servers are replaced until it is reached.
	minMoves = 50
)

// maxRoundsDuration limits the time for which servers are replaced. Moves are requested one at a time, and one that is not
// done within the drain timeout is canceled.
var maxRoundsDuration = minMoves * sharding.DefaultSettings(movingShards).DrainTimeout

// Servers drain and restart, relay responses are lost, the configuration is reloaded and event streams break, all while
// connections move between shards. No drain may be lost and no command may take effect twice.
func TestConnectionMovesLoseNoDrainAndRepeatNoCommand(t *testing.T) {
	site := fakes.DefaultSite(12, 60)
	deployment, manager := deployWithMovingShards(t, site)
	deployment.Relay.ConnectProxies(proxyIDs(0, site.Proxies)...)
	eventually(t, "all proxies assigned", func() bool { return deployment.Relay.Counts().AssignedProxies == site.Proxies })
	startReporters(t, deployment, 6)
	deployment.Relay.Configure(injectFaultsInTurn)
	moves := func() int64 { return manager.metrics.counts[shardMoves].Load() }
	start := time.Now()
	for round := 0; round < minRounds || moves() < minMoves && time.Since(start) < maxRoundsDuration; round++ {
		replaceServer(t, deployment, manager, round)
	}
	t.Logf("%d moves within %v", moves(), time.Since(start).Round(time.Millisecond))
	eventually(t, "all proxies assigned again", func() bool { return deployment.Relay.Counts().AssignedProxies == site.Proxies })
	assertNoViolations(t, deployment)
	if n := moves(); n < minMoves {
		t.Errorf("%d moves within %v, want at least %d", n, time.Since(start), minMoves)
	}
	if n := manager.metrics.counts[callsUnknown].Load(); n == 0 {
		t.Error("no call had an unknown outcome, although responses were to be lost")
	}
	if n := manager.metrics.counts[malformedMessages].Load() + manager.metrics.counts[unknownNames].Load(); n == 0 {
		t.Error("no malformed message and no unknown name was counted")
	}
}

// injectFaultsInTurn lets a relay break some connections without executing the call, and lose or garble some responses, in
// a fixed order.
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

// replaceServer drains a server, removes it and lists it again as a new process, while two proxies reconnect. In one of
// three rounds the manager reloads its configuration, and in another the relay breaks all connections.
func replaceServer(t *testing.T, deployment *fakes.Deployment, manager *inProcessManager, round int) {
	t.Helper()
	number := round % minRounds
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
	eventually(t, "draining server gets no requests", func() bool { return deployment.Relay.RequestRate(server.ID) == 0 })
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

// 10,000 proxies connect within a second while connections move between shards. The burst of commands must not overflow
// the relay's channel.
func TestTenThousandProxiesConnectWithinASecond(t *testing.T) {
	site := fakes.DefaultSite(40, 10_000)
	deployment, manager := deployWithMovingShards(t, site)
	start := time.Now()
	for id := 0; id < site.Proxies; id += 100 {
		deployment.Relay.ConnectProxies(proxyIDs(id, id+100)...)
		time.Sleep(max(0, time.Duration(id)*time.Second/time.Duration(site.Proxies)-time.Since(start)))
	}
	took := time.Since(start)
	eventually(t, "all connects handled", func() bool { return manager.metrics.counts[proxyConnects].Load() >= int64(site.Proxies) })
	eventually(t, "half of all proxies assigned", func() bool { return deployment.Relay.Counts().AssignedProxies >= site.Proxies/2 })
	if took > 2*time.Second {
		t.Logf("connecting all proxies took %v, which is more than 2 s", took)
	}
	for _, rule := range deployment.Relay.Rules.Results() {
		if rule.Name == "queue and messages short" && !rule.OK() {
			t.Errorf("rule violated: %+v", rule)
		}
	}
}

func TestShutdownDuringConnectionMoves(t *testing.T) {
	deployment, manager := deployWithMovingShards(t, fakes.DefaultSite(6, 20))
	startReporters(t, deployment, 4)
	time.Sleep(100 * time.Millisecond)
	manager.cancel()
	select {
	case <-manager.done:
	case <-time.After(5 * time.Second):
		t.Error("the manager did not stop within 5 s")
	}
}
