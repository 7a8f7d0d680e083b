package node

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/balancer"
)

// healthCheckTarget is a server to check, and the address that it listens on.
type healthCheckTarget struct {
	server  balancer.ServerID
	address string
}

// runHealthChecks makes the requested health checks one after another until the manager ends. Several goroutines run it,
// so that a server that doesn't answer doesn't delay the other checks.
func (r *receiver) runHealthChecks(targets <-chan healthCheckTarget, path string) {
	for {
		select {
		case <-r.stop:
			return
		case target := <-targets:
			if !r.checkAndReport(target, path) {
				return
			}
		}
	}
}

// checkAndReport checks a server and passes the result to the router. It returns false once the manager ends.
func (r *receiver) checkAndReport(target healthCheckTarget, path string) bool {
	r.metrics.add(healthChecksSent, 1)
	result, sent := r.checkOnce(target, path)
	if !sent {
		r.metrics.add(healthChecksDropped, 1)
		r.metrics.logLimited("health_check_not_sent", "server", string(target.server), "error", "no descriptor or port is left")
		return true
	}
	if result.outcome == balancer.HealthCheckPassed {
		r.metrics.add(healthChecksPassed, 1)
	} else {
		r.metrics.add(healthChecksFailed, 1)
	}
	return r.enqueue(result)
}

// checkOnce sends a health check to a server. Where servers report their load, the response also states it. The returned
// sent is false if this process lacked the resources to connect.
func (r *receiver) checkOnce(target healthCheckTarget, path string) (result healthCheckResult, sent bool) {
	result = healthCheckResult{server: target.server, address: target.address, outcome: balancer.HealthCheckTimedOut, inFlight: -1}
	startedAt := time.Now()
	defer func() { result.latency = time.Since(startedAt) }()
	conn, err := dial(context.Background(), r.limits, target.address, r.limits.HealthCheckTimeout)
	if err != nil {
		result.outcome = balancer.HealthCheckUnreachable
		return result, !isLocalFailure(err)
	}
	defer conn.Close()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + target.address + path)
	request.SetConnectionClose()
	client := newClient(r.limits, target.address, conn, false)
	err = recoverPanic(r.metrics, "health_check", func() error { return client.Do(request, response) })
	switch status := response.StatusCode(); {
	case err != nil && conn.readErr == nil:
		result.outcome = balancer.HealthCheckInvalid // something other than a server answers at the address
	case err != nil: // no complete response: HealthCheckTimedOut
	case status == fasthttp.StatusOK:
		result.outcome = balancer.HealthCheckPassed
		result.inFlight, _ = parseLoad(strings.TrimPrefix(string(response.Body()), "TEXT "), ",", "=", r.decoder.maxRequests)
	case status == fasthttp.StatusServiceUnavailable:
		result.outcome = balancer.HealthCheckRejected
	default:
		result.outcome = balancer.HealthCheckInvalid
	}
	return result, true
}
