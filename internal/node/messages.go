package node

import (
	"time"

	"tamarindshore/choice"
)

// The inputs of the module's owner, in the form that it takes them.
type (
	collector  struct{ zone choice.ZoneID }
	heard      struct{ choice.Report }
	used       struct{ choice.Usage }
	newsOpened struct{} // all proxies that are joined follow
	newsStands struct{} // they have been told
	joined     struct {
		proxy choice.ProxyID
		zone  choice.ZoneID
		rate  float64
	}
	left    struct{ proxy choice.ProxyID }
	applied struct {
		proxy choice.ProxyID
		mark  choice.MarkID
	}
	listed struct {
		generation int64
		snapshot   bool // the whole list, not changes of it
		complete   bool // nothing before its generation is missing
		stored     bool // the store kept it
		entries    []choice.Entry
		addresses  map[choice.ServerID]string
		instances  []instance // as discovery told them
	}
	listFailed struct{}
	probed     struct {
		server  choice.ServerID
		address string
		answer  choice.Answer
		took    time.Duration
		load    float64
	}
	again struct {
		orders  choice.Orders
		from    choice.MarkID
		carried bool // the first of it may have been carried out
		reply   chan<- later
	}
	later   struct{ now, rest choice.Orders }
	settled struct {
		mark choice.MarkID // what was ordered up to it is in the channel
		all  bool          // and nothing of it was refused
	}
	command func(r *router) // of staff, done by the owner of the module
)
