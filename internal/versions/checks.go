package versions

import (
	"math"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// check is a rule that a version must keep; find returns nil where it does.
type check struct {
	name string
	find func(c *Chain, p *proposal) *violation
}

// checks are made in this order; what the first finds is held back.
var checks = []check{
	{"invalid_number", (*Chain).findInvalidNumber},
	{"unknown_server", (*Chain).findUnknownServer},
	{"unavailable_server", (*Chain).findUnavailableServer},
	{"empty_table", (*Chain).findEmptyTable},
	{"warming_server", (*Chain).findOverloadedWarmingServer},
	{"too_many_commands", (*Chain).findTooManyCommands},
}

// findViolation returns what the first check finds that fails; nil: all pass.
func (c *Chain) findViolation(p *proposal) *violation {
	for _, one := range checks {
		if found := one.find(c, p); found != nil {
			found.check = one.name
			return found
		}
	}
	return nil
}

// isValid tells whether a weight or level is finite and at least 0.
func isValid(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

// isUrgent tells whether a weight must go out whatever else is wrong: it takes weight from a server that is unavailable
// or warming up, or it is for a table without a usable server.
func (p *proposal) isUrgent(weight balancer.EndpointWeight) bool {
	if !isValid(weight.Weight) {
		return false
	}
	status := p.view.ServerStatus(weight.Server)
	lowers := weight.Weight < p.currentWeight(weight)
	if lowers && (!status.Available || status.WarmFraction < 1) {
		return true
	}
	return status.Available && status.Known && !p.hasUsableServer(p.current, uint32(weight.Table))
}

// hasUsableServer tells whether a table has a server that can get requests.
func (p *proposal) hasUsableServer(state *tables.State, table uint32) bool {
	for server, weight := range state.Table(table).Weights {
		if weight > 0 && p.isUsable(state, server) {
			return true
		}
	}
	return false
}

// isUsable tells whether a server of a state is available and not withdrawn.
func (p *proposal) isUsable(state *tables.State, server string) bool {
	return !state.IsWithdrawn(server) && p.view.ServerStatus(balancer.ServerID(server)).Available
}

// findInvalidNumber finds a weight or level that is infinite, negative or not a number.
func (c *Chain) findInvalidNumber(p *proposal) *violation {
	for _, weight := range p.commands.Weights {
		if !isValid(weight.Weight) {
			found := wholeVersion(field("table", weight.Table), field("server", weight.Server), field("weight", weight.Weight))
			return &found
		}
	}
	for _, level := range p.commands.AdmissionLevels {
		if !isValid(level.Amount) {
			found := wholeVersion(field("table", level.Table), field("admission_level", level.Amount))
			return &found
		}
	}
	return nil
}

// findUnknownServer finds a weight for a server that the manager doesn't know.
func (c *Chain) findUnknownServer(p *proposal) *violation {
	for _, weight := range p.commands.Weights {
		if weight.Weight > 0 && !p.view.ServerStatus(weight.Server).Known {
			return ofServer(weight.Server, field("table", weight.Table))
		}
	}
	return nil
}

// findUnavailableServer finds a weight that is raised, or a withdrawal that ends, for a server that is draining, gone or
// unresponsive.
func (c *Chain) findUnavailableServer(p *proposal) *violation {
	for _, weight := range p.commands.Weights {
		current := p.currentWeight(weight)
		if weight.Weight > current && !p.view.ServerStatus(weight.Server).Available {
			return ofServer(weight.Server, field("table", weight.Table), field("weight", weight.Weight), field("current_weight", current))
		}
	}
	for _, server := range p.commands.Restore {
		if !p.view.ServerStatus(server).Available {
			return ofServer(server, field("restored", true))
		}
	}
	return nil
}

// findEmptyTable finds a table that loses its last usable server while some servers are available.
func (c *Chain) findEmptyTable(p *proposal) *violation {
	if available, _ := p.view.ReadyServers(); available == 0 {
		return nil
	}
	for _, weight := range p.commands.Weights {
		table := uint32(weight.Table)
		if weight.Weight == 0 && p.hasUsableServer(p.current, table) && !p.hasUsableServer(p.next, table) {
			return ofTable(weight.Table, field("server", weight.Server))
		}
	}
	return nil
}

// findOverloadedWarmingServer finds a warming server that would get far more than its warm fraction of an equal share
// of all requests, while others are warm.
func (c *Chain) findOverloadedWarmingServer(p *proposal) *violation {
	available, warm := p.view.ReadyServers()
	if warm == 0 {
		return nil
	}
	total := p.totalRequestRate()
	equalShare := total / float64(available)
	checked := map[balancer.ServerID]bool{}
	for _, weight := range p.commands.Weights {
		status := p.view.ServerStatus(weight.Server)
		if status.WarmFraction >= 1 || checked[weight.Server] || p.isUrgent(weight) || weight.Weight <= p.currentWeight(weight) {
			continue
		}
		checked[weight.Server] = true
		rate := p.requestRateOf(weight.Server)
		if rate > c.settings.MaxWarmUpFactor*status.WarmFraction*equalShare && total > 0 {
			return ofServer(weight.Server,
				decimals("warm_fraction", status.WarmFraction, 2),
				decimals("request_rate", rate, 1),
				decimals("total_request_rate", total, 1),
				field("servers", available))
		}
	}
	return nil
}

func (p *proposal) totalRequestRate() float64 {
	total := 0.0
	for _, table := range p.next.TableIDs() {
		total += p.view.RequestRate(balancer.TableID(table))
	}
	return total
}

// requestRateOf is how many requests a second a server would get from all tables.
func (p *proposal) requestRateOf(server balancer.ServerID) float64 {
	rate := 0.0
	for _, id := range p.next.TableIDs() {
		table := p.next.Table(id)
		if weight := table.Weights[string(server)]; weight > 0 {
			rate += p.view.RequestRate(balancer.TableID(id)) * weight / totalWeight(table)
		}
	}
	return rate
}

func totalWeight(table *tables.Table) float64 {
	total := 0.0
	for _, weight := range table.Weights {
		total += weight
	}
	return total
}

func (c *Chain) findTooManyCommands(p *proposal) *violation {
	if count := p.commands.Count(); count > c.settings.MaxCommands {
		found := wholeVersion(field("commands", count), field("limit", c.settings.MaxCommands))
		return &found
	}
	return nil
}
