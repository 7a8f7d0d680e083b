// Package fakes holds stand-ins of all that a manager meets, on loopback: discovery, the relay with its proxies, and
// servers, written from the platform's pages. They behave and fail as a test has them, and count what reaches them;
// RuleChecker judges that by the platform's five rules. The daemon must never import it. It decides nothing that the
// manager decides, and reaches nothing beyond loopback.
package fakes

import (
	"fmt"
	"time"
)

// Idempotency of a class, as the platform names it.
const (
	idempotent = "idempotent"
	atMostOnce = "at_most_once"
)

// TrafficClass is a class of requests of a site.
type TrafficClass struct {
	Name             string
	LatencyObjective time.Duration
	Deadline         time.Duration
	PriorityWeight   float64
	Idempotency      string  // idempotent, deduplicated or at_most_once
	TrafficShare     float64 // of all requests
}

// Site is a deployment's size, traffic and limits.
type Site struct {
	Zones          []string
	TrafficClasses []TrafficClass
	Servers        int
	Proxies        int
	RequestRate    float64 // requests per second at each proxy
	ServerCapacity float64 // requests per second of a warm server

	ChannelLinesPerSecond float64
	ChannelQueueLines     float64 // that may wait
	MessageHeaderLines    float64 // that each message costs beside its own
	MaxMessages           int     // to one proxy within MessageWindow; 0: no limit
	MessageWindow         time.Duration

	InitialCapacityShare float64 // of a server that has just started
	WarmUpDuration       time.Duration
	OverloadFactor       float64 // more than this multiple of a warming server's capacity is too much
	OverloadDuration     time.Duration
	DrainGracePeriod     time.Duration
	EmptyTableLimit      time.Duration // that a proxy may be without a server to pick
}

// Least lines per second of a default site's channel, and what each proxy adds where that is more.
const (
	leastChannelLines    = 8600
	channelLinesPerProxy = 10
)

// DefaultSite is a site with some servers and proxies, and room to spare.
func DefaultSite(servers, proxies int) Site {
	const requestRate = 4.0
	const spareCapacity = 2.0
	lines := max(leastChannelLines, channelLinesPerProxy*float64(proxies))
	return Site{
		Zones: []string{"a", "b", "c"},
		TrafficClasses: []TrafficClass{
			{"quote", 2 * time.Second, 6 * time.Second, 1, idempotent, 0.8},
			{"book", time.Second, 4 * time.Second, 3, atMostOnce, 0.2},
		},
		Servers:               servers,
		Proxies:               proxies,
		RequestRate:           requestRate,
		ServerCapacity:        requestRate * float64(proxies) / float64(servers) * spareCapacity,
		ChannelLinesPerSecond: lines,
		ChannelQueueLines:     lines,
		MessageHeaderLines:    4,
		InitialCapacityShare:  0.15,
		WarmUpDuration:        16 * time.Second,
		OverloadFactor:        3,
		OverloadDuration:      2 * time.Second,
		DrainGracePeriod:      1500 * time.Millisecond,
		EmptyTableLimit:       3 * time.Second,
	}
}

// Zone is the zone of the n-th server or proxy.
func (s Site) Zone(n int) string { return s.Zones[n%len(s.Zones)] }

// capacityAtAge is the capacity of a server some time after its start, until it is warm.
func (s Site) capacityAtAge(age time.Duration) float64 {
	progress := max(0, age.Seconds()) / s.WarmUpDuration.Seconds()
	return s.ServerCapacity * (s.InitialCapacityShare + (1-s.InitialCapacityShare)*progress)
}

// ServerID is the id of the n-th server. Ids carry no order.
func ServerID(n int) string {
	const multiplier = 2654435761 // odd, so that distinct numbers have distinct products
	return fmt.Sprintf("s-%05x", uint32(n)*multiplier&0xfffff)
}
