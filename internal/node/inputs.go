package node

import (
	"time"

	"tamarindshore/balancer"
)

// input is one thing that the router handles. The set is closed: it is the types of this file. A collector's messages
// are inputs where they are samples.
type input interface {
	// handleBy hands the input to the router's handler for its type. It is called in the router's goroutine.
	handleBy(r *router)
}

// proxyEvent is an input that the relay's event stream tells.
type proxyEvent interface {
	input
	counter() counter
}

// proxyEventsOpened says that the relay's event stream has opened. All connected proxies follow, as proxyConnected.
type proxyEventsOpened struct{}

// proxySnapshotComplete says that all connected proxies have been notified since proxyEventsOpened.
type proxySnapshotComplete struct{}

// proxyConnected says that a proxy is connected to the relay.
type proxyConnected struct {
	proxy       balancer.ProxyID
	zone        balancer.ZoneID
	requestRate float64 // expected of the proxy, requests a second
}

// proxyDisconnected says that a proxy has left the relay.
type proxyDisconnected struct{ proxy balancer.ProxyID }

// barrierAck is a proxy's answer that it applied all commands up to a barrier.
type barrierAck struct {
	proxy   balancer.ProxyID
	barrier balancer.BarrierID
}

// endpointList is the list of servers, or changes of it.
type endpointList struct {
	generation int64
	snapshot   bool // the complete list, not changes of it
	complete   bool // nothing before its generation is missing
	stored     bool // it was read from the store
	entries    []balancer.Endpoint
	addresses  map[balancer.ServerID]string
	instances  []instance // as discovery sent them
}

// endpointListFailed says that a requested watch of the endpoint list has ended.
type endpointListFailed struct{}

// healthCheckResult is the outcome of one health check.
type healthCheckResult struct {
	server   balancer.ServerID
	address  string // that was checked
	outcome  balancer.HealthCheckResult
	latency  time.Duration
	inFlight float64 // requests that the server reports in flight; -1: it reports none
}

// resendRequest asks which commands of a failed or split call go out now.
type resendRequest struct {
	commands        balancer.Commands
	barrier         balancer.BarrierID // of the call
	mayHaveExecuted bool               // the first of the commands may have been carried out
	reply           chan<- resendReply
}

// resendReply answers a resendRequest.
type resendReply struct {
	allowed  balancer.Commands // go out now
	deferred balancer.Commands // have to wait
}

// callCompleted says that the commands up to a barrier are in the relay's channel.
type callCompleted struct {
	barrier  balancer.BarrierID
	complete bool // none of them was rejected
}

// routerCall is a function that runs in the router's goroutine, on behalf of an operator's command.
type routerCall func(r *router)

func (in proxyEventsOpened) handleBy(r *router)     { r.handleProxyEventsOpened() }
func (in proxySnapshotComplete) handleBy(r *router) { r.handleProxySnapshotComplete() }
func (in proxyConnected) handleBy(r *router)        { r.handleProxyConnected(in) }
func (in proxyDisconnected) handleBy(r *router)     { r.handleProxyDisconnected(in) }
func (in barrierAck) handleBy(r *router)            { r.handleBarrierAck(in) }
func (in endpointList) handleBy(r *router)          { r.handleEndpointList(in) }
func (in endpointListFailed) handleBy(r *router)    { r.handleEndpointListFailed() }
func (in healthCheckResult) handleBy(r *router)     { r.handleHealthCheckResult(in) }
func (in resendRequest) handleBy(r *router)         { r.handleResendRequest(in) }
func (in callCompleted) handleBy(r *router)         { r.handleCallCompleted(in) }
func (call routerCall) handleBy(r *router)          { call(r) }

func (proxyConnected) counter() counter    { return proxyConnects }
func (proxyDisconnected) counter() counter { return proxyDisconnects }
func (barrierAck) counter() counter        { return barrierAcks }
