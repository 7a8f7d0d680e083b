package node

import (
	"testing"
	"time"

	"tamarindshore/internal/fakes"
)

// startSubsetDeployment starts a manager with a subset, and fakes of discovery, the relay, proxies and servers.
func startSubsetDeployment(t *testing.T, site fakes.Site) *fakes.Deployment {
	t.Helper()
	options := fakes.ManagerOptions{Cores: 1, MemoryMB: 512, MaxDescriptors: 4096, Seed: 1, OperatorSettings: "(subset (spill 10))"}
	deployment, err := fakes.StartDeployment(site, options, func(configFile, settings string) (fakes.Manager, error) {
		readConfig, err := newConfigReadFunc(configFile, settings)
		if err != nil {
			return nil, err
		}
		return startFromConfig(readConfig)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(deployment.Close)
	return deployment
}

// A manager with a subset runs against fakes over real sockets. All servers of its proxy's zone must get requests, a
// draining server must be withdrawn, and a restarted manager must use as few servers of other zones as before. The relay
// must see no rule violated.
func TestAManagerWithASubsetOnSockets(t *testing.T) {
	site := fakes.DefaultSite(60, 2)
	site.Zones = []string{"a", "b", "c", "d", "e", "f"}
	site.Proxies = 1 // in zone a
	deployment := startSubsetDeployment(t, site)
	deployment.Relay.ConnectProxies(0)
	countUsed := func() (home, others int) {
		for _, s := range deployment.Servers {
			if deployment.Relay.RequestRate(s.ID) > 0 {
				if s.Zone == "a" {
					home++
				} else {
					others++
				}
			}
		}
		return home, others
	}
	eventually(t, "all servers of the home zone get requests", func() bool { home, _ := countUsed(); return home == 10 })
	if _, others := countUsed(); others > 13 {
		t.Errorf("%d servers of other zones get requests, want at most 13", others)
	}
	drained := deployment.Servers[0] // in zone a
	deployment.Discovery.Publish(drained.Entry("draining"))
	eventually(t, "draining server withdrawn", func() bool {
		return deployment.Relay.Withdrawn(drained.ID) && deployment.Relay.RequestRate(drained.ID) == 0
	})
	if err := deployment.Manager.Stop(false); err != nil {
		t.Fatal(err)
	}
	if err := deployment.StartManager(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	home, others := countUsed()
	if home != 9 || others > 13 || deployment.Relay.RequestRate(drained.ID) > 0 {
		t.Errorf("after a restart: %d servers in the home zone, want 9; %d in other zones, want at most 13; %.1f requests/s to the draining one",
			home, others, deployment.Relay.RequestRate(drained.ID))
	}
	for _, rule := range deployment.Relay.Rules.Results() {
		if !rule.OK() {
			t.Errorf("rule violated: %+v", rule)
		}
	}
}
