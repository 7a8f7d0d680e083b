package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tamarindshore/internal/config"
	"tamarindshore/internal/fakes"
)

// Scenario describes a fleet and its activity as one manager sees them.
type Scenario struct {
	Servers        int
	Proxies        int // proxies that this manager serves
	Zones          int
	TrafficClasses int
	ListChanges    float64 // list changes per second, each of one server
	Reports        float64 // reports per second: half are load reports on servers, half usage reports on proxies
	RestartsAtOnce int     // servers in one change of the endpoint list
	Seed           uint64  // seed of all random numbers
	HomeServers    int     // servers in the first zone, while the others are spread over the other zones; 0: all servers are spread evenly
	HomeProxies    bool    // all proxies are in the first zone; false: they are spread evenly
}

// Reference returns the scenario that is measured while the size along one axis varies and all other sizes stay.
func Reference() Scenario {
	return Scenario{
		Servers:        600,
		Proxies:        1000,
		Zones:          8,
		TrafficClasses: 3,
		ListChanges:    1,
		Reports:        200,
		RestartsAtOnce: 1,
		Seed:           1,
	}
}

const (
	requestsPerReport = 3    // few enough that no server counts as unresponsive between two reports on it
	memoryMB          = 4096 // memory limit in the configuration: far above a manager's needs, so that it has no effect
	maxDescriptors    = 4096 // limit on descriptors in the configuration
	firstVersion      = 41   // first version of the endpoint list
)

// With returns the scenario with another size along one axis.
func (s Scenario) With(axis Axis, size float64) Scenario {
	switch axis {
	case Servers, OpeningListSize:
		s.Servers = int(size)
	case Proxies:
		s.Proxies = int(size)
	case Zones:
		s.Zones = int(size)
	case TrafficClasses:
		s.TrafficClasses = int(size)
	case ListChanges:
		s.ListChanges = size
	case Reports:
		s.Reports = size
	case RestartsAtOnce:
		s.RestartsAtOnce = int(size)
	}
	return s
}

// requestRate returns the requests per second of all proxies: as many as the reports count.
func (s Scenario) requestRate() float64 { return requestsPerReport * s.Reports / 2 }

// site returns the deployment of the scenario.
func (s Scenario) site() fakes.Site {
	site := fakes.DefaultSite(s.Servers, s.Proxies)
	site.RequestRate = s.requestRate() / float64(s.Proxies)
	site.Zones = nil
	for zone := range s.Zones {
		site.Zones = append(site.Zones, fmt.Sprintf("z-%02d", zone))
	}
	site.TrafficClasses = nil
	for class := range s.TrafficClasses {
		site.TrafficClasses = append(site.TrafficClasses, fakes.TrafficClass{
			Name:             fmt.Sprintf("g-%02d", class),
			LatencyObjective: 2 * time.Second,
			Deadline:         6 * time.Second,
			PriorityWeight:   float64(1 + class),
			Idempotency:      "idempotent",
			TrafficShare:     1 / float64(s.TrafficClasses),
		})
	}
	return site
}

// endpoint returns a server's entry of the endpoint list.
func (s Scenario) endpoint(site fakes.Site, server int, lifecycle string) fakes.Endpoint {
	return fakes.Endpoint{
		ID:        fakes.ServerID(server),
		HostPort:  fmt.Sprintf("10.%d.%d.%d:8080", server>>16, server>>8&255, server&255),
		Zone:      s.zoneOfServer(site, server),
		Lifecycle: lifecycle,
		Weight:    1,
	}
}

// zoneOfServer returns the zone of a server, according to HomeServers.
func (s Scenario) zoneOfServer(site fakes.Site, server int) string {
	switch {
	case s.HomeServers == 0 || len(site.Zones) == 1:
		return site.Zone(server)
	case server < s.HomeServers:
		return site.Zones[0]
	}
	return site.Zones[1+(server-s.HomeServers)%(len(site.Zones)-1)]
}

// zoneOfProxy returns the zone of a proxy, according to HomeProxies.
func (s Scenario) zoneOfProxy(site fakes.Site, proxy int) string {
	if s.HomeProxies {
		return site.Zones[0]
	}
	return site.Zone(proxy)
}

// completeList returns the text of the endpoint list with all servers.
func (s Scenario) completeList(site fakes.Site, version int) string {
	list := fakes.EndpointList{Version: version, Complete: true}
	for server := range s.Servers {
		list.Endpoints = append(list.Endpoints, s.endpoint(site, server, "up"))
	}
	return encodeList(list)
}

// encodeList returns the JSON text of an endpoint list.
func encodeList(list fakes.EndpointList) string {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // each value of this type can be encoded
	}
	return string(text)
}

// managerConfig returns the configuration of the scenario's manager. It has no servers: these come with the endpoint list.
func (s Scenario) managerConfig(site fakes.Site) (config.Config, error) {
	dir, err := os.MkdirTemp("", "tamarindshore-scale-")
	if err != nil {
		return config.Config{}, err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "start.json")
	noEndpoints := fakes.EndpointList{Complete: true, Endpoints: []fakes.Endpoint{}}
	text := site.ConfigFile(fakes.ManagerConfig{
		Name:             "n1",
		ListenAddress:    "127.0.0.1:1",
		DiscoveryAddress: "127.0.0.1:2",
		RelayAddress:     "127.0.0.1:3",
		Endpoints:        noEndpoints,
		Options:          fakes.ManagerOptions{Cores: 1, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors, Seed: s.Seed},
	})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return config.Config{}, err
	}
	return config.Read(func(name string) string {
		if name == "PROXY_CONFIG" {
			return path
		}
		return ""
	})
}
