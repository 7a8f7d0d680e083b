package node

// These tests measure how soon a restarted manager is ready and its proxies are assigned to tables, with 2400 proxies and
// with faults of the relay or discovery.

import (
	"io"
	"net"
	"testing"
	"time"

	"tamarindshore/internal/fakes"
)

// readyWithin is how long each restart may take until the manager is ready. The requirement is that nine in ten restarts
// meet it.
const readyWithin = 10 * time.Second

// assignedWithin is how long all proxies may take to be assigned after a restart.
const assignedWithin = 30 * time.Second

// restarts are the cases of TestReadyAfterARestart.
var restarts = []struct {
	name     string
	assigned bool                                     // all proxies must be assigned after the restart
	fail     func(t *testing.T, v *managerDeployment) // injects a fault before the restart
}{
	{"no fault", true, func(*testing.T, *managerDeployment) {}},
	{"discovery is silent", true, func(_ *testing.T, v *managerDeployment) { v.Discovery.SetUnresponsive(true) }},
	{"discovery is out of reach", true, func(_ *testing.T, v *managerDeployment) { v.Discovery.Close() }},
	{"the relay is busy", true, func(_ *testing.T, v *managerDeployment) {
		v.Relay.Configure(func(r *fakes.Relay) {
			r.InjectFault = func(call int) fakes.Fault { return ifElse(call%3 != 0, fakes.AnswerBusy, fakes.NoFault) }
		})
	}},
	{"the relay is silent", false, func(t *testing.T, v *managerDeployment) {
		v.Relay.Address = startServer(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	}},
	{"the relay is out of reach", false, func(_ *testing.T, v *managerDeployment) { v.Relay.Address = "127.0.0.1:1" }},
}

func TestReadyAfterARestart(t *testing.T) {
	const proxies = 2400
	site := fakes.DefaultSite(200, proxies)
	site.CommandsPerSecond = 60_000
	site.QueueCapacity = 60_000
	for _, restart := range restarts {
		t.Run(restart.name, func(t *testing.T) {
			v := startDeployment(t, site)
			v.Relay.ConnectProxies(proxyIDs(0, proxies)...)
			eventually(t, "all connected", func() bool { return v.manager.metrics.counts[proxyConnects].Load() == proxies })
			v.manager.Stop(false)
			allAssigned := notifyOnceAssigned(v.Relay, proxies)
			restart.fail(t, v)
			began := time.Now()
			if err := v.Deployment.StartManager(); err != nil {
				t.Fatal(err)
			}
			ready := time.Since(began)
			t.Logf("ready after %v", ready.Round(10*time.Millisecond))
			if ready > readyWithin {
				t.Errorf("ready after %v, want at most %v", ready, readyWithin)
			}
			if !restart.assigned {
				return
			}
			select {
			case <-allAssigned:
				t.Logf("all proxies assigned after %v", time.Since(began).Round(10*time.Millisecond))
			case <-time.After(assignedWithin):
				t.Errorf("not all proxies are assigned after %v", assignedWithin)
			}
		})
	}
}

// notifyOnceAssigned returns a channel that is closed when the given number of proxies have been assigned to tables.
func notifyOnceAssigned(relay *fakes.Relay, proxies int) <-chan struct{} {
	assigned := map[string]bool{} // accessed with the relay's lock held
	done := make(chan struct{})
	relay.Configure(func(r *fakes.Relay) {
		r.OnCommand = func(_ time.Time, kind, proxy string) {
			if kind != commandAssign || assigned[proxy] {
				return
			}
			assigned[proxy] = true
			if len(assigned) == proxies {
				close(done)
			}
		}
	})
	return done
}
