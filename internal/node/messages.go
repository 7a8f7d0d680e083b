package node

import (
	"time"

	"tamarindshore/balancer"
)

// The inputs of the module's owner, in the form that it takes them.
type (
	collectorName struct{ zone balancer.ZoneID }
	serverReport  struct{ balancer.LoadReport }
	usageReport   struct{ balancer.UsageReport }
	newsOpened    struct{} // all proxies that are joined follow
	newsComplete  struct{} // they have been told
	proxyJoined   struct {
		proxy balancer.ProxyID
		zone  balancer.ZoneID
		rate  float64
	}
	proxyLeft   struct{ proxy balancer.ProxyID }
	markApplied struct {
		proxy balancer.ProxyID
		mark  balancer.BarrierID
	}
	serverList struct {
		generation int64
		snapshot   bool // the whole list, not changes of it
		complete   bool // nothing before its generation is missing
		stored     bool // the store kept it
		entries    []balancer.Endpoint
		addresses  map[balancer.ServerID]string
		instances  []instance // as discovery told them
	}
	listFailed  struct{}
	probeResult struct {
		server  balancer.ServerID
		address string
		answer  balancer.HealthCheckResult
		took    time.Duration
		load    float64
	}
	resendRequest struct {
		orders  balancer.Commands
		from    balancer.BarrierID
		carried bool // the first of it may have been carried out
		reply   chan<- resendReply
	}
	resendReply struct{ now, rest balancer.Commands }
	callSettled struct {
		mark balancer.BarrierID // what was ordered up to it is in the channel
		all  bool               // and nothing of it was refused
	}
	command func(r *router) // of staff, done by the owner of the module
)
