package simprotocol

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"tamarindshore/balancer"
)

// timerLabel identifies the only timer that an instance uses.
const timerLabel = 1

// writeActions writes the commands of one instance as actions, in the order in which they take effect.
func writeActions(out io.Writer, id int64, startedAt time.Duration, commands balancer.Commands) {
	for _, server := range commands.Withdraw {
		fmt.Fprintf(out, "%s\t%d\t%s\t1\n", actionWithdraw, id, server)
	}
	for _, weight := range commands.Weights {
		fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%d\n", actionSetWeight, id, formatNumber(weight.Weight), weight.Server, weight.Table)
	}
	for _, level := range commands.AdmissionLevels {
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%s\t%d\n", actionAdmissionLevel, id, level.Table, level.Classes,
			formatNumber(level.Amount), level.Retry)
	}
	for _, server := range commands.Restore {
		fmt.Fprintf(out, "%s\t%d\t%s\t0\n", actionWithdraw, id, server)
	}
	for _, assignment := range commands.Assign {
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\n", actionAssignTable, id, assignment.Classes, assignment.Proxy, assignment.Table)
	}
	if commands.Barrier > 0 {
		fmt.Fprintf(out, "%s\t%d\t%d\t0\n", actionBarrier, id, commands.Barrier)
	}
	for _, server := range commands.HealthCheck {
		fmt.Fprintf(out, "%s\t%d\t%s\n", actionHealthCheck, id, server)
	}
	if commands.Subscribe {
		fmt.Fprintf(out, "%s\t%d\t1\n", actionSubscribe, id)
	}
	if commands.NextTimer > 0 {
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\n", actionSetTimer, id, timerLabel, roundUpToMicroseconds(commands.NextTimer+startedAt))
	}
	for _, record := range commands.LogRecords {
		fmt.Fprintf(out, "%s\t%d\t%s\n", actionLog, id, record)
	}
}

// writeInternalError reports a panic of an instance on a single line.
func writeInternalError(out io.Writer, id int64, cause any) {
	text := strings.Join(strings.Fields(fmt.Sprint(cause)), " ")
	fmt.Fprintf(out, "%s\t%d\t%s\n", actionInternalError, id, text)
}

// formatNumber returns the shortest decimal text that parses back to x.
func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// roundUpToMicroseconds converts a timer's time to microseconds; rounding up prevents the timer from firing early.
func roundUpToMicroseconds(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}
