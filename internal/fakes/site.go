// Package fakes holds stand-ins of all that a manager meets: discovery, the relay with its proxies, collectors and
// servers, on loopback, written from the platform's pages. They do as they are told, break as they are told, and count
// what reaches them; rules.go judges that by the five rules. It must never be imported by the daemon, decide anything
// that the manager decides, or reach beyond loopback.
package fakes

import (
	"encoding/json"
	"fmt"
	"time"
)

// Group is a traffic group of a site.
type TrafficClass struct {
	Name                       string
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
	Idempotency                string  // idempotent, deduplicated or at_most_once
	TrafficShare               float64 // of all flows
}

// Site is what a deployment states, in the platform's units where it goes to the manager.
type Site struct {
	Zones          []string
	TrafficClasses []TrafficClass
	Servers        int
	Proxies        int
	RequestRate    float64 // flows a second at each proxy
	ServerCapacity float64 // flows a second of a warm server

	ChannelLinesPerSecond, ChannelQueueLines float64
	MessageHeaderLines                       float64
	MaxMessages                              int // to one proxy within MessagesOver; 0: no limit
	MessageWindow                            time.Duration
	InitialCapacityShare                     float64
	WarmUpDuration                           time.Duration
	OverloadFactor                           float64
	OverloadDuration                         time.Duration
	DrainGracePeriod                         time.Duration
	EmptyTableLimit                          time.Duration // that a proxy may be without a server to pick
}

// Usual is a site of so many servers and proxies with room to spare.
func DefaultSite(servers, proxies int) Site {
	lines := max(8600, 10*float64(proxies))
	return Site{
		Zones: []string{"a", "b", "c"}, Servers: servers, Proxies: proxies, RequestRate: 4,
		TrafficClasses: []TrafficClass{
			{"quote", 2 * time.Second, 6 * time.Second, 1, "idempotent", 0.8},
			{"book", time.Second, 4 * time.Second, 3, "at_most_once", 0.2},
		},
		ServerCapacity:        4 * float64(proxies) / float64(servers) * 2,
		ChannelLinesPerSecond: lines, ChannelQueueLines: lines, MessageHeaderLines: 4, InitialCapacityShare: 0.15, WarmUpDuration: 16 * time.Second,
		OverloadFactor: 3, OverloadDuration: 2 * time.Second, DrainGracePeriod: 1500 * time.Millisecond, EmptyTableLimit: 3 * time.Second,
	}
}

// Zone is that of a server or proxy by its number.
func (s Site) Zone(n int) string { return s.Zones[n%len(s.Zones)] }

// ServerID names a server by its number.
func ServerID(n int) string { return fmt.Sprintf("s-%05x", uint32(n)*2654435761&0xfffff) }

// Start is the manager's configuration file.
func (s Site) Start(name, listen, discovery, relay string, list EndpointList, seed uint64, cores, memoryMB float64, sockets int) []byte {
	type class struct {
		Name       string  `json:"name"`
		AimUs      int64   `json:"aimUs"`
		HardUs     int64   `json:"hardLimitUs"`
		Worth      float64 `json:"worth"`
		Repeat     string  `json:"repeat"`
		Everywhere string  `json:"group,omitempty"`
		WindowUs   int64   `json:"windowUs,omitempty"`
	}
	var classes []class
	for _, g := range s.TrafficClasses {
		classes = append(classes, class{Name: g.Name, AimUs: g.LatencyObjective.Microseconds(), HardUs: g.Deadline.Microseconds(), Worth: g.PriorityWeight, Repeat: g.Idempotency})
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": cores, "memory_mb": memoryMB, "sockets": sockets},
		"store":  map[string]any{"address": relay}, "known": list,
		"settings": map[string]any{
			"zones": s.Zones, "classes": classes, "report": map[string]any{"how": "piggyback"},
			"limits": map[string]any{"probing": true, "connIdleUs": 15_000_000},
			"domain": map[string]any{"egressPerS": s.ChannelLinesPerSecond, "envelope": s.MessageHeaderLines, "queueCap": s.ChannelQueueLines,
				"admit": "share", "proxies": s.Proxies, "usualHow": 1, "tryAims": 0.8, "lineFee": 0.02,
				"messagesMost": s.MaxMessages, "reloadSpanUs": s.MessageWindow.Microseconds()},
			"rules": map[string]any{"coldFrom": s.InitialCapacityShare, "warmAfterUs": s.WarmUpDuration.Microseconds(),
				"drainGraceUs": s.DrainGracePeriod.Microseconds(), "emptyForUs": s.EmptyTableLimit.Microseconds()},
		},
	}, "", " ")
	if err != nil {
		panic(err) // no value above can fail
	}
	return text
}
