package scale

import (
	"context"
	"runtime"
	"time"

	"tamarindshore/internal/node"
)

// subsetSpill is the number of servers of other zones in the manager's subset.
const subsetSpill = 100

// subsetScenario returns a scenario with a number of servers in the zones of the capacity plan. The manager's proxies are in
// one zone, so it needs only the servers of that zone and some of the others.
func subsetScenario(seed uint64, servers int) Scenario {
	scenario := Reference()
	scenario.Seed = seed
	scenario.Servers = servers
	scenario.Zones = planZones
	scenario.HomeProxies = true
	return scenario
}

// measureSubsetRead measures the processor time that a manager takes to read a complete list and select its subset:
// the list is decoded, the first proxy connects, and the router receives the servers that this proxy needs.
func measureSubsetRead(ctx context.Context, scenario Scenario, runs int) ([]sample, error) {
	var samples []sample
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for range runs {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		cpu, err := subsetRead(scenario)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample{CPUPerSubsetRead: cpu.Seconds()})
	}
	return samples, nil
}

// subsetRead returns the processor time of one read by a new manager.
func subsetRead(scenario Scenario) (time.Duration, error) {
	site := scenario.site()
	config, err := scenario.managerConfig(site)
	if err != nil {
		return 0, err
	}
	config.Spill = subsetSpill
	manager, err := node.NewHollowManager(config, scriptEpoch)
	if err != nil {
		return 0, err
	}
	defer manager.Close()
	source := newMessageSource(scenario, site)
	list := node.Message{Kind: node.EndpointListMessage, Text: scenario.completeList(site, firstVersion)}
	runtime.GC()
	began := processCPU()
	if _, err := manager.Step(time.Millisecond, list); err != nil {
		return 0, err
	}
	if _, err := manager.Step(2*time.Millisecond, node.Message{Kind: node.ProxyEventsOpened}, source.proxyConnected(0)); err != nil {
		return 0, err
	}
	return processCPU() - began, nil
}
