package sharding

import (
	"fmt"
	"time"

	"tamarindshore/balancer"
)

// Events of log records, each with its fields in their order. A shard and a connection (conn) are given by number.
const (
	// EventConnMoving has conn, from, to, conn_cores, from_cores and to_cores (before the move).
	EventConnMoving balancer.LogEvent = "conn_moving"
	// EventConnMoveCancelled has conn, shard and timeout_seconds: the shard did not drain the connection in time.
	EventConnMoveCancelled balancer.LogEvent = "conn_move_cancelled"
	// EventConnClosed has conn and failures: of shards that worked for it.
	EventConnClosed balancer.LogEvent = "conn_closed"
	// EventShardStalled has shard and task_seconds.
	EventShardStalled balancer.LogEvent = "shard_stalled"
	// EventShardRestarted has shard and conns: they go to others.
	EventShardRestarted balancer.LogEvent = "shard_restarted"
	// EventShardQuarantined has shard, seconds and failures.
	EventShardQuarantined balancer.LogEvent = "shard_quarantined"
	// EventShardRestored has shard: its quarantine is over.
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

// cores rounds a load for the log.
func cores(name string, load float64) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprintf("%.2f", load)}
}

// seconds rounds a time for the log.
func seconds(name string, d time.Duration, decimals int) balancer.LogField {
	return balancer.LogField{Name: name, Value: fmt.Sprintf("%.*f", decimals, d.Seconds())}
}
