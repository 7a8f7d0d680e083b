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

// inProcessManager is a manager in this process whose lanes a test can move.
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

// startFromConfig starts a manager with the configuration that read gives, and reads it anew for a reload.
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

// deployWithMovingShards is a rig whose manager's connections move between four cores all the time, until the test ends.
func deployWithMovingShards(t *testing.T, site fakes.Site) (*fakes.Deployment, *inProcessManager) {
	t.Helper()
	var d *inProcessManager
	r, err := fakes.StartDeployment(site, fakes.ManagerOptions{Cores: 4, MemoryMB: 512, MaxDescriptors: 1024, Seed: 1}, func(start, settings string) (fakes.Manager, error) {
		read := func() (config.Config, error) {
			s, err := config.Read(func(key string) string { return map[string]string{"PROXY_CONFIG": start}[key] })
			o := config.DefaultOperatorSettings()
			o.Shards = 4
			if err == nil {
				s, err = s.WithOperator(o)
				s.Limits.Sharding = quickSettings(4)
			}
			return s, err
		}
		var err error
		d, err = startFromConfig(read)
		return d, err
	})
	if err != nil {
		t.Fatal(err)
	}
	over, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-over:
				return
			case <-time.After(2 * time.Millisecond):
				d.decoderPool.rebalanceFrom(sharding.ShardID(i / 4 % 4))
			}
		}
	}()
	t.Cleanup(func() {
		close(over)
		<-done
		r.Close()
	})
	return r, d
}

// startReporters report for all proxies and servers until the test ends, some of them malformed.
func startReporters(t *testing.T, r *fakes.Deployment, n int) {
	for i := range n {
		c, err := net.Dial("tcp", r.ManagerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		zone := r.Site.Zone(i)
		fmt.Fprintf(c, "collector site=%s\r\n", zone)
		go func() {
			for round := 0; ; round++ {
				for s := range r.Site.Servers {
					if _, err := fmt.Fprintf(c, "heard site=%s target=%s count=20 fail=0 mean=100 over=1000\r\n", zone, fakes.ServerID(s)); err != nil {
						return
					}
				}
				for p := range r.Site.Proxies {
					fmt.Fprintf(c, "usage id=%d lane=quote count=4 fail=0 over=1000\r\n", p)
				}
				if i == 0 {
					fmt.Fprint(c, "usage id=1 lane=quote count=-9\r\nheard site=nowhere target=x count=1 fail=0 mean=1 over=1\r\n")
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	eventuallyWithin(t, 8*time.Second, what, is)
}

func eventuallyWithin(t *testing.T, most time.Duration, what string, is func() bool) {
	t.Helper()
	for late := time.Now().Add(most); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		if is() {
			return
		}
	}
	t.Errorf("%s: not within %v", what, most)
}

func assertNoViolations(t *testing.T, r *fakes.Deployment) {
	t.Helper()
	r.Relay.CheckState()
	r.Relay.Rules.CheckDrains(time.Now(), func(s string) bool { return r.Relay.RequestRate(s) > 0 })
	for _, rule := range r.Relay.Rules.Results() {
		if !rule.OK() {
			t.Errorf("%+v", rule)
		}
	}
}

const (
	// leastRounds is how many servers are replaced at least while connections move.
	leastRounds = 6
	// leastMoves is how many connections have to move while servers are replaced; more are replaced until then.
	leastMoves = 50
	// roundsWithin is how long servers may go on being replaced.
	roundsWithin = 60 * time.Second
)

// Drains, restarts, lost answers, a reload and news that break, all while connections move.
func TestMovesLoseNoDrainAndRepeatNoEffect(t *testing.T) {
	site := fakes.DefaultSite(12, 60)
	r, d := deployWithMovingShards(t, site)
	all := make([]int, site.Proxies)
	for i := range all {
		all[i] = i
	}
	r.Relay.ConnectProxies(all...)
	eventually(t, "all bound", func() bool { return r.Relay.Counts().AssignedProxies == site.Proxies })
	startReporters(t, r, 6)
	r.Relay.Configure(injectFaultsInTurn)
	moves := func() int64 { return d.metrics.counts[shardMoves].Load() }
	began := time.Now()
	for round := 0; round < leastRounds || moves() < leastMoves && time.Since(began) < roundsWithin; round++ {
		replaceServer(t, r, d, round)
	}
	eventually(t, "all bound again", func() bool { return r.Relay.Counts().AssignedProxies == site.Proxies })
	assertNoViolations(t, r)
	if n := moves(); n < leastMoves {
		t.Errorf("%d moves only within %v", n, time.Since(began))
	}
	if n := d.metrics.counts[callsUnknown].Load(); n == 0 {
		t.Error("no answer was lost")
	}
	if n := d.metrics.counts[malformedMessages].Load() + d.metrics.counts[unknownNames].Load(); n == 0 {
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
func replaceServer(t *testing.T, r *fakes.Deployment, d *inProcessManager, round int) {
	t.Helper()
	number := round % leastRounds
	server := r.Servers[number]
	r.Discovery.Publish(server.Entry("draining"))
	switch round % 3 {
	case 1:
		d.reload <- syscall.SIGHUP
	case 2:
		r.Relay.SetUnavailable(true)
		time.Sleep(30 * time.Millisecond)
		r.Relay.SetUnavailable(false)
	}
	eventually(t, "withdrawn", func() bool { return r.Relay.RequestRate(server.ID) == 0 })
	if err := server.SetBehaviour(fakes.Down); err != nil {
		t.Fatal(err)
	}
	r.Discovery.Publish(server.Entry("removed"))
	r.Relay.DisconnectProxies(number, number+10)
	r.Relay.ConnectProxies(number, number+10)
	if err := server.SetBehaviour(fakes.Healthy); err != nil {
		t.Fatal(err)
	}
	r.Discovery.Publish(server.Entry("up"))
}

// Guards against a burst that overruns the channel: 10,000 proxies join within a second while connections move.
func TestTenThousandJoinsInASecond(t *testing.T) {
	site := fakes.DefaultSite(40, 10_000)
	r, d := deployWithMovingShards(t, site)
	began := time.Now()
	for at := 0; at < site.Proxies; at += 100 {
		ids := make([]int, 100)
		for i := range ids {
			ids[i] = at + i
		}
		r.Relay.ConnectProxies(ids...)
		time.Sleep(max(0, time.Duration(at)*time.Second/time.Duration(site.Proxies)-time.Since(began)))
	}
	took := time.Since(began)
	eventually(t, "all joins taken", func() bool { return d.metrics.counts[proxyConnects].Load() >= int64(site.Proxies) })
	eventually(t, "half of all bound", func() bool { return r.Relay.Counts().AssignedProxies >= site.Proxies/2 })
	if took > 2*time.Second {
		t.Logf("the joins took %v on this machine", took)
	}
	for _, rule := range r.Relay.Rules.Results() {
		if rule.Name == "queue and messages short" && !rule.OK() {
			t.Errorf("%+v", rule)
		}
	}
}

func TestEndDuringMoves(t *testing.T) {
	r, d := deployWithMovingShards(t, fakes.DefaultSite(6, 20))
	startReporters(t, r, 4)
	time.Sleep(100 * time.Millisecond)
	d.cancel()
	select {
	case <-d.done:
	case <-time.After(5 * time.Second):
		t.Error("no end within 5 s")
	}
}
