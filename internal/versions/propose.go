package versions

import (
	"fmt"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// proposal is a version under review, before it is sent.
type proposal struct {
	current  *tables.State
	next     *tables.State // state after commands
	commands *balancer.Commands
	view     FleetView
}

// currentWeight returns the weight that the server of a proposed weight has now in the same table.
func (p *proposal) currentWeight(weight balancer.EndpointWeight) float64 {
	return p.current.Table(uint32(weight.Table)).Weights[string(weight.Server)]
}

// apply recomputes the next state from the current state and commands.
func (p *proposal) apply() error {
	next, err := p.current.Apply(tableOps(*p.commands))
	if err != nil {
		return err
	}
	p.next = next
	return nil
}

// Propose checks commands before they are sent, and creates a version from those that may be sent. Urgent commands pass
// even if checks fail: withdrawals, assignments, lower weights of unavailable or warming servers, and weights of
// available servers for a table without a usable one.
func (c *Chain) Propose(now time.Duration, commands balancer.Commands, cause string, view FleetView) Result {
	c.now = now
	result := Result{Commands: commands}
	result.Commands.Weights = slices.Clone(commands.Weights)
	if !changesTables(commands) {
		return result
	}
	p := &proposal{current: c.state, next: c.state, commands: &result.Commands, view: view}
	// On an error p.next remains the current state, and the first check reports the invalid number.
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

// changesTables reports whether any command changes a table; assignments and barriers don't.
func changesTables(commands balancer.Commands) bool {
	return len(commands.Withdraw)+len(commands.Weights)+len(commands.AdmissionLevels)+len(commands.Restore) > 0
}

// tableOps converts commands to operations on a state, in the order in which proxies apply them.
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

// maxSeparateViolations is the maximum number of servers or tables in one version that are held back individually. Beyond
// it, all commands that are not urgent are held back.
const maxSeparateViolations = 64

// holdBackViolations removes the commands for each server or table that violates a check, so that a violation for one
// does not delay the commands for all others.
func (c *Chain) holdBackViolations(p *proposal, result *Result) {
	found := c.findViolation(p)
	c.logCheckTransition(found, result)
	for violations := 0; found != nil; violations++ {
		result.Modified = true
		partial := violations < maxSeparateViolations && p.removeAffected(*found)
		if !partial { // all commands are affected, none could be removed, or there are too many violations
			p.removeAffected(globalViolation())
		}
		if err := p.apply(); err != nil { // only a bug of this package: the numbers were checked
			panic(fmt.Sprintf("the remaining commands of a version can't be applied: %v", err))
		}
		if !partial {
			return
		}
		found = c.findViolation(p)
	}
}

// logCheckTransition logs a change since the previous proposal: a different check fails, or all checks pass again.
func (c *Chain) logCheckTransition(found *violation, result *Result) {
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

// removeAffected removes the commands that a violation affects, except urgent ones. It reports whether it removed any and
// the violation affects only part of the commands.
func (p *proposal) removeAffected(found violation) (partial bool) {
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
