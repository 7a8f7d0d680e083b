package loadtest

import (
	"context"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tamarindshore/internal/config"
	"tamarindshore/internal/fakes"
	"tamarindshore/internal/node"
)

// inProcessManager is a manager that runs in the test process, so that the race detector covers it.
type inProcessManager struct {
	reload chan os.Signal
	cancel context.CancelFunc
	done   chan struct{}
	err    error // result of Node.Run; valid once done is closed
}

func (m *inProcessManager) Done() <-chan struct{} { return m.done }

func (m *inProcessManager) Signal(s os.Signal) error {
	m.reload <- s
	return nil
}

func (m *inProcessManager) Stop(bool) error {
	m.cancel()
	<-m.done
	return m.err
}

// startInProcess returns a StartFunc for managers in this process that write their logs to a writer.
func startInProcess(log io.Writer) fakes.StartFunc {
	return func(configFile, settingsFile string) (fakes.Manager, error) {
		operator, err := config.ReadOperatorSettings(settingsFile)
		if err != nil {
			return nil, err
		}
		read := func() (config.Config, error) {
			c, err := config.Read(func(key string) string { return map[string]string{"PROXY_CONFIG": configFile}[key] })
			if err != nil {
				return c, err
			}
			return c.WithOperator(operator)
		}
		c, err := read()
		if err != nil {
			return nil, err
		}
		n, err := node.New(c, log)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		m := &inProcessManager{reload: make(chan os.Signal, 8), cancel: cancel, done: make(chan struct{})}
		go func() {
			defer close(m.done)
			m.err = n.Run(ctx, node.Signals{Reload: m.reload}, read)
		}()
		return m, nil
	}
}

// smallPlan returns a plan for one manager that holds 5000 messages per second for two seconds.
func smallPlan(cores int) Plan {
	p := DefaultPlan()
	p.Cores = []int{cores}
	p.Servers = 12
	p.Proxies = 60
	p.CollectorsPerZone = 2
	p.Rate = 5000
	p.HoldDuration = 2 * time.Second
	return p
}

// checkResult fails the test if a rule was violated, a message was not accepted, a connection broke, or too few drains
// and assignments were measured.
func checkResult(t *testing.T, r Result) {
	t.Helper()
	for _, rule := range r.Rules {
		if !rule.OK() {
			t.Errorf("rule violated: %+v", rule)
		}
	}
	if r.Accepted != r.Sent || r.BrokenConnections != 0 {
		t.Errorf("%d of %d messages accepted, %d connections broken; want all accepted, none broken", r.Accepted, r.Sent, r.BrokenConnections)
	}
	if r.WithdrawLatency.Count == 0 || r.AssignLatency.Count < 20 || r.Relay.AssignedProxies < r.Relay.ConnectedProxies-2 {
		t.Errorf("%d withdrawals and %d assignments measured, relay counts %+v; want at least 1, 20, and all but 2 proxies assigned",
			r.WithdrawLatency.Count, r.AssignLatency.Count, r.Relay)
	}
}

func TestAllMessagesAcceptedWithoutRuleViolations(t *testing.T) {
	for _, cores := range []int{1, 4} {
		results, err := Run(smallPlan(cores), startInProcess(io.Discard), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		checkResult(t, results[0])
	}
}

// A manager of several cores repeats commands whose answers were lost or unreadable, while servers drain, proxies
// reconnect and connections move between shards. A command must not take effect twice.
func TestRepeatedCommandsAfterLostAnswersHaveNoEffect(t *testing.T) {
	p := smallPlan(4)
	p.FaultFraction = 0.3
	results, err := Run(p, startInProcess(io.Discard), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r := results[0]
	checkResult(t, r)
	if repeats := r.Rules[1]; repeats.Checks == 0 || len(r.Relay.Faults) < 3 {
		t.Errorf("no command was repeated after a fault, or fewer than 3 kinds of faults occurred: %+v, faults %v", repeats, r.Relay.Faults)
	}
}

// startDeployment starts a deployment with a manager of three cores and waits until all proxies are assigned.
func startDeployment(t *testing.T, site fakes.Site, log io.Writer) *fakes.Deployment {
	t.Helper()
	d, err := fakes.StartDeployment(site, fakes.ManagerOptions{Cores: 3, MemoryMB: 512, MaxDescriptors: 1024, Seed: 1}, startInProcess(log))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	connectAll(d.Relay, site.Proxies)
	if err := awaitAssigned(d.Relay, site.Proxies, 30*time.Second); err != nil {
		t.Fatal(err)
	}
	return d
}

// startLoad sends a number of messages per second to the manager of a deployment until the test ends.
func startLoad(t *testing.T, d *fakes.Deployment, collectorsPerZone int, rate int64) *loadGenerator {
	t.Helper()
	g := newLoadGenerator(d.ManagerAddress, d.Site, collectorsPerZone)
	t.Cleanup(g.stop)
	g.rate.Store(rate)
	return g
}

// The relay calls the observer with the relay's lock held. If the observer called the relay with its own lock held, the
// two could deadlock.
func TestObserverDoesNotCallTheRelayUnderItsLock(t *testing.T) {
	relay, err := fakes.NewRelay("127.0.0.1:0", fakes.DefaultSite(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	o := newObserver(relay)
	called := false
	o.isWithdrawn = func(string) bool {
		called = true
		if !o.mu.TryLock() {
			t.Error("isWithdrawn was called with the observer's lock held")
			return false
		}
		o.mu.Unlock()
		return false
	}
	o.expectWithdrawal("s-1")
	if _, recorded := o.drainedAt["s-1"]; !called || !recorded {
		t.Errorf("isWithdrawn called: %v, drain recorded: %v; want both", called, recorded)
	}
}

// await waits until a condition holds, and marks the test as failed after a timeout.
func await(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("%s: condition did not hold within %v", description, timeout)
}

// awaitAccepted waits until the manager has accepted a number of messages.
func awaitAccepted(t *testing.T, d *fakes.Deployment, messages int64) {
	t.Helper()
	await(t, 10*time.Second, "messages accepted", func() bool {
		counters, err := d.Counters()
		return err == nil && acceptedMessages(counters) >= messages
	})
}

// checkRules fails the test for each rule that was violated.
func checkRules(t *testing.T, d *fakes.Deployment) {
	t.Helper()
	d.Relay.CheckState()
	for _, rule := range d.Relay.Rules.Results() {
		if !rule.OK() {
			t.Errorf("rule violated: %+v", rule)
		}
	}
}

// totalRequestRate returns the requests per second that proxies send to a set of servers.
func totalRequestRate(relay *fakes.Relay, servers []*fakes.Server) float64 {
	total := 0.0
	for _, s := range servers {
		total += relay.RequestRate(s.ID)
	}
	return total
}

// If all servers are removed at once and replaced by new ones, proxies must not be left without a usable server.
func TestReplaceAllServers(t *testing.T) {
	const oldServers, rate = 12, 3000
	site := fakes.DefaultSite(oldServers, 40)
	d := startDeployment(t, site, io.Discard)
	startLoad(t, d, 2, rate)
	awaitAccepted(t, d, rate) // the messages of one second
	doubledSite := site
	doubledSite.Servers = 2 * oldServers
	newServers, err := fakes.NewServers(doubledSite)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range newServers {
		t.Cleanup(s.Close)
	}
	newServers = newServers[oldServers:]
	var endpoints []fakes.Endpoint
	for _, s := range newServers {
		endpoints = append(endpoints, s.Entry("up"))
	}
	d.Relay.RegisterServers(endpoints...)
	for _, s := range d.Servers {
		endpoints = append(endpoints, s.Entry("removed"))
	}
	d.Discovery.Publish(endpoints...)
	offered := site.RequestRate * float64(site.Proxies)
	await(t, 5*time.Second, "old servers get no requests, new servers get over 90% of them", func() bool {
		return totalRequestRate(d.Relay, d.Servers) == 0 && totalRequestRate(d.Relay, newServers) > 0.9*offered
	})
	checkRules(t, d)
}

// All proxies disconnect and reconnect at once, five times in a row. All must be assigned again, without rule violations.
func TestAllProxiesReconnectAtOnce(t *testing.T) {
	site := fakes.DefaultSite(12, 300)
	d := startDeployment(t, site, io.Discard)
	ids := make([]int, site.Proxies)
	for i := range ids {
		ids[i] = i
	}
	for range 5 {
		d.Relay.DisconnectProxies(ids...)
		d.Relay.ConnectProxies(ids...)
	}
	if err := awaitAssigned(d.Relay, site.Proxies, 20*time.Second); err != nil {
		t.Error(err)
	}
	checkRules(t, d)
}

// Servers restart under load while connections move between shards. No rule may be violated, and the restarted servers
// must get requests again, within their capacity.
func TestServerRestartsWhileConnectionsMove(t *testing.T) {
	const restartDuration = 100 * time.Millisecond
	site := fakes.DefaultSite(12, 60)
	d := startDeployment(t, site, io.Discard)
	startLoad(t, d, 3, 20_000)
	checks := startRuleChecks(d)
	restarted := d.Servers[:3]
	for _, s := range restarted {
		d.Discovery.Publish(s.Entry("draining"))
		await(t, 2*time.Second, "withdrawn", func() bool { return d.Relay.RequestRate(s.ID) == 0 })
		s.SetBehaviour(fakes.Down)
		d.Discovery.Publish(s.Entry("removed"))
		time.Sleep(restartDuration)
		if err := s.SetBehaviour(fakes.Healthy); err != nil {
			t.Fatal(err)
		}
		d.Discovery.Publish(s.Entry("up"))
	}
	await(t, 8*time.Second, "restarted servers get requests, within their capacity", func() bool {
		for _, s := range restarted {
			if rate := d.Relay.RequestRate(s.ID); rate <= 0 || rate > site.ServerCapacity {
				return false
			}
		}
		return true
	})
	checks.stop()
	checkRules(t, d)
}

// Each of several reloads in quick succession must be carried out under load, and the manager must then stop without an
// error.
func TestReloadAndShutdownUnderLoad(t *testing.T) {
	site := fakes.DefaultSite(12, 60)
	var log reloadCounter
	d := startDeployment(t, site, &log)
	g := startLoad(t, d, 3, 20_000)
	const reloads = 5
	pace := time.NewTicker(100 * time.Millisecond) // the load includes signals during a reload, so do not wait for one to finish
	defer pace.Stop()
	for range reloads {
		if err := d.Manager.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		<-pace.C
	}
	if err := d.Manager.Stop(false); err != nil {
		t.Error(err)
	}
	g.stop()
	checkRules(t, d)
	if n := log.reloads.Load(); n != reloads {
		t.Errorf("%d reloads in the log, want %d", n, reloads)
	}
}

// reloadCounter is a log writer that counts the reload events.
type reloadCounter struct{ reloads atomic.Int64 }

func (c *reloadCounter) Write(text []byte) (int, error) {
	c.reloads.Add(int64(strings.Count(string(text), "event=reload ")))
	return len(text), nil
}

// Regression test: with four servers, the index of the returning server was negative during the first calls.
func TestDrainNextWithFewServers(t *testing.T) {
	for _, servers := range []int{1, 4} {
		d := startDeployment(t, fakes.DefaultSite(servers, 4), io.Discard)
		c, _ := newChurn(d, newObserver(d.Relay))
		for n := range 3 * drainsInProgress {
			c.drainNext(n)
		}
	}
}
