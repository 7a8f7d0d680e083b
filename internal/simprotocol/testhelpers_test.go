package simprotocol

import (
	"time"

	"tamarindshore/balancer"
)

// recorder is a manager that notes its calls, and answers each with the commands that it was given.
type recorder struct {
	calls   []any
	replies balancer.Commands
}

// The calls that a recorder notes.
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

func (r *recorder) note(call any) balancer.Commands {
	r.calls = append(r.calls, call)
	return r.replies
}

func (r *recorder) HandleEndpointList(now time.Duration, complete bool, entries []balancer.Endpoint) balancer.Commands {
	return r.note(endpointListCall{now, complete, entries})
}

func (r *recorder) HandleEndpointListError(now time.Duration) balancer.Commands {
	return r.note(endpointListErrorCall{now})
}

func (r *recorder) HandleHealthCheck(now time.Duration, server balancer.ServerID, result balancer.HealthCheckResult,
	took time.Duration, load float64) balancer.Commands {
	return r.note(healthCheckCall{now, server, result, took, load})
}

func (r *recorder) HandleProxyConnected(now time.Duration, proxy balancer.ProxyID, zone balancer.ZoneID,
	rate float64) balancer.Commands {
	return r.note(proxyConnectedCall{now, proxy, zone, rate})
}

func (r *recorder) HandleProxyDisconnected(now time.Duration, proxy balancer.ProxyID) balancer.Commands {
	return r.note(proxyDisconnectedCall{now, proxy})
}

func (r *recorder) HandleLoadReport(now time.Duration, report balancer.LoadReport) balancer.Commands {
	return r.note(loadReportCall{now, report})
}

func (r *recorder) HandleUsageReport(now time.Duration, usage balancer.UsageReport) balancer.Commands {
	return r.note(usageReportCall{now, usage})
}

func (r *recorder) HandleBarrierAck(now time.Duration, proxy balancer.ProxyID, barrier balancer.BarrierID) balancer.Commands {
	return r.note(barrierAckCall{now, proxy, barrier})
}

func (r *recorder) HandleCommandsSent(now time.Duration, barrier balancer.BarrierID) {
	r.note(commandsSentCall{now, barrier})
}

func (r *recorder) HandleTimer(now time.Duration) balancer.Commands { return r.note(timerCall{now}) }
