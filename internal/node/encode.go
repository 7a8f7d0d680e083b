package node

import (
	"net/url"
	"strconv"
	"strings"

	"tamarindshore/balancer"
)

// Names of the relay's commands, as it reads them.
const (
	commandWithdraw = "withdraw"
	commandWeight   = "share"
	commandAdmit    = "admit"
	commandRestore  = "restore"
	commandAssign   = "bind"
	commandBarrier  = "mark"
)

// allClasses names all traffic classes in a command.
const allClasses = "*"

// commandEncoder writes commands as the relay reads them, up to a size.
type commandEncoder struct {
	classes []string // names of the traffic classes, by ID
	limit   int      // bytes of the call, escaped in a form
	size    int      // so far
	text    []string
}

// encodeCommands encodes as many commands as fit into a call of limit bytes, in the order in which they are to be
// carried out. The barrier comes last, whether all of them fit or not: it shows when they have left. The first command
// always goes, so that none waits for ever for a call that holds it.
func encodeCommands(all balancer.Commands, classes []string, limit int) []string {
	e := commandEncoder{classes: classes, limit: limit}
	barrier := ""
	if all.Barrier > 0 {
		barrier = join(commandBarrier, strconv.Itoa(int(all.Barrier)), "0")
		e.size = escapedSize(barrier)
	}
	e.encode(all)
	if barrier != "" {
		e.text = append(e.text, barrier)
	}
	return e.text
}

// encode appends the commands, up to the first that does not fit.
func (e *commandEncoder) encode(all balancer.Commands) {
	for _, server := range all.Withdraw {
		if !e.put(commandWithdraw, string(server)) {
			return
		}
	}
	for _, one := range all.Weights {
		if !e.put(commandWeight, formatTable(one.Table), string(one.Server), formatNumber(one.Weight)) {
			return
		}
	}
	for _, one := range all.AdmissionLevels {
		classes := classNames(one.Classes, e.classes)
		if !e.put(commandAdmit, formatTable(one.Table), classes, formatNumber(one.Amount), strconv.Itoa(int(one.Retry))) {
			return
		}
	}
	for _, server := range all.Restore {
		if !e.put(commandRestore, string(server)) {
			return
		}
	}
	for _, one := range all.Assign {
		if !e.put(commandAssign, strconv.Itoa(int(one.Proxy)), formatTable(one.Table), classNames(one.Classes, e.classes)) {
			return
		}
	}
}

// put appends one command; false where it does not fit.
func (e *commandEncoder) put(parts ...string) bool {
	command := join(parts...)
	e.size += escapedSize(command)
	if e.size > e.limit && len(e.text) > 0 {
		return false
	}
	e.text = append(e.text, command)
	return true
}

func join(parts ...string) string { return strings.Join(parts, ",") }

// escapedSize is how many bytes a command takes in a form, with its separator.
func escapedSize(command string) int { return len(url.QueryEscape(command)) + len("%3B") }

func formatTable(id balancer.TableID) string { return strconv.Itoa(int(id)) }

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// classNames names the traffic classes of a bit mask; no class and all classes are allClasses.
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
