package node

import (
	"time"

	"tamarindshore/balancer"
)

// The inputs of the module's owner, in the form that it takes them.
type (
	collectorName         struct{ zone balancer.ZoneID }
	loadReport            struct{ balancer.LoadReport }
	usageReport           struct{ balancer.UsageReport }
	proxyEventsOpened     struct{} // all proxies that are joined follow
	proxySnapshotComplete struct{} // they have been told
	proxyConnected        struct {
		proxy       balancer.ProxyID
		zone        balancer.ZoneID
		requestRate float64
	}
	proxyDisconnected struct{ proxy balancer.ProxyID }
	barrierAck        struct {
		proxy   balancer.ProxyID
		barrier balancer.BarrierID
	}
	endpointList struct {
		generation int64
		snapshot   bool // the whole list, not changes of it
		complete   bool // nothing before its generation is missing
		stored     bool // the store kept it
		entries    []balancer.Endpoint
		addresses  map[balancer.ServerID]string
		instances  []instance // as discovery told them
	}
	endpointListFailed struct{}
	healthCheckResult  struct {
		server   balancer.ServerID
		address  string
		outcome  balancer.HealthCheckResult
		latency  time.Duration
		inFlight float64
	}
	resendRequest struct {
		commands        balancer.Commands
		barrier         balancer.BarrierID
		mayHaveExecuted bool // the first of it may have been carried out
		reply           chan<- resendReply
	}
	resendReply   struct{ allowed, deferred balancer.Commands }
	callCompleted struct {
		barrier  balancer.BarrierID // what was ordered up to it is in the channel
		complete bool               // and nothing of it was refused
	}
	routerCall func(r *router) // of staff, done by the owner of the module
)
