package versions

import (
	"fmt"

	"tamarindshore/balancer"
)

// Events of log records, each with its fields in their order.
const (
	// eventCheckFailed has check and the fields of the violation that was found first.
	eventCheckFailed balancer.LogEvent = "version_check_failed"
	// eventCheckPassed has check: the one that failed before.
	eventCheckPassed balancer.LogEvent = "version_check_passed"
	// eventLimited has moved_fraction and limit.
	eventLimited balancer.LogEvent = "version_limited"
	// eventHoldEnded has key and reason; with reason expired held_seconds, with reason servers_unavailable
	// remaining_fraction and limit.
	eventHoldEnded balancer.LogEvent = "hold_ended"
)

func (r *Result) log(event balancer.LogEvent, fields ...balancer.LogField) {
	r.LogRecords = append(r.LogRecords, balancer.LogRecord{Event: event, Fields: fields})
}

// noTable is the table of a violation that affects none.
const noTable = -1

// violation is what a check finds: it affects the commands for a server, for a table, or, with neither, all.
type violation struct {
	check  string // its name
	server balancer.ServerID
	table  int
	fields []balancer.LogField
}

func wholeVersion(fields ...balancer.LogField) violation {
	return violation{table: noTable, fields: fields}
}

func ofServer(server balancer.ServerID, fields ...balancer.LogField) *violation {
	return &violation{server: server, table: noTable, fields: append([]balancer.LogField{field("server", server)}, fields...)}
}

func ofTable(table balancer.TableID, fields ...balancer.LogField) *violation {
	return &violation{table: int(table), fields: append([]balancer.LogField{field("table", table)}, fields...)}
}

func (v violation) affectsAll() bool { return v.server == "" && v.table == noTable }

func (v violation) affects(weight balancer.EndpointWeight) bool {
	return v.affectsAll() || weight.Server == v.server || int(weight.Table) == v.table
}

func field(name string, value any) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprint(value)}
}

// decimals is a field with a number rounded for the log.
func decimals(name string, value float64, digits int) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprintf("%.*f", digits, value)}
}
