package sharding

import (
	"fmt"
	"time"

	"tamarindshore/balancer"
)

// Log events with their fields, in the order in which they are written. Shards and connections (conn) are identified by
// number.
const (
	// EventConnMoving has conn, from, to, conn_cores, from_cores and to_cores: a connection starts to move between two
	// shards, with the loads before the move.
	EventConnMoving balancer.LogEvent = "conn_moving"
	// EventConnMoveCancelled has conn, shard and timeout_seconds: the shard did not drain the connection in time.
	EventConnMoveCancelled balancer.LogEvent = "conn_move_cancelled"
	// EventConnClosed has conn and failures: the connection is closed after that many failures of shards that processed it.
	EventConnClosed balancer.LogEvent = "conn_closed"
	// EventShardStalled has shard and task_seconds: the shard has been running one task for too long.
	EventShardStalled balancer.LogEvent = "shard_stalled"
	// EventShardRestarted has shard and conns, the number of its connections, which were reassigned.
	EventShardRestarted balancer.LogEvent = "shard_restarted"
	// EventShardQuarantined has shard, seconds (the length of the quarantine) and failures.
	EventShardQuarantined balancer.LogEvent = "shard_quarantined"
	// EventShardRestored has shard, whose quarantine has expired.
	EventShardRestored balancer.LogEvent = "shard_restored"
)

func (a *Assigner) log(event balancer.LogEvent, fields ...balancer.LogField) {
	a.actions.LogRecords = append(a.actions.LogRecords, balancer.LogRecord{Event: event, Fields: fields})
}

func connField(id ConnID) balancer.LogField { return field("conn", id) }

func shardField(id ShardID) balancer.LogField { return field("shard", id) }

func field(name string, value any) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprint(value)}
}

// coresField returns a log field with a load rounded to 0.01 cores.
func coresField(name string, load float64) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprintf("%.2f", load)}
}

// secondsField returns a log field with a time in seconds, rounded to a number of decimals.
func secondsField(name string, d time.Duration, decimals int) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprintf("%.*f", decimals, d.Seconds())}
}
