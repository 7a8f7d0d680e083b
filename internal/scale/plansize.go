package scale

import (
	"context"
	"fmt"
)

// Sizes in the capacity plan: the fleet as one manager sees it, and the list of a manager that holds a subset.
const (
	planServers            = 24_000
	planZones              = 88
	planProxies            = 480
	planServersPerZone     = 273 // rounded up from 24,000 servers in 88 zones
	subsetServers          = 400 // the servers of the home zone and some of each other zone
	singlePartitionServers = 190 // servers of a home zone that is one partition: with over 200, an equal share of its table is below 0.005
)

// planCase is a named scenario at the size of the capacity plan.
type planCase struct {
	name     string
	scenario Scenario
}

// planCases returns the scenarios that show how the length of a manager's list affects its cost at the plan's size.
func planCases(seed uint64) []planCase {
	completeList := Reference()
	completeList.Seed = seed
	completeList.Servers = planServers
	completeList.Zones = planZones
	completeList.Proxies = planProxies

	oneProxyZone := completeList
	oneProxyZone.HomeServers = planServersPerZone
	oneProxyZone.HomeProxies = true

	twiceTheProxies := completeList
	twiceTheProxies.Proxies = 2 * planProxies

	subset := oneProxyZone
	subset.Servers = subsetServers

	onePartition := subset
	onePartition.HomeServers = singlePartitionServers

	oneZone := onePartition
	oneZone.Servers = planServersPerZone
	oneZone.Zones = 1
	oneZone.HomeServers = 0

	return []planCase{
		{"whole list, 480 proxies in all zones", completeList},
		{"whole list, 480 proxies in one zone", oneProxyZone},
		{"whole list, 960 proxies in all zones", twiceTheProxies},
		{"subset of 400 with a home zone of 273, 480 proxies", subset},
		{"subset of 400 with a home zone of 190, 480 proxies", onePartition},
		{"subset of 273 in one zone alone, 480 proxies", oneZone},
	}
}

// measurePlanSize measures hollow managers at the size of the capacity plan.
func measurePlanSize(ctx context.Context, options Options) ([]PlanSizeCase, error) {
	var cases []PlanSizeCase
	for _, c := range planCases(options.Seed) {
		fmt.Fprintf(options.Progress, "capacity plan's size: %s: %d runs\n", c.name, options.Runs)
		samples, err := measure(ctx, c.scenario, options.Runs)
		if err != nil {
			return nil, err
		}
		cases = append(cases, c.summarize(samples))
	}
	return cases, nil
}

// summarize returns the median and the spread of each cost.
func (c planCase) summarize(samples []sample) PlanSizeCase {
	result := PlanSizeCase{
		Name:        c.name,
		Sizes:       c.scenario.sizes(),
		HomeServers: c.scenario.HomeServers,
		Costs:       map[Cost]float64{},
		Spread:      map[Cost]float64{},
	}
	for cost := range samples[0] {
		point := pointOf(0, cost, samples)
		result.Costs[cost] = point.Median()
		result.Spread[cost] = spread([]Point{point})
	}
	return result
}
