package node

// How soon a restarted manager is ready, and its proxies have tables, at full size and with relay or discovery in trouble.

import (
	"io"
	"net"
	"testing"
	"time"

	"tamarindshore/internal/fakes"
)

const readyWithin = 10 * time.Second // the users' term, for nine in ten restarts; here for each

func TestReadyAfterARestart(t *testing.T) {
	const proxies = 2400
	site := fakes.DefaultSite(200, proxies)
	site.ChannelLinesPerSecond, site.ChannelQueueLines = 60_000, 60_000
	all := make([]int, proxies)
	for i := range all {
		all[i] = i
	}
	for _, one := range []struct {
		name     string
		assigned bool // all proxies are to be assigned
		trouble  func(v *managerDeployment)
	}{
		{"sound", true, func(*managerDeployment) {}},
		{"discovery is silent", true, func(v *managerDeployment) { v.Discovery.SetUnresponsive(true) }},
		{"discovery is out of reach", true, func(v *managerDeployment) { v.Discovery.Close() }},
		{"the relay is busy", true, func(v *managerDeployment) {
			v.Relay.Configure(func(r *fakes.Relay) {
				r.InjectFault = func(call int) fakes.Fault { return ifElse(call%3 != 0, fakes.AnswerBusy, fakes.NoFault) }
			})
		}},
		{"the relay is silent", false, func(v *managerDeployment) {
			v.Relay.Address = startServer(t, func(c net.Conn) { io.Copy(io.Discard, c) })
		}},
		{"the relay is out of reach", false, func(v *managerDeployment) { v.Relay.Address = "127.0.0.1:1" }},
	} {
		t.Run(one.name, func(t *testing.T) {
			v := startDeployment(t, site)
			v.Relay.ConnectProxies(all...)
			eventually(t, "all joined", func() bool { return v.manager.metrics.counts[proxyConnects].Load() == proxies })
			v.manager.Stop(false)
			assigned := map[string]bool{}
			done := make(chan struct{})
			v.Relay.Configure(func(r *fakes.Relay) {
				r.OnCommand = func(_ time.Time, kind, about string) {
					if kind == "bind" && !assigned[about] {
						assigned[about] = true
						if len(assigned) == proxies {
							close(done)
						}
					}
				}
			})
			one.trouble(v)
			began := time.Now()
			if err := v.Deployment.StartManager(); err != nil {
				t.Fatal(err)
			}
			ready := time.Since(began)
			if ready > readyWithin {
				t.Errorf("ready after %v", ready)
			}
			if !one.assigned {
				t.Logf("ready after %v", ready.Round(10*time.Millisecond))
				return
			}
			select {
			case <-done:
				t.Logf("ready after %v, all proxies assigned after %v", ready.Round(10*time.Millisecond), time.Since(began).Round(10*time.Millisecond))
			case <-time.After(30 * time.Second):
				t.Error("not all proxies are assigned after 30 s")
			}
		})
	}
}
