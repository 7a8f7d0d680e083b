package loadtest

import (
	"context"
	"sync"
	"time"

	"tamarindshore/internal/fakes"
)

const (
	drainInterval     = 100 * time.Millisecond
	drainsInProgress  = 10 // a server comes back after so many more have begun to drain: a second
	serverStride      = 7  // between servers that drain one after another
	reconnectInterval = 20 * time.Millisecond
	proxyStride       = 13 // between proxies that reconnect one after another
	checkInterval     = 100 * time.Millisecond
)

// churn changes a deployment over and over: servers drain and come back, and proxies disconnect and connect. The rules
// are checked meanwhile.
type churn struct {
	deployment *fakes.Deployment
	observer   *observer
	cancel     context.CancelFunc
	workers    sync.WaitGroup
}

// startChurn changes a deployment until stop.
func startChurn(d *fakes.Deployment, o *observer) *churn {
	c, ctx := newChurn(d, o)
	c.repeat(ctx, drainInterval, c.drainNext)
	c.repeat(ctx, reconnectInterval, c.reconnectNext)
	c.repeat(ctx, checkInterval, c.checkRules)
	return c
}

// startChecks checks the rules of a deployment until stop, and changes nothing.
func startChecks(d *fakes.Deployment) *churn {
	c, ctx := newChurn(d, nil)
	c.repeat(ctx, checkInterval, c.checkRules)
	return c
}

// newChurn is a churn that does nothing yet, and the context of its workers.
func newChurn(d *fakes.Deployment, o *observer) (*churn, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	return &churn{deployment: d, observer: o, cancel: cancel}, ctx
}

// stop ends the workers and waits for them.
func (c *churn) stop() {
	c.cancel()
	c.workers.Wait()
}

// repeat calls a function at an interval, with how often it was called before, until the context ends.
func (c *churn) repeat(ctx context.Context, interval time.Duration, do func(n int)) {
	c.workers.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				do(n)
			}
		}
	})
}

// drainNext lets the next server drain, and one that has drained come back.
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

// reconnectNext lets the next proxy disconnect and connect.
func (c *churn) reconnectNext(n int) {
	proxy := n * proxyStride % c.deployment.Site.Proxies
	c.deployment.Relay.DisconnectProxies(proxy)
	c.observer.expectAssignment(proxy)
	c.deployment.Relay.ConnectProxies(proxy)
}

// checkRules checks the relay's state, and that no drained server still gets requests.
func (c *churn) checkRules(int) {
	relay := c.deployment.Relay
	relay.CheckState()
	relay.Rules.CheckDrains(time.Now(), func(server string) bool { return relay.RequestRate(server) > 0 })
}
