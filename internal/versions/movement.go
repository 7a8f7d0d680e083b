package versions

import (
	"math"
	"slices"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// minRequestRate stands in for the rate of a table without requests, so that it counts a little.
const minRequestRate = 1e-9

// weightPrecision is the number of parts of 1 to which a weight on the way is rounded.
const weightPrecision = 1000

// limitMovement goes part of the way where a version would move more of all requests than one may: it keeps one version
// from turning the fleet over, and the end of a hold from a jump to what was decided meanwhile. One table among many may
// change as a whole: it is small, and its servers are replaced together. Later versions go the rest of the way. Urgent
// weights are not limited.
func (c *Chain) limitMovement(p *proposal, result *Result) {
	resuming := c.phase == resuming
	limit := c.settings.MaxMovedFraction
	if resuming {
		limit = c.settings.MaxStepAfterHold
	}
	moved, total := p.movedRequests()
	limited := moved > limit*total
	if limited {
		p.limitWeights(limit, total, moved)
	}
	if resuming && p.limitLevels(c.settings.MaxStepAfterHold) {
		limited = true
	}
	if !limited {
		c.endResuming()
		return
	}
	result.Modified = true
	result.log(eventLimited, decimals("moved_fraction", moved/total, 2), decimals("limit", limit, 2))
	if err := p.apply(); err != nil { // the numbers lie between valid ones: a bug of this package
		panic("a limited version can't be applied: " + err.Error())
	}
}

// movedRequests is how many requests a second a version moves to other servers, of how many in all.
func (p *proposal) movedRequests() (moved, total float64) {
	changed := map[uint32]bool{}
	for _, weight := range p.commands.Weights {
		changed[uint32(weight.Table)] = true
	}
	for _, table := range p.next.TableIDs() {
		rate := max(p.view.RequestRate(balancer.TableID(table)), minRequestRate)
		total += rate
		if changed[table] {
			moved += rate * p.movedFraction(table)
		}
	}
	return moved, total
}

// movedFraction is the part of a table's weight that moves between available servers: what unavailable ones lose does
// not count.
func (p *proposal) movedFraction(id uint32) float64 {
	currentTotal := p.usableWeight(p.current, id)
	nextTotal := p.usableWeight(p.next, id)
	if currentTotal == 0 || nextTotal == 0 {
		return 0
	}
	next := p.next.Table(id).Weights
	moved := 0.0
	for server, weight := range p.current.Table(id).Weights {
		if p.isUsable(p.current, server) {
			moved += max(0, weight/currentTotal-next[server]/nextTotal)
		}
	}
	return moved
}

// usableWeight is the weight of a table's usable servers.
func (p *proposal) usableWeight(state *tables.State, id uint32) float64 {
	total := 0.0
	for server, weight := range state.Table(id).Weights {
		if p.isUsable(state, server) {
			total += weight
		}
	}
	return total
}

// limitWeights sets all weights but the urgent ones to that part of the way from the current ones which moves the limit
// of the total.
func (p *proposal) limitWeights(limit, total, moved float64) {
	for i, weight := range p.commands.Weights {
		if p.isUrgent(weight) {
			continue
		}
		current := p.currentWeight(weight)
		limited := current + (weight.Weight-current)*limit*total/moved
		p.commands.Weights[i].Weight = math.Round(limited*weightPrecision) / weightPrecision
	}
}

// limitLevels limits the change of each admission level that is a share, and tells whether it limited any.
func (p *proposal) limitLevels(maxStep float64) (limited bool) {
	for i, level := range p.commands.AdmissionLevels {
		current, exists := p.current.Table(uint32(level.Table)).AdmissionLevels[uint64(level.Classes)]
		isShare := max(current.Amount, level.Amount) <= 1
		if !exists || !isShare || math.Abs(level.Amount-current.Amount) <= maxStep {
			continue
		}
		if !limited { // the slice is the caller's
			p.commands.AdmissionLevels = slices.Clone(p.commands.AdmissionLevels)
		}
		limited = true
		p.commands.AdmissionLevels[i].Amount = min(max(level.Amount, current.Amount-maxStep), current.Amount+maxStep)
	}
	return limited
}
