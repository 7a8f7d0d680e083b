package loadtest

import (
	"context"
	"sync"
	"time"

	"tamarindshore/internal/fakes"
)

const (
	drainInterval     = 100 * time.Millisecond
	drainsInProgress  = 10 // number of servers that drain at the same time, so each returns after one second
	serverStride      = 7  // distance in the server list between consecutive drains
	reconnectInterval = 20 * time.Millisecond
	proxyStride       = 13 // distance between the IDs of consecutively reconnected proxies
	checkInterval     = 100 * time.Millisecond
)

// churn runs the background workers of a test. They drain and return servers, reconnect proxies, and check the rules.
type churn struct {
	deployment *fakes.Deployment
	observer   *observer
	cancel     context.CancelFunc
	workers    sync.WaitGroup
}

// startChurn drains servers, reconnects proxies and checks the rules until stop is called.
func startChurn(d *fakes.Deployment, o *observer) *churn {
	c, ctx := newChurn(d, o)
	c.repeat(ctx, drainInterval, c.drainNext)
	c.repeat(ctx, reconnectInterval, c.reconnectNext)
	c.repeat(ctx, checkInterval, c.checkRules)
	return c
}

// startRuleChecks checks the rules of a deployment until stop is called, without changing the deployment.
func startRuleChecks(d *fakes.Deployment) *churn {
	c, ctx := newChurn(d, nil)
	c.repeat(ctx, checkInterval, c.checkRules)
	return c
}

// newChurn returns a churn without workers, and the context for its workers.
func newChurn(d *fakes.Deployment, o *observer) (*churn, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	return &churn{deployment: d, observer: o, cancel: cancel}, ctx
}

// stop stops the workers and waits for them.
func (c *churn) stop() {
	c.cancel()
	c.workers.Wait()
}

// repeat starts a worker that calls a function at an interval until the context ends. n is the number of earlier calls.
func (c *churn) repeat(ctx context.Context, interval time.Duration, action func(n int)) {
	c.workers.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				action(n)
			}
		}
	})
}

// drainNext publishes a drain of the next server and the return of the one that was drained drainsInProgress calls ago.
func (c *churn) drainNext(n int) {
	servers := c.deployment.Servers
	draining := servers[n*serverStride%len(servers)]
	c.observer.expectWithdrawal(draining.ID)
	endpoints := []fakes.Endpoint{draining.Entry("draining")}
	if n >= drainsInProgress {
		returning := servers[(n-drainsInProgress)*serverStride%len(servers)]
		if returning != draining {
			endpoints = append(endpoints, returning.Entry("up"))
		}
	}
	c.deployment.Discovery.Publish(endpoints...)
}

// reconnectNext disconnects the next proxy and connects it again.
func (c *churn) reconnectNext(n int) {
	proxy := n * proxyStride % c.deployment.Site.Proxies
	c.deployment.Relay.DisconnectProxies(proxy)
	c.observer.expectAssignment(proxy)
	c.deployment.Relay.ConnectProxies(proxy)
}

// checkRules checks the relay's state and that drained servers get no requests after the grace period.
func (c *churn) checkRules(int) {
	relay := c.deployment.Relay
	relay.CheckState()
	relay.Rules.CheckDrains(time.Now(), func(server string) bool { return relay.RequestRate(server) > 0 })
}
