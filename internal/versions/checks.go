package versions

import (
	"math"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// check is a rule for every version. find returns the first violation of the rule, or nil.
type check struct {
	name string
	find func(c *Chain, p *proposal) *violation
}

// checks are run in this order. The commands affected by the first violation are held back.
var checks = []check{
	{"invalid_number", (*Chain).findInvalidNumber},
	{"unknown_server", (*Chain).findUnknownServer},
	{"unavailable_server", (*Chain).findUnavailableServer},
	{"empty_table", (*Chain).findEmptyTable},
	{"warming_server", (*Chain).findOverloadedWarmingServer},
	{"too_many_commands", (*Chain).findTooManyCommands},
}

// findViolation returns the violation found by the first check that fails, or nil if all pass.
func (c *Chain) findViolation(p *proposal) *violation {
	for _, check := range checks {
		if found := check.find(c, p); found != nil {
			found.check = check.name
			return found
		}
	}
	return nil
}

// isValid reports whether a weight or admission level is finite and not negative.
func isValid(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

// isUrgent reports whether a weight must be sent even if checks fail: it lowers the weight of a server that is
// unavailable or warming up, or it gives an available server to a table without a usable one.
func (p *proposal) isUrgent(weight balancer.EndpointWeight) bool {
	if !isValid(weight.Weight) {
		return false
	}
	status := p.view.ServerStatus(weight.Server)
	lowers := weight.Weight < p.currentWeight(weight)
	if lowers && (!status.Available || status.WarmFraction < 1) {
		return true
	}
	return status.mayGetRequests() && status.Known && !p.hasUsableServer(p.current, uint32(weight.Table))
}

// hasUsableServer reports whether a table has a usable server with a positive weight.
func (p *proposal) hasUsableServer(state *tables.State, table uint32) bool {
	for server, weight := range state.Table(table).Weights {
		if weight > 0 && p.isUsable(state, server) {
			return true
		}
	}
	return false
}

// isUsable reports whether a server is available and not withdrawn in a state.
func (p *proposal) isUsable(state *tables.State, server string) bool {
	return !state.IsWithdrawn(server) && p.view.ServerStatus(balancer.ServerID(server)).Available
}

// findInvalidNumber finds a weight or admission level that is infinite, negative or NaN.
func (c *Chain) findInvalidNumber(p *proposal) *violation {
	for _, weight := range p.commands.Weights {
		if !isValid(weight.Weight) {
			found := globalViolation(logField("table", weight.Table), logField("server", weight.Server), logField("weight", weight.Weight))
			return &found
		}
	}
	for _, level := range p.commands.AdmissionLevels {
		if !isValid(level.Amount) {
			found := globalViolation(logField("table", level.Table), logField("admission_level", level.Amount))
			return &found
		}
	}
	return nil
}

// findUnknownServer finds a positive weight for a server that the manager doesn't know.
func (c *Chain) findUnknownServer(p *proposal) *violation {
	for _, weight := range p.commands.Weights {
		if weight.Weight > 0 && !p.view.ServerStatus(weight.Server).Known {
			return serverViolation(weight.Server, logField("table", weight.Table))
		}
	}
	return nil
}

// findUnavailableServer finds a raised weight, or the end of a withdrawal, for a server that is draining, gone or
// unresponsive.
func (c *Chain) findUnavailableServer(p *proposal) *violation {
	for _, weight := range p.commands.Weights {
		current := p.currentWeight(weight)
		if weight.Weight > current && !p.view.ServerStatus(weight.Server).mayGetRequests() {
			return serverViolation(weight.Server,
				logField("table", weight.Table), logField("weight", weight.Weight), logField("current_weight", current))
		}
	}
	for _, server := range p.commands.Restore {
		if !p.view.ServerStatus(server).mayGetRequests() {
			return serverViolation(server, logField("restored", true))
		}
	}
	return nil
}

// findEmptyTable finds a table that loses its last usable server although the fleet has available servers.
func (c *Chain) findEmptyTable(p *proposal) *violation {
	if available, _ := p.view.ReadyServers(); available == 0 {
		return nil
	}
	for _, weight := range p.commands.Weights {
		table := uint32(weight.Table)
		if weight.Weight == 0 && p.hasUsableServer(p.current, table) && !p.hasUsableServer(p.next, table) {
			return tableViolation(weight.Table, logField("server", weight.Server))
		}
	}
	return nil
}

// findOverloadedWarmingServer finds a warming server whose request rate would exceed MaxWarmUpFactor times its warm
// fraction of an equal share of all requests. It finds nothing while no server is warm.
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
			return serverViolation(weight.Server,
				decimalLogField("warm_fraction", status.WarmFraction, 2),
				decimalLogField("request_rate", rate, 1),
				decimalLogField("total_request_rate", total, 1),
				logField("servers", available))
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

// requestRateOf returns the requests per second that a server would get from all tables.
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

// findTooManyCommands finds a version with more than MaxCommands commands.
func (c *Chain) findTooManyCommands(p *proposal) *violation {
	if count := p.commands.Count(); count > c.settings.MaxCommands {
		found := globalViolation(logField("commands", count), logField("limit", c.settings.MaxCommands))
		return &found
	}
	return nil
}
