// Package fakes provides stand-ins on loopback for everything that a manager communicates with: discovery, the relay with
// its proxies, and servers. They follow the platform's documentation, fail as a test requests, and count the requests and
// commands that they receive. RuleChecker checks the platform's five rules on them. The package makes none of the
// manager's decisions and connects to nothing beyond loopback. The daemon must never import it.
package fakes

import (
	"fmt"
	"time"
)

// Idempotency values of a traffic class on the wire.
const (
	idempotent = "idempotent"
	atMostOnce = "at_most_once"
)

// TrafficClass describes a class of requests and its limits.
type TrafficClass struct {
	Name             string
	LatencyObjective time.Duration
	Deadline         time.Duration
	PriorityWeight   float64
	Idempotency      string  // "idempotent", "deduplicated" or "at_most_once"
	TrafficShare     float64 // share of all requests that are of this class
}

// Site holds the size, the traffic and the limits of a deployment.
type Site struct {
	Zones          []string
	TrafficClasses []TrafficClass
	Servers        int
	Proxies        int
	RequestRate    float64 // requests per second at each proxy
	ServerCapacity float64 // requests per second that a warm server can handle

	CommandsPerSecond float64
	QueueCapacity     float64 // maximum total size of the queued messages, in commands
	MessageOverhead   float64 // size of a message in addition to its commands, as a number of commands
	MaxMessages       int     // maximum number of messages to one proxy within MessageWindow; 0 means no limit
	MessageWindow     time.Duration

	ColdCapacity     float64 // capacity of a server that has just started, as a share of ServerCapacity
	WarmUpDuration   time.Duration
	OverloadFactor   float64       // a warming server is overloaded above this multiple of its current capacity
	OverloadDuration time.Duration // an overload that lasts this long is a violation
	DrainGracePeriod time.Duration // how long proxies may still send to a server that drains or was removed
	EmptyTableLimit  time.Duration // how long a proxy may have no usable server
}

// The channel of a default site sends channelCommandsPerProxy commands per second for each proxy, but at least
// minChannelCommands.
const (
	minChannelCommands      = 8600
	channelCommandsPerProxy = 10
)

// DefaultSite returns a site whose servers have twice the capacity that the requests of its proxies need.
func DefaultSite(servers, proxies int) Site {
	const requestRate = 4.0
	const spareCapacity = 2.0
	commands := max(minChannelCommands, channelCommandsPerProxy*float64(proxies))
	return Site{
		Zones: []string{"a", "b", "c"},
		TrafficClasses: []TrafficClass{
			{"quote", 2 * time.Second, 6 * time.Second, 1, idempotent, 0.8},
			{"book", time.Second, 4 * time.Second, 3, atMostOnce, 0.2},
		},
		Servers:           servers,
		Proxies:           proxies,
		RequestRate:       requestRate,
		ServerCapacity:    requestRate * float64(proxies) / float64(servers) * spareCapacity,
		CommandsPerSecond: commands,
		QueueCapacity:     commands,
		MessageOverhead:   4,
		ColdCapacity:      0.15,
		WarmUpDuration:    16 * time.Second,
		OverloadFactor:    3,
		OverloadDuration:  2 * time.Second,
		DrainGracePeriod:  1500 * time.Millisecond,
		EmptyTableLimit:   3 * time.Second,
	}
}

// Zone returns the zone of the n-th server or proxy.
func (s Site) Zone(n int) string { return s.Zones[n%len(s.Zones)] }

// capacityAtAge returns the requests per second that a warming server can handle at an age below WarmUpDuration.
func (s Site) capacityAtAge(age time.Duration) float64 {
	progress := max(0, age.Seconds()) / s.WarmUpDuration.Seconds()
	return s.ServerCapacity * (s.ColdCapacity + (1-s.ColdCapacity)*progress)
}

// ServerID returns the ID of the n-th server. IDs are not in the order of n.
func ServerID(n int) string {
	const multiplier = 2654435761 // odd, so that numbers below 2^20 have distinct products modulo 2^20
	return fmt.Sprintf("s-%05x", uint32(n)*multiplier&0xfffff)
}
