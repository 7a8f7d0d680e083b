package versions

import (
	"fmt"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// proposal is a version before it is sent.
type proposal struct {
	current  *tables.State
	next     *tables.State // what commands lead to
	commands *balancer.Commands
	view     FleetView
}

// currentWeight is the weight that a server has now in the table of a new weight.
func (p *proposal) currentWeight(weight balancer.EndpointWeight) float64 {
	return p.current.Table(uint32(weight.Table)).Weights[string(weight.Server)]
}

// apply follows the commands, as they are now, to the next state.
func (p *proposal) apply() error {
	next, err := p.current.Apply(tableOps(*p.commands))
	if err != nil {
		return err
	}
	p.next = next
	return nil
}

// Propose checks commands before they go out, and makes a version of those that may. What is urgent goes out whatever
// else is wrong: withdrawals, assignments, weights taken from servers that may get no requests, weights for a table
// without a usable server.
func (c *Chain) Propose(now time.Duration, commands balancer.Commands, cause string, view FleetView) Result {
	c.now = now
	result := Result{Commands: commands}
	result.Commands.Weights = slices.Clone(commands.Weights)
	if !changesTables(commands) {
		return result
	}
	p := &proposal{current: c.state, next: c.state, commands: &result.Commands, view: view}
	// An error leaves the next state as the current one: the first check finds the invalid number.
	if err := p.apply(); err == nil {
		c.limitMovement(p, &result)
	}
	c.holdBackViolations(p, &result)
	if result.Commands.Count() == 0 {
		result.Commands.Barrier = 0
	}
	if p.next.Digest() != p.current.Digest() {
		result.Version = c.appendVersion(p.next, cause, result.Commands.Barrier, tableOps(result.Commands))
	}
	return result
}

// changesTables tells whether any command changes a table: assignments and barriers don't.
func changesTables(commands balancer.Commands) bool {
	return len(commands.Withdraw)+len(commands.Weights)+len(commands.AdmissionLevels)+len(commands.Restore) > 0
}

// tableOps are commands as changes of a state, in the order in which proxies apply them.
func tableOps(commands balancer.Commands) (ops []tables.Op) {
	for _, server := range commands.Withdraw {
		ops = append(ops, tables.Op{Kind: tables.Withdraw, Server: string(server)})
	}
	for _, weight := range commands.Weights {
		ops = append(ops, tables.Op{
			Kind:   tables.SetWeight,
			Table:  uint32(weight.Table),
			Server: string(weight.Server),
			Weight: weight.Weight,
		})
	}
	for _, level := range commands.AdmissionLevels {
		ops = append(ops, tables.Op{
			Kind:           tables.SetAdmissionLevel,
			Table:          uint32(level.Table),
			Classes:        uint64(level.Classes),
			AdmissionLevel: tables.AdmissionLevel{Amount: level.Amount, Retry: uint8(level.Retry)},
		})
	}
	for _, server := range commands.Restore {
		ops = append(ops, tables.Op{Kind: tables.Restore, Server: string(server)})
	}
	return ops
}

// maxSeparateViolations is how many servers or tables of one version may violate a check, each held back by itself.
const maxSeparateViolations = 64

// holdBackViolations holds back the commands for each server or table that violates a check, so that one of them does
// not hold up all others.
func (c *Chain) holdBackViolations(p *proposal, result *Result) {
	found := c.findViolation(p)
	c.logCheck(found, result)
	for separate := 0; found != nil; separate++ {
		result.Modified = true
		onlyPart := separate < maxSeparateViolations && p.keepUrgent(*found)
		if !onlyPart { // the violation is in what is urgent, or there are too many
			p.keepUrgent(wholeVersion())
		}
		if err := p.apply(); err != nil { // its numbers were checked: a bug of this package
			panic(fmt.Sprintf("the urgent part of a version can't be applied: %v", err))
		}
		if !onlyPart {
			return
		}
		found = c.findViolation(p)
	}
}

// logCheck logs that another check fails than for the last version, or none any more.
func (c *Chain) logCheck(found *violation, result *Result) {
	failed := ""
	if found != nil {
		failed = found.check
	}
	if failed != c.failedCheck && failed != "" {
		result.log(eventCheckFailed, append([]balancer.LogField{{Name: "check", Value: failed}}, found.fields...)...)
	}
	if failed != c.failedCheck && failed == "" {
		result.log(eventCheckPassed, balancer.LogField{Name: "check", Value: c.failedCheck})
	}
	c.failedCheck = failed
}

// keepUrgent removes the commands that a violation affects, but for those that are urgent. It tells whether commands were
// removed and others were not affected.
func (p *proposal) keepUrgent(found violation) (onlyPart bool) {
	commands := p.commands
	before := commands.Count()
	all := found.affectsAll()
	commands.Weights = slices.DeleteFunc(commands.Weights, func(weight balancer.EndpointWeight) bool {
		return found.affects(weight) && !p.isUrgent(weight)
	})
	commands.Restore = slices.DeleteFunc(slices.Clone(commands.Restore), func(server balancer.ServerID) bool {
		return all || server == found.server
	})
	if all {
		commands.AdmissionLevels = nil
	}
	return !all && commands.Count() < before
}
