package balancer

import (
	"fmt"
	"strings"
)

// LogEvent is the name of the event that a log record describes.
type LogEvent string

// Events of log records. The comments list the fields of each event in their order.
const (
	// EventServerEjected has server, unresponsive_seconds and cause.
	EventServerEjected LogEvent = "server_ejected"
	// EventServerRestored has server, whose ejection ended.
	EventServerRestored LogEvent = "server_restored"
	// EventServerDegraded has server, health, failed, attempts, latency_seconds, peer_latency_seconds and
	// peer_failure_rate.
	EventServerDegraded LogEvent = "server_degraded"
	// EventSlowStartPaused has below (warm-up progress below which servers get no requests; 0: no server is paused),
	// failure_rate, reporting (number of servers with enough reported attempts) and peers (number of warm servers).
	EventSlowStartPaused LogEvent = "slow_start_paused"
	// EventZonePair has from, to, closed and usual_latency_seconds.
	EventZonePair LogEvent = "zone_pair"
	// EventAdmissionLimit has limit, offered and delivered (requests per second), load (latency over objective)
	// and failure_rate.
	EventAdmissionLimit LogEvent = "admission_limit"
	// EventZonesPartitioned has partitions and servers (both per zone) and connection_uses (mean number of requests of a
	// proxy within the idle timeout).
	EventZonesPartitioned LogEvent = "zones_partitioned"
	// EventDrainDelayed has server (the one that has waited longest to be withdrawn), waited_seconds, waiting (number of
	// such servers), cause, and messages (most messages that a proxy using the server was sent within the window).
	EventDrainDelayed LogEvent = "drain_delayed"
	// EventWarmingCapacity has share (of all requests that the servers can take while none is warm; 1: no longer limited) and
	// warming_up (number of servers in their warm-up).
	EventWarmingCapacity LogEvent = "warming_capacity"
	// EventEmptyTable has table, zone_local (only the zone-local part has no endpoint), waited_seconds (how long its proxies
	// have had none), cause, targets (number of servers that should get requests) and warming_up (those in their warm-up).
	EventEmptyTable LogEvent = "empty_table"
)

// LogField is a named value of a log record, rounded for the log.
type LogField struct {
	Name  string
	Value string
}

// LogRecord describes one decision for operators.
type LogRecord struct {
	Event  LogEvent
	Fields []LogField
}

// String formats the record as key=value pairs, starting with the event.
func (r LogRecord) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "event=%s", r.Event)
	for _, field := range r.Fields {
		fmt.Fprintf(&text, " %s=%s", field.Name, field.Value)
	}
	return text.String()
}

func textField(name, value string) LogField { return LogField{name, value} }

func countField(name string, value int) LogField { return LogField{name, fmt.Sprint(value)} }

func boolField(name string, value bool) LogField { return LogField{name, fmt.Sprint(value)} }

// numberField formats a value, rounded to the given number of decimals.
func numberField(name string, value float64, decimals int) LogField {
	return LogField{name, fmt.Sprintf("%.*f", decimals, value)}
}

func (m *Manager) log(event LogEvent, fields ...LogField) {
	m.commands.LogRecords = append(m.commands.LogRecords, LogRecord{event, fields})
}
