package simprotocol

import "tamarindshore/balancer"

// Messages that frame a batch and its reply.
const (
	messageBatch    = "BATCH"
	messageBatchEnd = "EOF_BATCH"
	messageReplyEnd = "FINISHED"
	messageEndpoint = "M" // one entry of an endpoint list
)

// Events, which the simulator sends.
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

// Actions, which the adapter replies with.
const (
	actionWithdraw       = "PULL" // also restores, by its flag
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

// Fields of the events. Their values stand in the order that the protocol's page gives; the names appear in errors only.
const (
	fieldInstance   = "who"
	fieldSeed       = "salt"
	fieldSettings   = "setup"
	fieldScope      = "scope"
	fieldVersion    = "serial" // of a list; the number of a barrier in its acknowledgement
	fieldEntries    = "records"
	fieldTimer      = "label"
	fieldServer     = "worker"
	fieldResult     = "code"
	fieldElapsed    = "elapsedUs"
	fieldLoad       = "pressure"
	fieldRate       = "part" // of a proxy; the weight of an endpoint in a list or table
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
	loadOutstanding = "outstanding" // the value of a load report that the decisions use
)

// Scopes of an endpoint list.
const (
	scopeChanges  = "Partial"
	scopeComplete = "Complete"
	scopeCached   = "Persisted"
	scopeError    = "Error"
)

var endpointListScopes = []string{scopeChanges, scopeComplete, scopeCached, scopeError}

// wireName is a word on the wire and its value.
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
