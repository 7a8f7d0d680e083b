package simprotocol

import (
	"time"

	"tamarindshore/balancer"
)

// recordingManager is a fake manager that records its calls and returns the same commands from each of them.
type recordingManager struct {
	calls    []any
	commands balancer.Commands
}

// Calls that a recordingManager records, with their arguments.
type (
	endpointListCall struct {
		now      time.Duration
		complete bool
		entries  []balancer.Endpoint
	}
	endpointListErrorCall struct{ now time.Duration }
	healthCheckCall       struct {
		now    time.Duration
		server balancer.ServerID
		result balancer.HealthCheckResult
		took   time.Duration
		load   float64
	}
	proxyConnectedCall struct {
		now   time.Duration
		proxy balancer.ProxyID
		zone  balancer.ZoneID
		rate  float64
	}
	proxyDisconnectedCall struct {
		now   time.Duration
		proxy balancer.ProxyID
	}
	loadReportCall struct {
		now    time.Duration
		report balancer.LoadReport
	}
	usageReportCall struct {
		now   time.Duration
		usage balancer.UsageReport
	}
	barrierAckCall struct {
		now     time.Duration
		proxy   balancer.ProxyID
		barrier balancer.BarrierID
	}
	commandsSentCall struct {
		now     time.Duration
		barrier balancer.BarrierID
	}
	timerCall struct{ now time.Duration }
)

func (r *recordingManager) record(call any) balancer.Commands {
	r.calls = append(r.calls, call)
	return r.commands
}

func (r *recordingManager) HandleEndpointList(now time.Duration, complete bool, entries []balancer.Endpoint) balancer.Commands {
	return r.record(endpointListCall{now, complete, entries})
}

func (r *recordingManager) HandleEndpointListError(now time.Duration) balancer.Commands {
	return r.record(endpointListErrorCall{now})
}

func (r *recordingManager) HandleHealthCheck(now time.Duration, server balancer.ServerID, result balancer.HealthCheckResult,
	took time.Duration, load float64) balancer.Commands {
	return r.record(healthCheckCall{now, server, result, took, load})
}

func (r *recordingManager) HandleProxyConnected(now time.Duration, proxy balancer.ProxyID, zone balancer.ZoneID,
	rate float64) balancer.Commands {
	return r.record(proxyConnectedCall{now, proxy, zone, rate})
}

func (r *recordingManager) HandleProxyDisconnected(now time.Duration, proxy balancer.ProxyID) balancer.Commands {
	return r.record(proxyDisconnectedCall{now, proxy})
}

func (r *recordingManager) HandleLoadReport(now time.Duration, report balancer.LoadReport) balancer.Commands {
	return r.record(loadReportCall{now, report})
}

func (r *recordingManager) HandleUsageReport(now time.Duration, usage balancer.UsageReport) balancer.Commands {
	return r.record(usageReportCall{now, usage})
}

func (r *recordingManager) HandleBarrierAck(now time.Duration, proxy balancer.ProxyID, barrier balancer.BarrierID) balancer.Commands {
	return r.record(barrierAckCall{now, proxy, barrier})
}

func (r *recordingManager) HandleCommandsSent(now time.Duration, barrier balancer.BarrierID) {
	r.record(commandsSentCall{now, barrier})
}

func (r *recordingManager) HandleTimer(now time.Duration) balancer.Commands {
	return r.record(timerCall{now})
}
