package scale

import (
	"context"
	"runtime"
	"time"

	"tamarindshore/internal/node"
)

// spillOfSubset is how many servers of other zones the manager holds whose reading of a whole list is measured.
const spillOfSubset = 100

// subsetScenario is a fleet of so many servers in the plan's zones, of which a manager needs one zone and some others.
func subsetScenario(seed uint64, servers int) Scenario {
	scenario := Reference()
	scenario.Seed = seed
	scenario.Servers = servers
	scenario.Zones = planZones
	scenario.HomeProxies = true
	return scenario
}

// measureSubsetRead measures the processor time in which a manager reads a whole list and takes its subset of it: the
// list is decoded, the first proxy connects, and the decisions get the servers that it needs.
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

func subsetRead(scenario Scenario) (time.Duration, error) {
	site := scenario.site()
	config, err := scenario.managerConfig(site)
	if err != nil {
		return 0, err
	}
	config.Spill = spillOfSubset
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
