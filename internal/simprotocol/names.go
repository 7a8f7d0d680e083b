package simprotocol

import "tamarindshore/balancer"

// Messages that delimit a batch, its reply and the entries of a list.
const (
	messageBatch    = "BATCH"
	messageBatchEnd = "EOF_BATCH"
	messageReplyEnd = "FINISHED"
	messageEndpoint = "M" // one entry of an endpoint list
)

// Events, sent by the simulator.
const (
	eventInstanceStarted   = "NEW_INSTANCE"
	eventInstanceStopped   = "DOWN"
	eventEndpointList      = "TOPOLOGY"
	eventTimer             = "REMINDER"
	eventHealthCheck       = "HEALTH_RESULT"
	eventProxyConnected    = "DIALLED_IN"
	eventProxyDisconnected = "STREAM_DOWN"
	eventLoadReport        = "OBSERVED"
	eventUsageReport       = "OFFERED_LOAD"
	eventBarrierAck        = "INSTALLED"
	eventPeerMessage       = "FROM_PEER"
	eventSliceUsage        = "HEAT"
	eventSliceAssigned     = "LEASED"
	eventStoredWeight      = "RECORDED"
)

// Actions, sent by the adapter in reply.
const (
	actionWithdraw       = "PULL" // flag 1 withdraws a server, flag 0 restores it
	actionSetWeight      = "SET_WEIGHT"
	actionAdmissionLevel = "RATION"
	actionAssignTable    = "SUBSCRIBE_TO"
	actionBarrier        = "CHECKPOINT"
	actionHealthCheck    = "PING"
	actionSubscribe      = "LISTEN"
	actionSetTimer       = "SLEEP"
	actionLog            = "JOURNAL_LINE"
	actionInternalError  = "INTERNAL_ERROR"
)

// Field names of the events. Values are positional, in the order that the protocol's documentation gives; the names
// appear only in errors.
const (
	fieldInstance   = "who"
	fieldSeed       = "salt"
	fieldSettings   = "setup"
	fieldScope      = "scope"
	fieldVersion    = "serial" // version of a list; in a barrier acknowledgement, the number of the barrier
	fieldEntries    = "records"
	fieldTimer      = "label"
	fieldServer     = "worker"
	fieldResult     = "code"
	fieldElapsed    = "elapsedUs"
	fieldLoad       = "pressure"
	fieldRate       = "part" // rate of a proxy; in a list or table, the weight of an endpoint
	fieldFlag       = "flag"
	fieldProxy      = "sidecar"
	fieldZone       = "dc"
	fieldFailed     = "failed"
	fieldCount      = "many"
	fieldInterval   = "spanUs"
	fieldClass      = "kind"
	fieldTable      = "sheet"
	fieldSender     = "originPeer"
	fieldPayload    = "data"
	fieldCell       = "unitGroup"
	fieldStarted    = "lastStartUs"
	fieldState      = "health"
	fieldShape      = "shape"
	fieldClock      = "clock"
	fieldMessage    = "message"
	fieldWeight     = fieldRate
	fieldBarrier    = fieldVersion
	loadOutstanding = "outstanding" // the only value of a load report that decisions use
)

// Scopes of an endpoint list event.
const (
	scopeChanges  = "Partial"
	scopeComplete = "Complete"
	scopeCached   = "Persisted"
	scopeError    = "Error"
)

var endpointListScopes = []string{scopeChanges, scopeComplete, scopeCached, scopeError}

// wireName maps a word of the protocol to the value that it stands for.
type wireName[T any] struct {
	name  string
	value T
}

var endpointStates = []wireName[balancer.ServerState]{
	{"ready", balancer.Ready},
	{"draining", balancer.Draining},
	{"gone", balancer.Removed},
}

var healthCheckResults = []wireName[balancer.HealthCheckResult]{
	{"delivered", balancer.HealthCheckPassed},
	{"app_error", balancer.HealthCheckInvalid},
	{"shed", balancer.HealthCheckRejected},
	{"expired", balancer.HealthCheckTimedOut},
	{"dial_failed", balancer.HealthCheckUnreachable},
	{"dropped", balancer.HealthCheckTimedOut},
	{"revoked", balancer.HealthCheckTimedOut},
	{"unused", balancer.HealthCheckTimedOut},
}
