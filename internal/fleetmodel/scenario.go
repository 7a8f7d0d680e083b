// Package fleetmodel models a small fleet in memory for tests of the load balancing decisions. It represents servers,
// proxies and a relay by rates and delays on a virtual clock, generates the inputs of a manager, and applies the effects
// of its commands. The same scenario, seed and decisions give the same run. The package must not make balancing decisions
// of its own, and the daemon must not import it.
package fleetmodel

import (
	"fmt"
	"time"

	"tamarindshore/balancer"
)

// Scenario describes the size of a fleet and the events of a run.
type Scenario struct {
	Name    string
	Zones   int
	Servers int
	Proxies int

	RequestRate    float64 // requests per second at each proxy, of all traffic classes
	ServerCapacity float64 // requests per second that a warm server can serve

	DrainFraction float64       // a fifth of this fraction of the servers takes a step of a rolling restart each second; 0: none
	SlowFraction  float64       // fraction of the servers that become five times slower after a third of the run
	SurgeFactor   float64       // factor on all request rates after a third of the run; 0: none
	ChurnInterval time.Duration // mean time between two disconnects or reconnects of proxies; 0: there are none

	RemovedMayServe bool // a removed server may still be running; only draining means that it must get no requests
	AdmitByRate     bool // admission limits are rates instead of shares
	MaxMessages     int  // limit of messages to one proxy within ten seconds; 0: no limit
}

const (
	warmUpDuration = 16 * time.Second
	coldCapacity   = 0.15 // capacity of a server that has just started, as a fraction of its warm capacity

	// The channel's capacity is proportional to the number of proxies, with a minimum for small fleets.
	minChannelCommands      = 8600
	channelCommandsPerProxy = 8
)

// ClassFractions holds each traffic class's fraction of the requests, by ClassID.
var ClassFractions = [...]float64{0.8, 0.2}

// TrafficClasses returns the traffic classes of a fleet: a large class of idempotent requests, and a small class of urgent
// requests that are not idempotent.
func TrafficClasses() []balancer.TrafficClass {
	return []balancer.TrafficClass{
		{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3},
	}
}

// Settings returns the settings of the scenario's manager.
func (s Scenario) Settings() balancer.Settings {
	channelCommands := max(minChannelCommands, channelCommandsPerProxy*float64(s.Proxies))
	settings := balancer.Settings{
		Classes:            TrafficClasses(),
		Proxies:            s.Proxies,
		RemovedMayServe:    s.RemovedMayServe,
		HealthChecks:       true,
		AdmissionUnit:      balancer.AdmitShare,
		DefaultRetryPolicy: balancer.RetryIfNotExecuted,
		IdleTimeout:        4 * time.Second,
		ColdCapacity:       coldCapacity,
		WarmUpDuration:     warmUpDuration,
		QueueCapacity:      channelCommands,
		CommandsPerSecond:  channelCommands,
		CommandPrice:       0.02,
		MessageOverhead:    4,
		MaxMessages:        s.MaxMessages,
		MessageWindow:      10 * time.Second,
	}
	if s.AdmitByRate {
		settings.AdmissionUnit = balancer.AdmitRate
	}
	for zone := range s.Zones {
		settings.Zones = append(settings.Zones, ZoneID(zone))
	}
	return settings
}

// ZoneID returns the identifier of the zone with the given index.
func ZoneID(zone int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprint("z", zone)) }
