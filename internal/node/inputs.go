package node

import (
	"time"

	"tamarindshore/balancer"
)

// input is an event that the router handles. There are no implementations but the types in this file and the samples of
// collectors in collector_messages.go.
type input interface {
	// handleBy calls the router's handler for the input's type. It is called in the router's goroutine.
	handleBy(r *router)
}

// proxyEvent is an input that comes from the relay's event stream.
type proxyEvent interface {
	input
	counter() counter
}

// proxyEventsOpened reports that the relay's event stream has opened. A proxyConnected follows for each connected proxy.
type proxyEventsOpened struct{}

// proxySnapshotComplete reports that all connected proxies have been announced since proxyEventsOpened.
type proxySnapshotComplete struct{}

// proxyConnected reports that a proxy is connected to the relay.
type proxyConnected struct {
	proxy       balancer.ProxyID
	zone        balancer.ZoneID
	requestRate float64 // expected from the proxy, requests per second
}

// proxyDisconnected reports that a proxy has disconnected from the relay.
type proxyDisconnected struct{ proxy balancer.ProxyID }

// barrierAck is a proxy's acknowledgement that it applied all commands up to a barrier.
type barrierAck struct {
	proxy   balancer.ProxyID
	barrier balancer.BarrierID
}

// endpointList is the list of servers, or changes to it.
type endpointList struct {
	version   int64
	snapshot  bool // the complete list, not changes to it
	complete  bool // no change before this version is missing
	stored    bool // read from the store
	entries   []balancer.Endpoint
	addresses map[balancer.ServerID]string
	instances []instance // as discovery sent them
}

// endpointListFailed reports that a requested watch of the endpoint list has ended.
type endpointListFailed struct{}

// healthCheckResult is the outcome of one health check.
type healthCheckResult struct {
	server   balancer.ServerID
	address  string // the address that was checked
	outcome  balancer.HealthCheckResult
	latency  time.Duration
	inFlight float64 // in-flight requests that the server reports; -1 if it does not report them
}

// resendRequest asks which commands of a failed or split call may be sent now.
type resendRequest struct {
	commands        balancer.Commands
	barrier         balancer.BarrierID // barrier of the call
	mayHaveExecuted bool               // the commands under the barrier may have been carried out
	reply           chan<- resendReply
}

// resendReply answers a resendRequest.
type resendReply struct {
	allowed  balancer.Commands // to be sent now
	deferred balancer.Commands // to be sent later
}

// callCompleted reports that the accepted commands of a call are in the relay's channel.
type callCompleted struct {
	barrier  balancer.BarrierID // barrier of the call
	complete bool               // all commands up to the barrier were accepted
}

// routerCall is a function that runs in the router's goroutine to carry out an operator's command.
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
