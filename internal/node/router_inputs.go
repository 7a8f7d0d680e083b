package node

import (
	"maps"
	"slices"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
)

// This file contains the router's handlers of inputs.

// handleProxyEventsOpened starts a new snapshot of the connected proxies.
func (r *router) handleProxyEventsOpened() {
	r.unconfirmed = maps.Clone(r.proxies)
	r.onProxyEventsOpened()
}

// handleProxySnapshotComplete disconnects the proxies that were connected before the event stream opened and were not
// announced since: they left while the stream was interrupted.
func (r *router) handleProxySnapshotComplete() {
	for _, proxy := range slices.Sorted(maps.Keys(r.unconfirmed)) {
		r.handleProxyDisconnected(proxyDisconnected{proxy})
	}
	clear(r.unconfirmed)
}

// handleProxyConnected has the balancer assign a proxy to a table. A proxy that is announced again after an interruption
// of the event stream may have left and come back, so the balancer assigns it again.
func (r *router) handleProxyConnected(in proxyConnected) {
	delete(r.unconfirmed, in.proxy)
	r.proxies[in.proxy] = true
	r.addProxyToSubset(in)
	r.apply(r.manager.HandleProxyConnected(r.now, in.proxy, in.zone, in.requestRate))
}

func (r *router) handleProxyDisconnected(in proxyDisconnected) {
	delete(r.unconfirmed, in.proxy)
	if !r.proxies[in.proxy] {
		return
	}
	delete(r.proxies, in.proxy)
	r.removeProxyFromSubset(in)
	r.apply(r.manager.HandleProxyDisconnected(r.now, in.proxy))
}

func (r *router) handleBarrierAck(in barrierAck) {
	if !r.proxies[in.proxy] {
		r.metrics.add(unknownNames, 1)
		return
	}
	r.apply(r.manager.HandleBarrierAck(r.now, in.proxy, in.barrier))
}

// handleHealthCheckResult passes the outcome of a health check to the balancer. It drops the result if the server has
// another address by now.
func (r *router) handleHealthCheckResult(in healthCheckResult) {
	if r.addresses[in.server] != in.address {
		r.metrics.add(healthChecksDropped, 1)
		return
	}
	r.apply(r.manager.HandleHealthCheck(r.now, in.server, in.outcome, in.latency, in.inFlight))
}

func (r *router) handleCallCompleted(in callCompleted) {
	r.manager.HandleCommandsSent(r.now, in.barrier)
	if r.chain != nil && in.complete {
		r.chain.HandleBarrierAck(r.now, in.barrier)
	}
}

// handleResendRequest answers which commands of a call may be sent now. All commands that are queued or were decided since
// the last flush are merged behind them and count as part of the call.
func (r *router) handleResendRequest(in resendRequest) {
	r.flush()
	r.advanceClock()
	all := r.dropDisconnected(commands.Merge(append([]balancer.Commands{in.commands}, r.backlog.takeAll()...)...))
	allowed, barrier := r.manager.Resend(r.now, in.barrier, in.mayHaveExecuted, all)
	in.reply <- resendReply{
		allowed:  commands.KeepFirst(all, allowed, barrier),
		deferred: commands.SkipFirst(all, allowed),
	}
	r.advanceClock()
}

func (r *router) handleEndpointList(in endpointList) {
	if r.storeWriter != nil {
		r.storeWriter.saveList(in)
	}
	if r.subsetFilter != nil {
		r.applySubsetUpdate(r.subsetFilter.applyEndpointList(r.now, in))
		return
	}
	maps.Copy(r.addresses, in.addresses)
	r.apply(r.manager.HandleEndpointList(r.now, in.snapshot, in.entries))
	r.forgetAddresses()
}

// forgetAddresses drops the addresses of servers that the balancer no longer knows.
func (r *router) forgetAddresses() {
	maps.DeleteFunc(r.addresses, func(server balancer.ServerID, _ string) bool { return !r.manager.KnowsServer(server) })
}

func (r *router) handleLoadReport(in balancer.LoadReport) {
	if _, known := r.addresses[in.Server]; !known {
		r.metrics.add(r.unknownServerCounter(in.Server), 1)
		return
	}
	r.apply(r.manager.HandleLoadReport(r.now, in))
}

func (r *router) handleUsageReport(in balancer.UsageReport) {
	if !r.proxies[in.Proxy] {
		r.metrics.add(unknownNames, 1)
		return
	}
	r.apply(r.manager.HandleUsageReport(r.now, in))
}

func (r *router) handleEndpointListFailed() { r.apply(r.manager.HandleEndpointListError(r.now)) }
