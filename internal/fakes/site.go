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
type Group struct {
	Name           string
	Budget, Expiry time.Duration
	Utility        float64
	Repeat         string  // idempotent, deduplicated or at_most_once
	Part           float64 // of all flows
}

// Site is what a deployment states, in the platform's units where it goes to the manager.
type Site struct {
	Zones    []string
	Groups   []Group
	Servers  int
	Proxies  int
	Rate     float64 // flows a second at each proxy
	Capacity float64 // flows a second of a warm server

	LinesPerS, QueueLines float64
	HeadLines             float64
	MessagesMost          int // to one proxy within MessagesOver; 0: no limit
	MessagesOver          time.Duration
	ColdShare             float64
	WarmAfter             time.Duration
	OverloadFactor        float64
	OverloadFor           time.Duration
	DrainGrace            time.Duration
	BareFor               time.Duration // that a proxy may be without a server to pick
}

// Usual is a site of so many servers and proxies with room to spare.
func Usual(servers, proxies int) Site {
	lines := max(8600, 10*float64(proxies))
	return Site{
		Zones: []string{"a", "b", "c"}, Servers: servers, Proxies: proxies, Rate: 4,
		Groups: []Group{
			{"quote", 2 * time.Second, 6 * time.Second, 1, "idempotent", 0.8},
			{"book", time.Second, 4 * time.Second, 3, "at_most_once", 0.2},
		},
		Capacity:  4 * float64(proxies) / float64(servers) * 2,
		LinesPerS: lines, QueueLines: lines, HeadLines: 4, ColdShare: 0.15, WarmAfter: 16 * time.Second,
		OverloadFactor: 3, OverloadFor: 2 * time.Second, DrainGrace: 1500 * time.Millisecond, BareFor: 3 * time.Second,
	}
}

// Zone is that of a server or proxy by its number.
func (s Site) Zone(n int) string { return s.Zones[n%len(s.Zones)] }

// ServerID names a server by its number.
func ServerID(n int) string { return fmt.Sprintf("s-%05x", uint32(n)*2654435761&0xfffff) }

// Start is the manager's configuration file.
func (s Site) Start(name, listen, discovery, relay string, list List, seed uint64, cores, memoryMB float64, sockets int) []byte {
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
	for _, g := range s.Groups {
		classes = append(classes, class{Name: g.Name, AimUs: g.Budget.Microseconds(), HardUs: g.Expiry.Microseconds(), Worth: g.Utility, Repeat: g.Repeat})
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": cores, "memory_mb": memoryMB, "sockets": sockets},
		"store":  map[string]any{"address": relay}, "known": list,
		"settings": map[string]any{
			"zones": s.Zones, "classes": classes, "report": map[string]any{"how": "piggyback"},
			"limits": map[string]any{"probing": true, "connIdleUs": 15_000_000},
			"domain": map[string]any{"egressPerS": s.LinesPerS, "envelope": s.HeadLines, "queueCap": s.QueueLines,
				"admit": "share", "proxies": s.Proxies, "usualHow": 1, "tryAims": 0.8, "lineFee": 0.02,
				"messagesMost": s.MessagesMost, "reloadSpanUs": s.MessagesOver.Microseconds()},
			"rules": map[string]any{"coldFrom": s.ColdShare, "warmAfterUs": s.WarmAfter.Microseconds(),
				"drainGraceUs": s.DrainGrace.Microseconds(), "emptyForUs": s.BareFor.Microseconds()},
		},
	}, "", " ")
	if err != nil {
		panic(err) // no value above can fail
	}
	return text
}
