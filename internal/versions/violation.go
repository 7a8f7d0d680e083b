package versions

import (
	"fmt"

	"tamarindshore/balancer"
)

// Events of log records. The comments list the fields of each event in order.
const (
	// eventCheckFailed has the field check, then the fields of the first violation found.
	eventCheckFailed balancer.LogEvent = "version_check_failed"
	// eventCheckPassed has the field check: the check that failed for the previous proposal.
	eventCheckPassed balancer.LogEvent = "version_check_passed"
	// eventLimited has the fields moved_fraction and limit.
	eventLimited balancer.LogEvent = "version_limited"
	// eventHoldEnded has the fields key and reason. Reason expired adds held_seconds; reason servers_unavailable adds
	// remaining_fraction and limit.
	eventHoldEnded balancer.LogEvent = "hold_ended"
)

// log adds a log record to the result.
func (r *Result) log(event balancer.LogEvent, fields ...balancer.LogField) {
	r.LogRecords = append(r.LogRecords, balancer.LogRecord{Event: event, Fields: fields})
}

// noTable is the table of a violation that is not about a single table.
const noTable = -1

// violation is a failed check. It affects the commands for one server or one table, or all commands if neither is set.
type violation struct {
	check  string            // name of the check
	server balancer.ServerID // empty if the violation is not about a single server
	table  int               // noTable if the violation is not about a single table
	fields []balancer.LogField
}

// globalViolation returns a violation that affects all commands.
func globalViolation(fields ...balancer.LogField) violation {
	return violation{table: noTable, fields: fields}
}

// serverViolation returns a violation that affects the commands for a server.
func serverViolation(server balancer.ServerID, fields ...balancer.LogField) *violation {
	return &violation{server: server, table: noTable, fields: append([]balancer.LogField{logField("server", server)}, fields...)}
}

// tableViolation returns a violation that affects the commands for a table.
func tableViolation(table balancer.TableID, fields ...balancer.LogField) *violation {
	return &violation{table: int(table), fields: append([]balancer.LogField{logField("table", table)}, fields...)}
}

func (v violation) affectsAll() bool { return v.server == "" && v.table == noTable }

func (v violation) affects(weight balancer.EndpointWeight) bool {
	return v.affectsAll() || weight.Server == v.server || int(weight.Table) == v.table
}

// logField returns a log field with a value in its default format.
func logField(name string, value any) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprint(value)}
}

// decimalLogField returns a log field with a value rounded to the given number of decimal digits.
func decimalLogField(name string, value float64, digits int) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprintf("%.*f", digits, value)}
}
