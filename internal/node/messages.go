package node

import (
	"time"

	"tamarindshore/choice"
)

// The inputs of the module's owner, in the form that it takes them.
type (
	collectorName struct{ zone choice.ZoneID }
	serverReport  struct{ choice.Report }
	usageReport   struct{ choice.Usage }
	newsOpened    struct{} // all proxies that are joined follow
	newsComplete  struct{} // they have been told
	proxyJoined   struct {
		proxy choice.ProxyID
		zone  choice.ZoneID
		rate  float64
	}
	proxyLeft   struct{ proxy choice.ProxyID }
	markApplied struct {
		proxy choice.ProxyID
		mark  choice.MarkID
	}
	serverList struct {
		generation int64
		snapshot   bool // the whole list, not changes of it
		complete   bool // nothing before its generation is missing
		stored     bool // the store kept it
		entries    []choice.Entry
		addresses  map[choice.ServerID]string
		instances  []instance // as discovery told them
	}
	listFailed  struct{}
	probeResult struct {
		server  choice.ServerID
		address string
		answer  choice.Answer
		took    time.Duration
		load    float64
	}
	resendRequest struct {
		orders  choice.Orders
		from    choice.MarkID
		carried bool // the first of it may have been carried out
		reply   chan<- resendReply
	}
	resendReply struct{ now, rest choice.Orders }
	callSettled struct {
		mark choice.MarkID // what was ordered up to it is in the channel
		all  bool          // and nothing of it was refused
	}
	command func(r *router) // of staff, done by the owner of the module
)
