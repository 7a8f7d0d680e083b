package scale

import (
	"context"
	"fmt"
)

// The plan's size for one manager, and the list of one that holds a subset of it.
const (
	planServers   = 24_000
	planZones     = 88
	planProxies   = 480
	planZoneShare = 273 // servers of a zone, 24,000 over 88
	subsetServers = 400 // the home zone's and some of each other zone
	blockServers  = 190 // of a zone that is one block: a server with less than 0.005 of a table gets no line in it
)

// planCases are the scenarios that show what the length of a manager's list costs at the plan's size.
func planCases(seed uint64) []planCase {
	whole := Reference()
	whole.Seed, whole.Servers, whole.Zones, whole.Proxies = seed, planServers, planZones, planProxies
	home := whole
	home.HomeServers, home.HomeProxies = planZoneShare, true
	twoBlocks := whole
	twoBlocks.Proxies = 2 * planProxies
	subset := home
	subset.Servers = subsetServers
	oneBlock := subset
	oneBlock.HomeServers = blockServers
	oneZone := oneBlock
	oneZone.Servers, oneZone.Zones, oneZone.HomeServers = planZoneShare, 1, 0
	return []planCase{
		{"whole list, 480 proxies in all zones", whole},
		{"whole list, 480 proxies in one zone", home},
		{"whole list, 960 proxies in all zones", twoBlocks},
		{"subset of 400 with a home zone of 273, 480 proxies", subset},
		{"subset of 400 with a home zone of 190, 480 proxies", oneBlock},
		{"subset of 273 in one zone alone, 480 proxies", oneZone},
	}
}

type planCase struct {
	name     string
	scenario Scenario
}

func measurePlanSize(ctx context.Context, options Options) ([]PlanSizeCase, error) {
	var cases []PlanSizeCase
	for _, one := range planCases(options.Seed) {
		fmt.Fprintf(options.Progress, "plan's size: %s: %d runs\n", one.name, options.Runs)
		samples, err := measure(ctx, one.scenario, options.Runs)
		if err != nil {
			return nil, err
		}
		cases = append(cases, caseOf(one, samples))
	}
	return cases, nil
}

func caseOf(one planCase, samples []sample) PlanSizeCase {
	result := PlanSizeCase{Name: one.name, Sizes: one.scenario.sizes(), HomeServers: one.scenario.HomeServers, Costs: map[Cost]float64{},
		Spread: map[Cost]float64{}}
	for cost := range samples[0] {
		point := pointOf(0, cost, samples)
		result.Costs[cost], result.Spread[cost] = Median(point.Runs), spread([]Point{point})
	}
	return result
}
