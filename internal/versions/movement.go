package versions

import (
	"math"
	"slices"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// minRequestRate replaces the request rate of a table without requests, so that its changes still count.
const minRequestRate = 1e-9

// weightPrecision is the number of steps per unit to which limited weights are rounded.
const weightPrecision = 1000

// limitMovement changes weights only partly if the version would move more than the permitted fraction of all requests;
// later versions change them further. This keeps one version from moving most requests of the fleet at once, and the end
// of a hold from applying all decisions made during the hold in one step. The limit applies to the fleet, not to each
// table: a single table among many may change completely, because it is small and its servers are replaced together.
// Urgent weights are not limited.
func (c *Chain) limitMovement(p *proposal, result *Result) {
	afterHold := c.phase == resuming
	limit := c.settings.MaxMovedFraction
	if afterHold {
		limit = c.settings.MaxStepAfterHold
	}
	moved, total := p.movedRequestRate()
	limited := moved > limit*total
	if limited {
		p.limitWeights(limit, total, moved)
	}
	if afterHold && p.limitAdmissionLevels(c.settings.MaxStepAfterHold) {
		limited = true
	}
	if !limited {
		c.endResuming()
		return
	}
	result.Modified = true
	result.log(eventLimited, decimalLogField("moved_fraction", moved/total, 2), decimalLogField("limit", limit, 2))
	if err := p.apply(); err != nil { // only a bug of this package: limited values lie between valid ones
		panic("limited commands can't be applied: " + err.Error())
	}
}

// movedRequestRate returns the requests per second that a version moves to other servers, and those of all tables.
func (p *proposal) movedRequestRate() (moved, total float64) {
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

// movedFraction returns the fraction of a table's weight that moves between usable servers. Weight that unusable servers
// lose does not count.
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

// usableWeight returns the total weight of a table's usable servers.
func (p *proposal) usableWeight(state *tables.State, id uint32) float64 {
	total := 0.0
	for server, weight := range state.Table(id).Weights {
		if p.isUsable(state, server) {
			total += weight
		}
	}
	return total
}

// limitWeights scales down the changes of all weights except urgent ones, so that about limit*total requests per second
// move instead of moved.
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

// limitAdmissionLevels limits the change of each existing admission level that is a fraction (at most 1) to maxStep. It
// reports whether it limited any.
func (p *proposal) limitAdmissionLevels(maxStep float64) (limited bool) {
	for i, level := range p.commands.AdmissionLevels {
		current, exists := p.current.Table(uint32(level.Table)).AdmissionLevels[uint64(level.Classes)]
		isFraction := max(current.Amount, level.Amount) <= 1
		if !exists || !isFraction || math.Abs(level.Amount-current.Amount) <= maxStep {
			continue
		}
		if !limited { // the slice belongs to the caller
			p.commands.AdmissionLevels = slices.Clone(p.commands.AdmissionLevels)
		}
		limited = true
		p.commands.AdmissionLevels[i].Amount = min(max(level.Amount, current.Amount-maxStep), current.Amount+maxStep)
	}
	return limited
}
