// Package fleetmodel is a small fleet without sockets: servers, proxies and a relay as rates and delays, driven by the
// commands of the load balancing decisions on a clock of its own. It owns the inputs of a manager, and the effects
// of its commands. The same scenario, seed and decisions give the same run. It must never decide anything, nor be imported
// by the daemon.
package fleetmodel

import (
	"fmt"
	"time"

	"tamarindshore/balancer"
)

// Scenario says how large a fleet is and what happens to it.
type Scenario struct {
	Name    string
	Zones   int
	Servers int
	Proxies int

	RequestRate    float64 // requests a second at each proxy, of all classes
	ServerCapacity float64 // requests a second that a warm server serves

	DrainFraction float64       // of the servers, which drain and come back cold, one after another
	SlowFraction  float64       // of the servers, which run five times slower from a third of the run on
	SurgeFactor   float64       // on all requests, from a third of the run on; 0: none
	ChurnInterval time.Duration // between two proxies that leave, or connect again; 0: none

	RemovedMayServe bool // a removed server is not stopped: only draining binds
	AdmitByRate     bool // admission limits are rates, and not shares
	MaxMessages     int  // to one proxy within ten seconds; 0: no limit
}

const (
	warmUpDuration = 16 * time.Second
	coldCapacity   = 0.15 // of a server that just started, as a part of its capacity

	// The channel's capacity grows with the fleet, from that of a small one on.
	minChannelCommands      = 8600
	channelCommandsPerProxy = 8
)

// ClassFractions are the parts of the requests that the classes of TrafficClasses make up, by ClassID.
var ClassFractions = [...]float64{0.8, 0.2}

// TrafficClasses are the classes of a fleet: most requests are idempotent, and some are urgent and not idempotent.
func TrafficClasses() []balancer.TrafficClass {
	return []balancer.TrafficClass{
		{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3},
	}
}

// Settings are those of a manager of this scenario.
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

// ZoneID is the identifier of a zone, by number.
func ZoneID(zone int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprint("z", zone)) }
