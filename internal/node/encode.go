package node

import (
	"net/url"
	"strconv"
	"strings"

	"tamarindshore/balancer"
)

// Command names in the relay's protocol.
const (
	commandWithdraw = "withdraw"
	commandWeight   = "share"
	commandAdmit    = "admit"
	commandRestore  = "restore"
	commandAssign   = "bind"
	commandBarrier  = "mark"
)

// allClasses stands for all traffic classes in a command.
const allClasses = "*"

// commandEncoder encodes commands for the relay until a call's size limit is reached.
type commandEncoder struct {
	classes  []string // names of the traffic classes, indexed by ID
	limit    int      // maximum size of the call in bytes, form-encoded
	size     int      // form-encoded size of commands and of the barrier
	commands []string
}

// encodeCommands encodes as many commands as fit into a call of limit bytes, in the order in which they are to be
// executed. The barrier comes last even if some commands don't fit: its acknowledgement shows that the commands before it
// have left the channel. The first command is always included, so that a command larger than the limit does not wait
// forever.
func encodeCommands(all balancer.Commands, classes []string, limit int) []string {
	e := commandEncoder{classes: classes, limit: limit}
	barrier := ""
	if all.Barrier > 0 {
		barrier = formatCommand(commandBarrier, strconv.Itoa(int(all.Barrier)), "0")
		e.size = escapedSize(barrier)
	}
	e.encode(all)
	if barrier != "" {
		e.commands = append(e.commands, barrier)
	}
	return e.commands
}

// encode appends the commands, and stops at the first that does not fit.
func (e *commandEncoder) encode(all balancer.Commands) {
	for _, server := range all.Withdraw {
		if !e.appendCommand(commandWithdraw, string(server)) {
			return
		}
	}
	for _, weight := range all.Weights {
		if !e.appendCommand(commandWeight, formatTable(weight.Table), string(weight.Server), formatNumber(weight.Weight)) {
			return
		}
	}
	for _, level := range all.AdmissionLevels {
		classes := classNames(level.Classes, e.classes)
		if !e.appendCommand(commandAdmit, formatTable(level.Table), classes, formatNumber(level.Amount), strconv.Itoa(int(level.Retry))) {
			return
		}
	}
	for _, server := range all.Restore {
		if !e.appendCommand(commandRestore, string(server)) {
			return
		}
	}
	for _, entry := range all.Assign {
		if !e.appendCommand(commandAssign, strconv.Itoa(int(entry.Proxy)), formatTable(entry.Table), classNames(entry.Classes, e.classes)) {
			return
		}
	}
}

// appendCommand appends one command; it returns false if the command does not fit.
func (e *commandEncoder) appendCommand(parts ...string) bool {
	command := formatCommand(parts...)
	e.size += escapedSize(command)
	if e.size > e.limit && len(e.commands) > 0 {
		return false
	}
	e.commands = append(e.commands, command)
	return true
}

func formatCommand(parts ...string) string { return strings.Join(parts, ",") }

// escapedSize returns the form-encoded size of a command in bytes, including its separator.
func escapedSize(command string) int { return len(url.QueryEscape(command)) + len("%3B") }

func formatTable(id balancer.TableID) string { return strconv.Itoa(int(id)) }

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// classNames returns the names of the traffic classes in a bit mask, or allClasses if the mask is empty or complete.
func classNames(mask uint, classes []string) string {
	var names []string
	for class, name := range classes {
		if mask&(1<<class) != 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 || len(names) == len(classes) {
		return allClasses
	}
	return strings.Join(names, "+")
}
