package node

import (
	"testing"
	"time"

	"tamarindshore/internal/fakes"
)

// startSubsetDeployment starts a manager with a subset before fakes of discovery, relay, proxies and servers.
func startSubsetDeployment(t *testing.T, site fakes.Site) *fakes.Deployment {
	t.Helper()
	how := fakes.ManagerOptions{Cores: 1, MemoryMB: 512, MaxDescriptors: 4096, Seed: 1, OperatorSettings: "(subset (spill 10))"}
	rig, err := fakes.StartDeployment(site, how, func(start, settings string) (fakes.Manager, error) {
		read, err := startReader(start, settings)
		if err != nil {
			return nil, err
		}
		return startFromConfig(read)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	return rig
}

// A manager with a subset, on sockets: its proxies' zone gets flows, a drain is withdrawn, a restart finds the same
// servers, and no rule is broken.
func TestAManagerWithASubsetOnSockets(t *testing.T) {
	site := fakes.DefaultSite(60, 2)
	site.Zones = []string{"a", "b", "c", "d", "e", "f"}
	site.Proxies = 1 // of zone a
	rig := startSubsetDeployment(t, site)
	rig.Relay.ConnectProxies(0)
	used := func() (home, others int) {
		for _, s := range rig.Servers {
			if rig.Relay.RequestRate(s.ID) > 0 {
				if s.Zone == "a" {
					home++
				} else {
					others++
				}
			}
		}
		return home, others
	}
	eventually(t, "all of the home zone get flows", func() bool { home, _ := used(); return home == 10 })
	if _, others := used(); others > 13 {
		t.Errorf("%d servers of other zones get flows", others)
	}
	drained := rig.Servers[0] // of zone a
	rig.Discovery.Publish(drained.Entry("draining"))
	eventually(t, "withdrawn", func() bool { return rig.Relay.Withdrawn(drained.ID) && rig.Relay.RequestRate(drained.ID) == 0 })
	if err := rig.Manager.Stop(false); err != nil {
		t.Fatal(err)
	}
	if err := rig.StartManager(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	home, others := used()
	if home != 9 || others > 13 || rig.Relay.RequestRate(drained.ID) > 0 {
		t.Errorf("after a restart %d servers of the home zone and %d others get flows, %.1f the one that drains", home, others, rig.Relay.RequestRate(drained.ID))
	}
	for _, rule := range rig.Relay.Rules.Results() {
		if !rule.OK() {
			t.Errorf("%+v", rule)
		}
	}
}
